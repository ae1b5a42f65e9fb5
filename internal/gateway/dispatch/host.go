package dispatch

import (
	"context"
	"time"

	"harrierhoist/policy"
)

// host is the policy.Host of a dispatcher: it carries out what the module asks for, within the
// call and under the lock.
type host struct{ dispatcher *Dispatcher }

// Attempt gives the goroutine that carries a request a server.
func (h host) Attempt(requestID, serverID uint32, deadline time.Duration) {
	dispatcher := h.dispatcher
	request := dispatcher.requests[requestID]
	request.attempts++
	request.server = serverID
	request.attemptedAt = dispatcher.clock.now()
	dispatcher.subset.CountAttempt(request.attemptedAt)
	server := dispatcher.servers.byNumber[serverID]
	request.zone = server.Endpoint.Zone
	if dispatcher.recorder != nil {
		isDemand := request.attempts == 1 && !request.isRepeat
		dispatcher.recorder.AddAttempt(request.attemptedAt, request.zone, request.units, isDemand)
	}
	request.tracker.OnAttemptStart(request.zone)

	request.current = &attempt{server: server}
	decision := Decision{
		Action:        Forward,
		Server:        server,
		Deadline:      dispatcher.clock.timeOf(deadline),
		WriteDeadline: dispatcher.clock.timeOf(dispatcher.writeDeadline(requestID, deadline)),
		Begin:         request.current.begin,
	}
	decision.Context, request.current.abandon = context.WithCancel(context.Background())
	request.decisions <- decision
}

// writeDeadline decides until when an attempt with a deadline may be written to its last byte, both
// by the shared clock: a retry of a keyed request only within the window in which servers know its
// key.
func (d *Dispatcher) writeDeadline(requestID uint32, deadline time.Duration) time.Duration {
	retryDeadline := d.module.RetryDeadline(requestID)
	hasRetryDeadline := retryDeadline != 0
	if hasRetryDeadline && retryDeadline < deadline {
		return retryDeadline
	}
	return deadline
}

// Cancel abandons the attempt that is in flight; a request never has two.
func (h host) Cancel(requestID uint32, attemptNumber int) {
	if r := h.dispatcher.requests[requestID]; r != nil && attemptNumber == r.attempts-1 {
		r.current.cancelUnbegun()
		r.current.abandon()
	}
}

// Reject is a final answer: a repeat of the request is harmless.
func (h host) Reject(requestID uint32, retryAfter time.Duration) {
	d := h.dispatcher
	r := d.requests[requestID]
	if r == nil {
		return
	}
	isDemand := r.attempts == 0 && !r.isRepeat
	if d.recorder != nil && isDemand && d.module.IsAdmitted(requestID) {
		d.recorder.AddShed(r.units) // for lack of capacity, not for its quota
	}
	r.finish(Decision{Action: Reject, RetryAfter: retryAfter})
}

// Terminate is a final answer: the request failed and may have run.
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

// CheckHealth polls a server's load report.
func (h host) CheckHealth(serverID uint32) {
	d := h.dispatcher
	startedAt := d.clock.now()
	d.dependencies.CheckHealth(d.servers.byNumber[serverID], func(result Result) {
		now := d.lock()
		defer d.unlock()
		report := d.checkedLoadReport(result.LoadReport)
		d.module.HandleHealthCheck(now, serverID, result.Outcome, now-startedAt, report)
	})
}

// SendPeer does nothing: on sockets gateways exchange no gossip.
func (host) SendPeer(int, []byte) {}

// WatchEndpoints does nothing: package discovery follows the endpoint list, and retries, by itself.
func (host) WatchEndpoints() {}

// SetTimer sets a timer; one that has the token already is replaced.
func (h host) SetTimer(token uint64, after time.Duration) {
	h.dispatcher.timers.set(token, h.dispatcher.clock.now()+after)
}

// CancelTimer removes a timer.
func (h host) CancelTimer(token uint64) { h.dispatcher.timers.cancel(token) }

// Log writes a line to the log.
func (h host) Log(line string) { h.dispatcher.log.Info(line) }
