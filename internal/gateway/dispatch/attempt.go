package dispatch

import (
	"context"
	"sync/atomic"

	"harrierhoist/policy"
)

// attempt is an attempt of a request at a server. Until its first byte it can be cancelled, and
// then it surely never ran; from there on it can only be abandoned, and may have run. One atomic
// step decides which of the two it is.
type attempt struct {
	server  Server // as it was listed when it was chosen
	state   atomic.Uint32
	abandon context.CancelFunc
}

// The states of an attempt.
const (
	attemptUnbegun uint32 = iota
	attemptBegun
	attemptCancelled
)

// begin decides whether the first byte may go out; from then on the attempt counts as begun.
func (a *attempt) begin() bool { return a.state.CompareAndSwap(attemptUnbegun, attemptBegun) }

// cancelUnbegun ends an attempt that has not begun, and leaves one that has as it is: nothing is to
// reach a server for a client that has gone, for a request that has its final answer, or at a
// server that the endpoint list takes out of service. A connection that is coming up is lost with
// it.
func (a *attempt) cancelUnbegun() {
	if a != nil && a.state.CompareAndSwap(attemptUnbegun, attemptCancelled) {
		a.abandon()
	}
}

// isStale decides whether the server is no longer in the endpoint list as it was chosen: it is
// removed, draining, at another address, or was started again.
func (a *attempt) isStale(current Server) bool {
	isSameProcess := current.Address == a.server.Address && current.Endpoint.StartedAt == a.server.Endpoint.StartedAt
	return current.Endpoint.State != policy.Ready || !isSameProcess
}

// cancelUnbegunAttempts cancels the stale attempts that have not begun. The decision module finds
// their requests other servers.
func (d *Dispatcher) cancelUnbegunAttempts() {
	for _, r := range d.requests {
		if r.current != nil && r.current.isStale(d.servers.byNumber[r.server]) {
			r.current.cancelUnbegun()
		}
	}
}
