package dispatch

import (
	"container/heap"
	"context"
	"time"

	"harrierhoist/policy"
)

// host carries out what the module asks for, under the lock.
type host struct{ *Dispatcher }

// Attempt hands the carrier of a task a server.
func (h host) Attempt(requestID, serverID uint32, deadline time.Duration) {
	r := h.requests[requestID]
	r.attempts++
	r.server, r.attemptedAt = serverID, h.now()
	h.subset.CountAttempt(r.attemptedAt)
	server := h.servers[serverID]
	r.zone = server.Endpoint.Zone
	if recorder := h.dependencies.Recorder; recorder != nil {
		recorder.AddAttempt(r.attemptedAt, r.zone, r.units, r.attempts == 1 && !r.repeat)
	}
	r.claim.OnAttemptStart(r.zone)
	decision := Decision{Action: Forward, Server: server, Deadline: h.startedAt.Add(deadline - h.clockOrigin)}
	decision.WriteDeadline = decision.Deadline
	if windowEnd := h.gateway.RetryDeadline(requestID); windowEnd != 0 && windowEnd < deadline {
		decision.WriteDeadline = h.startedAt.Add(windowEnd - h.clockOrigin)
	}
	r.current = &attempt{server: server}
	decision.Begin = r.current.begin
	decision.Context, r.current.abandon = context.WithCancel(context.Background())
	r.decisions <- decision
}

// Cancel gives up the push that is out; a task never has two.
func (h host) Cancel(requestID uint32, attemptNumber int) {
	if r := h.requests[requestID]; r != nil && attemptNumber == r.attempts-1 {
		r.current.cancelUnbegun()
		r.current.abandon()
	}
}

// Reject is a final answer that makes trying again harmless.
func (h host) Reject(requestID uint32, retryAfter time.Duration) {
	if r := h.requests[requestID]; r != nil {
		if recorder := h.dependencies.Recorder; recorder != nil && r.attempts == 0 && !r.repeat && h.gateway.IsAdmitted(requestID) {
			recorder.AddShed(r.units) // for room, not for its quota
		}
		r.finish(Decision{Action: Reject, RetryAfter: retryAfter})
	}
}

// Terminate is a final answer that promises nothing.
func (h host) Terminate(requestID uint32) {
	if r := h.requests[requestID]; r != nil {
		r.finish(Decision{Action: Terminate})
	}
}

// Count calls the counter.
func (h host) Count(name uint64, ttl time.Duration, units float64) {
	call := &counterCall{name: name, startedAt: h.now()}
	h.counterCalls = append(h.counterCalls, call)
	if h.rules != nil {
		h.rules.HandleCounterCall()
	}
	h.dependencies.Count(name, units, ttl, func(total float64, outcome policy.Outcome) {
		now := h.lock()
		defer h.unlock()
		if recorder := h.dependencies.Recorder; recorder != nil {
			recorder.AddCounterCall(outcome != policy.Answered || h.counterTimeout > 0 && now-call.startedAt > h.counterTimeout)
		}
		h.handleCounterReply(call, total, outcome)
	})
}

// CheckHealth asks a server for its load.
func (h host) CheckHealth(serverID uint32) {
	at := h.now()
	h.dependencies.CheckHealth(h.servers[serverID], func(result Result) {
		now := h.lock()
		defer h.unlock()
		h.gateway.HandleHealthCheck(now, serverID, result.Outcome, now-at, h.checkedLoadReport(result.LoadReport))
	})
}

// SendPeer reaches nobody: on sockets gateways have no way to talk to each other.
func (h host) SendPeer(int, []byte) {}

// WatchEndpoints asks for the list of servers again.
func (h host) WatchEndpoints() {
	select {
	case h.watch <- struct{}{}:
	default: // already asked for
	}
}

// SetTimer asks for a call of Woke.
// A token asked for again replaces its earlier wake: two of them would each be answered, and the module, which asks
// anew at each, would run two chains of wakes from then on.
func (h host) SetTimer(token uint64, after time.Duration) {
	h.CancelTimer(token)
	t := &timer{dueAt: h.now() + after, token: token}
	h.timersByToken[token] = t
	heap.Push(&h.timers, t)
}

// CancelTimer takes a wake back. Most tasks end long before their clients' patience: left in, their wakes would be
// a good part of all the times that the process is woken.
func (h host) CancelTimer(token uint64) {
	if t := h.timersByToken[token]; t != nil {
		heap.Remove(&h.timers, t.index)
		delete(h.timersByToken, token)
	}
}

// Log leaves a line in the log.
func (h host) Log(line string) { h.log.Info(line) }
