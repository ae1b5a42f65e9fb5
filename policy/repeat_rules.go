package policy

import "time"

// attemptState says whether an attempt is in flight, and what is known of one that ended.
type attemptState uint8

const (
	attemptInFlight   attemptState = iota
	attemptMayHaveRun              // it ended with an answer or an error, or nothing more is known of it
	attemptNotRun                  // a server got it complete, and ran none of it
	attemptNotArrived              // no server got it complete
)

// endState returns what an outcome says of the attempt that it ends.
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

// mayHaveRun reports whether the attempt is not proven never to have run.
func (a attempt) mayHaveRun() bool { return a.state != attemptNotRun && a.state != attemptNotArrived }

// mayHaveArrived reports whether a server may have got the attempt complete.
func (a attempt) mayHaveArrived() bool { return a.state != attemptNotArrived }

// repeatScope says where a request may run again, by its attempts so far.
type repeatScope uint8

const (
	repeatAnywhere repeatScope = iota // none of them may have run, or a second run does no harm
	repeatInGroup                     // servers of one group drop the repeat within the dedup window
	repeatNowhere                     // one may have run, and a second run would do harm
)

// allowedRepeats decides where the request may run again; ran is its first attempt that may have
// run.
// Prevents an effect that happens twice.
func (r *requestState) allowedRepeats() (scope repeatScope, ran *attempt) {
	ran = r.firstThatMayHaveRun()
	if ran == nil || r.class.Effect == Idempotent {
		return repeatAnywhere, ran
	}
	if r.class.Effect == NonIdempotent {
		return repeatNowhere, ran
	}
	return repeatInGroup, ran
}

// canAttempt decides whether a request may have an attempt at a server now (nil: at any at all), by
// its earlier attempts and the limits on their number.
func (r *requestState) canAttempt(now time.Duration, to *server, settings *Settings) bool {
	if r.completed || len(r.attempts) >= settings.MaxAttempts {
		return false
	}
	if r.hasAttemptInFlight() && !settings.AllowHedging {
		return false
	}
	if to != nil && to.Elective && !r.canSettleAt(to) {
		return false
	}
	scope, ran := r.allowedRepeats()
	switch scope {
	case repeatAnywhere:
		return true
	case repeatInGroup:
		inGroup := to == nil || r.class.sharesGroup(to, ran.server)
		return inGroup && now < ran.startedAt+r.class.DedupWindow
	case repeatNowhere:
		return false
	default:
		return false
	}
}

// canReject decides whether a request may be rejected, which tells its client that asking again is
// harmless: so it is where any server may run it again, or drops the repeat.
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

// sharesGroup reports whether two servers drop each other's repeats of the class.
func (c *TrafficClass) sharesGroup(a, b *server) bool {
	switch c.Group {
	case GroupAll:
		return true
	case GroupZone:
		return a.Zone == b.Zone
	case GroupRack:
		return a.Rack == b.Rack
	default:
		return false
	}
}

// canSettleAt decides whether a request may go to a server to settle what its owner owes: with its
// first attempt alone, and where that does no harm.
func (r *requestState) canSettleAt(s *server) bool {
	isPreferred := r.PreferOwner != 0 && r.PreferOwner == s.Owner
	isHarmless := len(r.attempts) == 0 && r.class.Effect == Idempotent
	return isPreferred && isHarmless && s.isWarm()
}
