package dispatch

import (
	"context"
	"sync/atomic"

	"harrierhoist/policy"
)

// attempt is a push on its way to a server. Until its first byte it can be called off, and then it surely never ran;
// from there on it can only be given up, and may have run. One step tells the two apart, so that none is both.
type attempt struct {
	server  Server // as it was listed when it was chosen
	state   atomic.Uint32
	abandon context.CancelFunc
}

const (
	attemptUnbegun = iota
	attemptBegun
	attemptCancelled
)

// begin tells whether the first byte may go out; from then on the attempt counts as begun.
func (a *attempt) begin() bool { return a.state.CompareAndSwap(attemptUnbegun, attemptBegun) }

// cancelUnbegun ends an attempt that has not begun: nothing is to reach a server for a client that has gone, for a task that
// has its final answer, or at a server that the list takes out of service. It leaves one that has begun as it is. Harm:
// a connection that was coming up is lost.
func (a *attempt) cancelUnbegun() {
	if a != nil && a.state.CompareAndSwap(attemptUnbegun, attemptCancelled) {
		a.abandon()
	}
}

// cancelUnbegunAttempts calls off the attempts that have not begun at servers which the list does not have any more as they were
// chosen: gone, draining, at another address, or in a new life. The module seats the tasks elsewhere.
func (d *Dispatcher) cancelUnbegunAttempts() {
	for _, r := range d.requests {
		if a := r.current; a != nil {
			server := d.servers[r.server]
			if server.Endpoint.State != policy.Ready || server.Address != a.server.Address || server.Endpoint.StartedAt != a.server.Endpoint.StartedAt {
				a.cancelUnbegun()
			}
		}
	}
}
