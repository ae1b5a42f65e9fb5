package policy

import "time"

// Kinds of timers. A timer's token is requestID*timerKinds + kind.
const (
	timerDeadline    = iota // request deadline is near
	timerCounterWait        // request stops waiting for a count
	timerPlacement          // request tries again to get a server
	timerListRetry          // endpoint list is requested again; belongs to no request
	timerKinds              // number of kinds
)

// setTimer sets a timer of a kind for a request; a negative delay means 0.
func (e *environment) setTimer(kind uint64, requestID uint32, after time.Duration) {
	e.host.SetTimer(uint64(requestID)*timerKinds+kind, max(after, 0))
}

func (e *environment) cancelTimer(kind uint64, requestID uint32) {
	e.host.CancelTimer(uint64(requestID)*timerKinds + kind)
}

// HandleTimer handles the expiry of a timer that the module set. A timer of an unknown request is
// ignored.
func (g *Gateway) HandleTimer(now time.Duration, token uint64) {
	kind := token % timerKinds
	if kind == timerListRetry {
		g.host.WatchEndpoints()
		return
	}
	request := g.requests[uint32(token/timerKinds)]
	if request == nil {
		return
	}
	switch kind {
	case timerCounterWait:
		g.dispatch(now, g.admission, checkQuota{request})
	case timerPlacement:
		g.dispatch(now, g.balancer, placeRequest{request})
	case timerDeadline:
		if !request.streaming {
			g.dispatch(now, g.lifecycle, &completeRequest{request: request})
		}
	}
}
