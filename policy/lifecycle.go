package policy

import (
	"cmp"
	"time"
)

// handleDisconnect ends a request whose client has left.
func (l *lifecycle) handleDisconnect(request *requestState) {
	request.completed = true
	l.release(request)
}

// followUp takes an attempt's result: the request is served, retried elsewhere, or finally
// answered.
func (l *lifecycle) followUp(request *requestState, result *AttemptResult) {
	request.attempts[result.Attempt].state = result.Outcome.endState()
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
	case l.shouldRetry(request):
		l.env.send(l.balancer, placeRequest{request})
	case !request.hasAttemptInFlight():
		l.complete(request, l.balancer.capacityWait())
	}
}

// shouldRetry decides whether a request gets another attempt: where its earlier ones allow it
// (canAttempt, with Settings.MaxAttempts), maxRetries times at most, while no overload is seen, as
// retries add to it, and while it can be answered within its objective.
func (l *lifecycle) shouldRetry(request *requestState) bool {
	if !request.canAttempt(l.env.now, nil, &l.env.settings) || len(request.attempts) > maxRetries {
		return false
	}
	if l.balancer.isOverloaded() {
		return false
	}
	usualLatency := request.class.latencies.decile(medianDecile)
	return l.env.now+usualLatency < request.objectiveAt
}

// complete gives the final answer at once: rejected where that is allowed, else terminated.
func (l *lifecycle) complete(request *requestState, retryAfter time.Duration) {
	if request.completed {
		return
	}
	request.completed = true
	l.cancelAttempts(request)
	settings := &l.env.settings
	switch {
	case !request.canReject():
		l.env.host.Terminate(request.ID)
	case settings.RetryAfter:
		l.env.host.Reject(request.ID, min(max(retryAfter, 0), settings.MaxRetryAfter))
	default:
		l.env.host.Reject(request.ID, 0)
	}
	l.release(request)
}

// cancelAttempts cancels a request's attempts in flight, where the host can.
func (l *lifecycle) cancelAttempts(request *requestState) {
	for i, a := range request.attempts {
		if a.isInFlight() && l.env.settings.CanCancel {
			l.env.host.Cancel(request.ID, i)
		}
	}
}

// release drops a completed request that has no attempt in flight, and settles its quota: it takes
// its units once an attempt may have come complete to a server.
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
