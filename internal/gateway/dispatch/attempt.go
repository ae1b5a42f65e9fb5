package dispatch

import (
	"context"
	"sync/atomic"

	"harrierhoist/policy"
)

// attempt is one attempt to run a request at a server. Until its first byte is sent it can be
// cancelled, and then it certainly never ran. After that it can only be abandoned, and may have
// run. A compare-and-swap of state decides between sending and cancelling.
type attempt struct {
	server  Server             // as listed when it was selected
	state   atomic.Uint32      // one of the states below
	abandon context.CancelFunc // cancels Decision.Context
}

// States of an attempt.
const (
	attemptUnsent uint32 = iota
	attemptSending
	attemptCancelled
)

// beginSend reports whether the first byte may be sent. It returns true at most once, and never
// after the attempt was cancelled.
func (a *attempt) beginSend() bool { return a.state.CompareAndSwap(attemptUnsent, attemptSending) }

// cancelUnsent cancels the attempt, and a dial in progress for it, if its first byte has not been
// sent. Otherwise it does nothing. It prevents attempts for a client that has disconnected or a
// request that has its final answer, and attempts at a server that the endpoint list takes out of
// service. a may be nil.
func (a *attempt) cancelUnsent() {
	if a != nil && a.state.CompareAndSwap(attemptUnsent, attemptCancelled) {
		a.abandon()
	}
}

// isStale reports whether the server's current entry in the endpoint list differs from the selected
// one: the server was removed or restarted, is draining, or has another address. current is the
// zero Server if there is no entry.
func (a *attempt) isStale(current Server) bool {
	isSameProcess := current.Address == a.server.Address && current.Endpoint.StartedAt == a.server.Endpoint.StartedAt
	return current.Endpoint.State != policy.Ready || !isSameProcess
}

// cancelStaleAttempts cancels the stale attempts whose first byte has not been sent. The decision
// module then selects other servers for their requests.
func (d *Dispatcher) cancelStaleAttempts() {
	for _, r := range d.requests {
		if r.current != nil && r.current.isStale(d.servers.byNumber[r.serverID]) {
			r.current.cancelUnsent()
		}
	}
}
