package dispatch

import (
	"context"
	"time"

	"harrierhoist/policy"
)

// host implements policy.Host for a dispatcher. The decision module calls its methods while the
// dispatcher's lock is held.
type host struct{ dispatcher *Dispatcher }

// Attempt passes the decision to forward a request, with the server, to the goroutine that handles
// the request.
func (h host) Attempt(requestID, serverID uint32, deadline time.Duration) {
	dispatcher := h.dispatcher
	request := dispatcher.requests[requestID]
	request.attempts++
	request.serverID = serverID
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
		Deadline:      dispatcher.clock.toTime(deadline),
		WriteDeadline: dispatcher.clock.toTime(dispatcher.writeDeadline(requestID, deadline)),
		BeginSend:     request.current.beginSend,
	}
	decision.Context, request.current.abandon = context.WithCancel(context.Background())
	request.decisions <- decision
}

// writeDeadline returns when the last byte of an attempt must have been written. That is the
// attempt's deadline, or the end of the dedup window if the attempt is a retry of a keyed request:
// after it, servers no longer know the key. Both times are on the shared clock.
func (d *Dispatcher) writeDeadline(requestID uint32, deadline time.Duration) time.Duration {
	retryDeadline := d.module.RetryDeadline(requestID)
	hasRetryDeadline := retryDeadline != 0
	if hasRetryDeadline && retryDeadline < deadline {
		return retryDeadline
	}
	return deadline
}

// Cancel abandons an attempt if it is the request's latest. A request has at most one attempt in
// flight.
func (h host) Cancel(requestID uint32, attemptNumber int) {
	if r := h.dispatcher.requests[requestID]; r != nil && attemptNumber == r.attempts-1 {
		r.current.cancelUnsent()
		r.current.abandon()
	}
}

// Reject completes a request that the client can retry safely.
func (h host) Reject(requestID uint32, retryAfter time.Duration) {
	d := h.dispatcher
	r := d.requests[requestID]
	if r == nil {
		return
	}
	isDemand := r.attempts == 0 && !r.isRepeat
	if d.recorder != nil && isDemand && d.module.IsAdmitted(requestID) {
		d.recorder.AddShed(r.units) // rejected for lack of capacity, not by its quota
	}
	r.finish(Decision{Action: Reject, RetryAfter: retryAfter})
}

// Terminate completes a request that failed and may have run.
func (h host) Terminate(requestID uint32) {
	if r := h.dispatcher.requests[requestID]; r != nil {
		r.finish(Decision{Action: Terminate})
	}
}

// Count calls the counter for the decision module.
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

// CheckHealth requests a server's load report.
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

// SendPeer does nothing: gateways that communicate over sockets exchange no gossip.
func (host) SendPeer(int, []byte) {}

// WatchEndpoints does nothing: package discovery watches the endpoint list and retries on its own.
func (host) WatchEndpoints() {}

// SetTimer sets a timer and replaces an earlier one with the same token.
func (h host) SetTimer(token uint64, delay time.Duration) {
	h.dispatcher.timers.set(token, h.dispatcher.clock.now()+delay)
}

// CancelTimer removes a timer.
func (h host) CancelTimer(token uint64) { h.dispatcher.timers.cancel(token) }

// Log writes a line to the log.
func (h host) Log(line string) { h.dispatcher.log.Info(line) }
