package policy

import "time"

// A timer's token: what it is for in the low bits, the request's ID above.
const (
	timerDeadline    = iota // the request's client is about to leave
	timerCounterWait        // the request waits no longer for a count
	timerPlacement          // the request looks for a server again
	timerListRetry          // of no request: the endpoint list is asked for again
	timerKinds
)

func (e *environment) setTimer(kind uint64, requestID uint32, after time.Duration) {
	e.host.SetTimer(uint64(requestID)*timerKinds+kind, max(after, 0))
}

func (e *environment) cancelTimer(kind uint64, requestID uint32) {
	e.host.CancelTimer(uint64(requestID)*timerKinds + kind)
}

// HandleTimer takes a timer that the module set and that is due.
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
