package dispatch

import (
	"context"
	"time"

	"harrierhoist/policy"
)

// host is the policy.Host of a dispatcher: it carries out what the gateway asks for, within the call and under the lock.
type host struct{ dispatcher *Dispatcher }

// Attempt gives the goroutine that carries a request a server.
func (h host) Attempt(requestID, serverID uint32, deadline time.Duration) {
	dispatcher := h.dispatcher
	request := dispatcher.requests[requestID]
	request.attempts++
	request.server, request.attemptedAt = serverID, dispatcher.clock.now()
	dispatcher.subset.CountAttempt(request.attemptedAt)
	server := dispatcher.servers.byNumber[serverID]
	request.zone = server.Endpoint.Zone
	if dispatcher.recorder != nil {
		dispatcher.recorder.AddAttempt(request.attemptedAt, request.zone, request.units, request.attempts == 1 && !request.isRepeat)
	}
	request.tracker.OnAttemptStart(request.zone)

	request.current = &attempt{server: server}
	decision := Decision{Action: Forward, Server: server, Deadline: dispatcher.clock.timeOf(deadline), Begin: request.current.begin}
	decision.WriteDeadline = decision.Deadline
	if retryDeadline := dispatcher.gateway.RetryDeadline(requestID); retryDeadline != 0 && retryDeadline < deadline {
		decision.WriteDeadline = dispatcher.clock.timeOf(retryDeadline)
	}
	decision.Context, request.current.abandon = context.WithCancel(context.Background())
	request.decisions <- decision
}

// Cancel abandons the attempt that is in flight; a request never has two.
func (h host) Cancel(requestID uint32, attemptNumber int) {
	if r := h.dispatcher.requests[requestID]; r != nil && attemptNumber == r.attempts-1 {
		r.current.cancelUnbegun()
		r.current.abandon()
	}
}

// Reject is a final answer that makes asking again harmless.
func (h host) Reject(requestID uint32, retryAfter time.Duration) {
	d := h.dispatcher
	r := d.requests[requestID]
	if r == nil {
		return
	}
	if d.recorder != nil && r.attempts == 0 && !r.isRepeat && d.gateway.IsAdmitted(requestID) {
		d.recorder.AddShed(r.units) // for lack of capacity, not for its quota
	}
	r.finish(Decision{Action: Reject, RetryAfter: retryAfter})
}

// Terminate is a final answer that promises nothing.
func (h host) Terminate(requestID uint32) {
	if r := h.dispatcher.requests[requestID]; r != nil {
		r.finish(Decision{Action: Terminate})
	}
}

// Count calls the counter.
func (h host) Count(name uint64, ttl time.Duration, units float64) {
	d := h.dispatcher
	call := d.counterCalls.add(name, d.clock.now())
	if d.rules != nil {
		d.rules.HandleCounterCall()
	}
	d.dependencies.Count(name, units, ttl, func(total float64, outcome policy.Outcome) {
		now := d.lock()
		defer d.unlock()
		d.handleCounterReply(now, call, total, outcome)
	})
}

// CheckHealth asks a server for its load report.
func (h host) CheckHealth(serverID uint32) {
	d := h.dispatcher
	startedAt := d.clock.now()
	d.dependencies.CheckHealth(d.servers.byNumber[serverID], func(result Result) {
		now := d.lock()
		defer d.unlock()
		d.gateway.HandleHealthCheck(now, serverID, result.Outcome, now-startedAt, d.checkedLoadReport(result.LoadReport))
	})
}

// SendPeer reaches nobody: on sockets gateways have no way to talk to each other.
func (host) SendPeer(int, []byte) {}

// WatchEndpoints does nothing: discovery watches the endpoint list of itself, and tries again after a failure.
func (host) WatchEndpoints() {}

// SetTimer asks for a timer; one that has the token already is replaced.
func (h host) SetTimer(token uint64, after time.Duration) {
	h.dispatcher.timers.set(token, h.dispatcher.clock.now()+after)
}

// CancelTimer takes a timer back.
func (h host) CancelTimer(token uint64) { h.dispatcher.timers.cancel(token) }

// Log leaves a line in the log.
func (h host) Log(line string) { h.dispatcher.log.Info(line) }
