package policy

import (
	"cmp"
	"time"
)

// permits is the one place that says, by a request's attempts so far, whether it may be sent to a server
// (nil: to any at all), and whether it may be rejected. It guards the rule that no effect happens twice.
func (r *requestState) permits(now time.Duration, to *server, settings *Settings) (attempt, reject bool) {
	attempt = !r.completed && len(r.attempts) < settings.MaxAttempts &&
		(!r.hasAttemptInFlight() || settings.AllowHedging) && (to == nil || !to.Elective || r.canSettleAt(to))
	ran := r.firstThatMayHaveRun()
	if ran == nil || r.class.Effect == Idempotent {
		return attempt, true
	}
	if r.class.Effect == NonIdempotent {
		return false, false
	}
	same := to == nil || r.class.sharesGroup(to, ran.server)
	return attempt && same && now < ran.startedAt+r.class.DedupWindow, r.class.Group == GroupAll
}

// sharesGroup reports whether two servers drop each other's repeats of the class.
func (c *TrafficClass) sharesGroup(a, b *server) bool {
	switch c.Group {
	case GroupZone:
		return a.Zone == b.Zone
	case GroupRack:
		return a.Rack == b.Rack
	default:
		return c.Group == GroupAll
	}
}

// canSettleAt reports whether a request may go to a server to settle what its owner owes: with its first
// attempt alone, and where that does no harm.
func (r *requestState) canSettleAt(s *server) bool {
	return r.PreferOwner != 0 && r.PreferOwner == s.Owner && len(r.attempts) == 0 &&
		r.class.Effect == Idempotent && s.isWarm()
}

func (l *lifecycle) handleDisconnect(request *requestState) {
	request.completed = true
	l.release(request)
}

// followUp follows an attempt's result: the request is served, retried elsewhere, or finally answered at
// once.
func (l *lifecycle) followUp(request *requestState, result *AttemptResult) {
	ended := &request.attempts[result.Attempt]
	ended.ended = true
	ended.neverArrived = result.Outcome == ConnectFailed || result.Outcome == NotSent
	ended.neverRan = ended.neverArrived || result.Outcome == Rejected
	request.completed = request.completed || result.Final
	if result.Usage > 0 && l.env.settings.UsageSpan > 0 {
		request.customer.recordUsage(result.Usage - 1)
	}
	if result.Outcome == Answered && request.admitted {
		l.env.send(l.admission, &settleUnits{request, cmp.Or(result.ActualUnits, request.Units)})
	}
	switch {
	case request.completed:
		l.release(request)
	case l.retries(request):
		l.env.send(l.balancer, placeRequest{request})
	case !request.hasAttemptInFlight():
		l.complete(request, l.balancer.capacityWait())
	}
}

// retries reports whether a request is worth another attempt: while no overload is seen, and while it can be
// answered within its objective.
func (l *lifecycle) retries(request *requestState) bool {
	permitted, _ := request.permits(l.env.now, nil, &l.env.settings)
	return permitted && len(request.attempts) <= maxRetries && l.balancer.admissionProbability() >= 1 &&
		l.env.now+request.class.latencies.decile(5) < request.objectiveAt
}

// complete gives the final answer at once: rejected where that is allowed, else terminated.
func (l *lifecycle) complete(request *requestState, retryAfter time.Duration) {
	if request.completed {
		return
	}
	request.completed = true
	for i, a := range request.attempts {
		if !a.ended && l.env.settings.CanCancel {
			l.env.host.Cancel(request.ID, i)
		}
	}
	if _, reject := request.permits(l.env.now, nil, &l.env.settings); !reject {
		l.env.host.Terminate(request.ID)
	} else if l.env.settings.RetryAfter {
		l.env.host.Reject(request.ID, min(max(retryAfter, 0), l.env.settings.MaxRetryAfter))
	} else {
		l.env.host.Reject(request.ID, 0)
	}
	l.release(request)
}

// release forgets a completed request once none of its attempts is out, and settles its quota: it takes its
// units once an attempt came complete to a server.
func (l *lifecycle) release(request *requestState) {
	if request.hasAttemptInFlight() {
		return
	}
	units := 0.0
	if request.hasArrived() {
		units = request.Units
	}
	l.env.send(l.admission, &settleUnits{request, units})
	delete(l.requests, request.ID)
	l.env.cancelTimer(timerDeadline, request.ID)
}
