package policy

import (
	"cmp"
	"time"
)

// handleDisconnect completes a request whose client has disconnected.
func (l *lifecycle) handleDisconnect(request *requestState) {
	request.completed = true
	l.release(request)
}

// handleAttemptResult processes an attempt's result: it charges an answered request, then releases
// the request, sends another attempt, or gives the final answer.
func (l *lifecycle) handleAttemptResult(request *requestState, result *AttemptResult) {
	request.attempts[result.Attempt].state = result.Outcome.endState()
	request.completed = request.completed || result.Final
	if result.Usage > 0 && l.env.settings.UsageSpan > 0 {
		request.customer.recordUsage(result.Usage - 1)
	}
	if result.Outcome == Answered && request.admitted {
		l.env.send(l.admission, &releaseQuota{request, cmp.Or(result.ActualUnits, request.Units)})
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

// shouldRetry reports whether a request gets another attempt. Its earlier attempts must allow it
// (canAttempt, which checks Settings.MaxAttempts), and it must have had fewer than maxRetries
// retries. Retries add to an overload, so there is none while the servers are overloaded. A retry
// of the median latency must end within the request's objective.
func (l *lifecycle) shouldRetry(request *requestState) bool {
	if !request.canAttempt(l.env.now, nil, &l.env.settings) || len(request.attempts) > maxRetries {
		return false
	}
	if l.balancer.isOverloaded() {
		return false
	}
	medianLatency := request.class.latencies.decile(medianDecile)
	return l.env.now+medianLatency < request.objectiveAt
}

// complete sends the final answer without an answer from a server: it rejects the request if
// canReject allows it, and terminates it otherwise.
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
	case settings.SendsRetryAfter:
		l.env.host.Reject(request.ID, min(max(retryAfter, 0), settings.MaxRetryAfter))
	default:
		l.env.host.Reject(request.ID, 0)
	}
	l.release(request)
}

// cancelAttempts cancels a request's attempts in flight, if the host supports it.
func (l *lifecycle) cancelAttempts(request *requestState) {
	for i, a := range request.attempts {
		if a.isInFlight() && l.env.settings.CanCancel {
			l.env.host.Cancel(request.ID, i)
		}
	}
}

// release removes a completed request that has no attempt in flight, and ends its use of the quota.
// The request is charged its units if a server may have received it completely.
func (l *lifecycle) release(request *requestState) {
	if request.hasAttemptInFlight() {
		return
	}
	units := 0.0
	if request.hasArrived() {
		units = request.Units
	}
	l.env.send(l.admission, &releaseQuota{request, units})
	delete(l.requests, request.ID)
	l.env.cancelTimer(timerDeadline, request.ID)
}
