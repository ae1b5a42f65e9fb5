package policy

import "time"

// attemptState is whether an attempt is in flight and, once it has ended, whether it may have run.
type attemptState uint8

const (
	attemptInFlight   attemptState = iota
	attemptMayHaveRun              // ended with an answer or an error, or its result is unknown
	attemptNotRun                  // a server received all of it and ran none of it
	attemptNotArrived              // no server received all of it
)

// endState returns the state of an attempt that ended with the outcome.
func (o Outcome) endState() attemptState {
	switch o {
	case ConnectFailed, NotSent:
		return attemptNotArrived
	case Rejected:
		return attemptNotRun
	case Answered, Errored, TimedOut, Reset, Cancelled:
		return attemptMayHaveRun
	default:
		return attemptMayHaveRun
	}
}

func (a attempt) isInFlight() bool { return a.state == attemptInFlight }

// mayHaveRun reports whether the attempt may have run, which includes one in flight.
func (a attempt) mayHaveRun() bool { return a.state != attemptNotRun && a.state != attemptNotArrived }

// mayHaveArrived reports whether a server may have received the whole attempt.
func (a attempt) mayHaveArrived() bool { return a.state != attemptNotArrived }

// repeatScope is where a request may run again, given its attempts so far.
type repeatScope uint8

const (
	repeatAnywhere repeatScope = iota // no attempt may have run, or a second run is harmless
	repeatInGroup                     // one may have run; its server's group drops repeats within the dedup window
	repeatNowhere                     // one may have run, and a second run is harmful
)

// allowedRepeats returns where the request may run again, and its first attempt that may have run;
// nil if there is none. This prevents effects that happen twice.
func (r *requestState) allowedRepeats() (scope repeatScope, firstRun *attempt) {
	firstRun = r.firstThatMayHaveRun()
	if firstRun == nil || r.class.Effect == Idempotent {
		return repeatAnywhere, firstRun
	}
	if r.class.Effect == NonIdempotent {
		return repeatNowhere, firstRun
	}
	return repeatInGroup, firstRun
}

// canAttempt reports whether a request may have an attempt at the target now (nil: at any server),
// given its earlier attempts and the limits on their number.
func (r *requestState) canAttempt(now time.Duration, target *server, settings *Settings) bool {
	if r.completed || len(r.attempts) >= settings.MaxAttempts {
		return false
	}
	if r.hasAttemptInFlight() && !settings.AllowHedging {
		return false
	}
	if target != nil && target.Elective && !r.canSettleAt(target) {
		return false
	}
	scope, firstRun := r.allowedRepeats()
	switch scope {
	case repeatAnywhere:
		return true
	case repeatInGroup:
		inGroup := target == nil || r.class.dropsRepeats(target, firstRun)
		return inGroup && now < firstRun.startedAt+r.class.DedupWindow
	case repeatNowhere:
		return false
	default:
		return false
	}
}

// canReject reports whether a request may be rejected. A rejection tells the client that a repeat
// is harmless, so every server must be able to run the request again or to drop the repeat.
func (r *requestState) canReject() bool {
	scope, _ := r.allowedRepeats()
	switch scope {
	case repeatAnywhere:
		return true
	case repeatInGroup:
		return r.class.Group == GroupAll
	case repeatNowhere:
		return false
	default:
		return false
	}
}

// dropsRepeats reports whether the target drops repeats of an attempt at a request of the class. The
// attempt's server must be in the target's group now, and have been in it when the attempt started. If
// a list has moved the server since then, it is not known which group remembers the attempt. A server
// that has restarted since then may not remember its own.
func (c *TrafficClass) dropsRepeats(target *server, earlier *attempt) bool {
	if target == earlier.server && earlier.isAtEarlierProcess() {
		return false
	}
	switch c.Group {
	case GroupAll:
		return true
	case GroupZone:
		return earlier.server.Zone == earlier.zone && target.Zone == earlier.zone
	case GroupRack:
		return earlier.server.Rack == earlier.rack && target.Rack == earlier.rack
	default:
		return false
	}
}

// canSettleAt reports whether a request may go to a server to settle a debt of the server's owner.
// The request must prefer that owner and be idempotent, the attempt must be its first, and the
// server must be warm.
func (r *requestState) canSettleAt(s *server) bool {
	isPreferred := r.PreferredOwner != 0 && r.PreferredOwner == s.Owner
	isHarmless := len(r.attempts) == 0 && r.class.Effect == Idempotent
	return isPreferred && isHarmless && s.isWarm()
}

// MayHaveRun reports whether a request may have run in an attempt with this outcome.
func (o Outcome) MayHaveRun() bool { return o.endState() == attemptMayHaveRun }

// ForbidsRepeats reports whether a request of the class must not run again under the same ID once it may
// have run. A keyed request is included: a repeat after its dedup window or at another group of
// servers would take effect again.
func (c *TrafficClass) ForbidsRepeats() bool { return c.Effect != Idempotent }

// RepeatSpan returns how long after the end of a request its client may still send it again: the longest
// time that a client of any class waits over all its tries, and no less than any dedup window.
func (s *Settings) RepeatSpan() (span time.Duration) {
	for i := range s.Classes {
		span = max(span, s.Classes[i].Timeout, s.Classes[i].DedupWindow)
	}
	return span
}
