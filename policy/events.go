package policy

import "time"

// Each event becomes a message to one actor. Events of unknown requests, and of requests that have
// been released, are ignored. The parameter now is the time since the origin of the clock that all
// gateways share. It must not decrease.

// advanceClock advances the module's clock to an event's time.
func (e *environment) advanceClock(now time.Duration) {
	if now > e.now {
		e.eventGap = now - e.now
		e.now = now
	}
}

// dispatch sends an event's message to an actor and runs the actors until no message is left.
func (e *environment) dispatch(now time.Duration, to actor, m message) {
	e.advanceClock(now)
	e.send(to, m)
	e.deliver()
}

// HandleEndpoints processes an endpoint list or changes to it.
func (g *Gateway) HandleEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if !g.firstListAt.happened() {
		g.firstListAt = eventTime(now)
	}
	g.dispatch(now, g.balancer, &endpointsArrived{kind, list})
}

// HandleRequest processes a new request. The module gives it exactly one final answer, unless its
// client disconnects first.
func (g *Gateway) HandleRequest(now time.Duration, r Request) {
	g.advanceClock(now)
	customer := g.admission.customerOf(r)
	if customer == nil {
		g.host.Reject(r.ID, 0)
		return
	}
	request := &requestState{Request: r, class: &g.classes[r.Class], customer: customer}
	request.objectiveAt = g.admission.objectiveOf(request, now)
	g.requests[r.ID] = request
	g.setTimer(timerDeadline, r.ID, r.Deadline-now-arrivalTicks*g.settings.ClockTick)
	g.dispatch(now, g.admission, checkQuota{request})
}

// HandleAttemptResult processes the result of an attempt. It ignores a second result of an attempt.
func (g *Gateway) HandleAttemptResult(now time.Duration, result AttemptResult) {
	request := g.requests[result.RequestID]
	if request == nil || result.Attempt >= len(request.attempts) {
		return
	}
	ended := request.attempts[result.Attempt]
	if !ended.isInFlight() {
		return
	}
	g.dispatch(now, ended.server, &attemptEnded{request, result})
}

// HandleStreamStart records that a streamed answer has started. The request's deadline no longer
// applies.
func (g *Gateway) HandleStreamStart(_ time.Duration, requestID uint32, _ int) {
	if request := g.requests[requestID]; request != nil {
		request.streaming = true
	}
}

// HandleDisconnect completes a request whose client has disconnected.
func (g *Gateway) HandleDisconnect(now time.Duration, requestID uint32) {
	if request := g.requests[requestID]; request != nil {
		g.dispatch(now, g.lifecycle, clientDisconnected{request})
	}
}

// HandleCount processes the counter's answer to a call, or the call's failure.
func (g *Gateway) HandleCount(now time.Duration, result CountResult) {
	g.dispatch(now, g.admission, &countArrived{result})
}

// HandleHealthCheck ignores the result of a health check, because the module requests none.
func (g *Gateway) HandleHealthCheck(time.Duration, uint32, Outcome, time.Duration, []float32) {}

// HandlePeerMessage ignores a message from another gateway, because gateways learn about each other
// from the counter.
func (g *Gateway) HandlePeerMessage(time.Duration, int, []byte) {}
