package policy

import (
	"cmp"
	"slices"
	"time"
)

// permits is the one place that says, for a task and its pushes so far, whether it may be pushed to a server
// (nil: to any at all) and whether it may be rejected. It guards the rule that no effect happens twice.
func (request *requestState) permits(now time.Duration, to *server, settings *Settings) (push, reject bool) {
	ran := slices.IndexFunc(request.attempts, func(s attempt) bool { return !s.neverRan }) // the first that may have run
	push = !request.completed && len(request.attempts) < settings.MaxAttempts && (!request.hasAttemptInFlight() || settings.AllowHedging) &&
		(to == nil || !to.Elective || request.canSettleAt(to))
	if ran < 0 || request.class.Effect == Idempotent {
		return push, true
	}
	if request.class.Effect == NonIdempotent {
		return false, false
	}
	first := request.attempts[ran]
	same := to == nil || request.class.Group == GroupAll || request.class.Group == GroupZone && to.Zone == first.server.Zone ||
		request.class.Group == GroupRack && to.Rack == first.server.Rack
	return push && same && now < first.startedAt+request.class.DedupWindow, request.class.Group == GroupAll
}

// canSettleAt tells whether a task is to go to a server to settle what its owner owes: its first push, if no harm is done.
func (request *requestState) canSettleAt(s *server) bool {
	return request.PreferOwner != 0 && request.PreferOwner == s.Owner && len(request.attempts) == 0 && request.class.Effect == Idempotent && s.warmUpFraction(s.now) >= 1
}

// preferOwned gives the servers that a task is to go to to settle; all, where none has room or the fleet is pressed.
func (f *fleet) preferOwned(request *requestState, well []*server) []*server {
	if request.PreferOwner != 0 && slices.ContainsFunc(well, request.canSettleAt) && f.admissionProbability() >= 1 {
		return slices.DeleteFunc(well, func(s *server) bool { return !request.canSettleAt(s) })
	}
	return well
}

// lifecycle is a task's way after its pushes: what follows an outcome, the final answer.
type lifecycle struct {
	*Gateway
	actor
}

func (c *lifecycle) handleDisconnect(n message) {
	n.request.completed = true
	c.release(n.request)
}

// followUp follows an outcome: done, once more elsewhere, or the final answer at once.
func (c *lifecycle) followUp(n message) {
	request, p := n.request, n.result
	push := &request.attempts[p.Attempt]
	push.neverArrived = p.Outcome == ConnectFailed || p.Outcome == NotSent
	push.ended, push.neverRan = true, push.neverArrived || p.Outcome == Rejected
	request.completed = request.completed || p.Final
	if p.Usage > 0 && c.settings.UsageSpan > 0 {
		request.customer.recordUsage(p.Usage - 1)
	}
	if p.Outcome == Answered && request.admitted {
		c.send(&c.admission.actor, message{handle: c.admission.settle, request: request, units: cmp.Or(p.ActualUnits, request.Units)})
	}
	if request.completed {
		c.release(request)
		return
	}
	again, _ := request.permits(c.now, nil, &c.settings)
	if again && len(request.attempts) <= maxRetries && c.balancer.admissionProbability() >= 1 && c.now+request.class.latencyDecile(5) < request.objectiveAt {
		c.send(&c.balancer.actor, message{handle: c.balancer.place, request: request})
	} else if !request.hasAttemptInFlight() {
		c.complete(message{request: request, retryAfter: c.balancer.capacityWait()})
	}
}

// complete gives the final answer at once: rejected where that is allowed, else terminated.
func (c *lifecycle) complete(n message) {
	request := n.request
	if request.completed {
		return
	}
	request.completed = true
	for i, s := range request.attempts {
		if !s.ended && c.settings.CanCancel {
			c.host.Cancel(request.ID, i)
		}
	}
	if _, reject := request.permits(c.now, nil, &c.settings); !reject {
		c.host.Terminate(request.ID)
	} else if c.settings.RetryAfter {
		c.host.Reject(request.ID, min(max(n.retryAfter, 0), c.settings.MaxRetryAfter))
	} else {
		c.host.Reject(request.ID, 0)
	}
	c.release(request)
}

// release forgets a task that is over once nothing of it is out, and settles its book: it takes its units once a
// push came whole to a server.
func (c *lifecycle) release(request *requestState) {
	if !request.hasAttemptInFlight() {
		units := 0.0
		if slices.ContainsFunc(request.attempts, func(s attempt) bool { return !s.neverArrived }) {
			units = request.Units
		}
		c.send(&c.admission.actor, message{handle: c.admission.settle, request: request, units: units})
		delete(c.requests, request.ID)
		c.host.CancelTimer(uint64(request.ID)*timerKinds + timerDeadline)
	}
}
