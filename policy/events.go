package policy

import "time"

// Each event becomes a message to one actor. Events of requests that are not known, or not any
// more, are ignored. The parameter now is the time since the origin of the clock that all gateways
// share; it never goes back.

// advanceClock moves the module's clock to an event's time.
func (e *environment) advanceClock(now time.Duration) {
	if now > e.now {
		e.standstill = now - e.now
		e.now = now
	}
}

// dispatch sends an event's message and lets the actors work.
func (e *environment) dispatch(now time.Duration, to actor, m message) {
	e.advanceClock(now)
	e.send(to, m)
	e.deliver()
}

// HandleEndpoints takes an endpoint list, or what has changed of it.
func (g *Gateway) HandleEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if !g.firstListAt.happened() {
		g.firstListAt = eventTime(now)
	}
	g.dispatch(now, g.balancer, &endpointsArrived{kind, list})
}

// HandleRequest takes a request: from here on it is owed exactly one final answer, unless its
// client leaves.
func (g *Gateway) HandleRequest(now time.Duration, r Request) {
	g.advanceClock(now)
	request := &requestState{Request: r, class: &g.classes[r.Class], customer: g.admission.customerOf(r)}
	request.objectiveAt = g.admission.objectiveOf(request, now)
	g.requests[r.ID] = request
	g.setTimer(timerDeadline, r.ID, r.Deadline-now-arrivalTicks*g.settings.ClockTick)
	g.dispatch(now, g.admission, checkQuota{request})
}

// HandleAttemptResult takes how an attempt ended. A second result of the same attempt is ignored.
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

// HandleStreamStart notes that a streamed answer has started: the request has no deadline any more.
func (g *Gateway) HandleStreamStart(_ time.Duration, requestID uint32, _ int) {
	if request := g.requests[requestID]; request != nil {
		request.streaming = true
	}
}

// HandleDisconnect ends a request whose client has left.
func (g *Gateway) HandleDisconnect(now time.Duration, requestID uint32) {
	if request := g.requests[requestID]; request != nil {
		g.dispatch(now, g.lifecycle, clientDisconnected{request})
	}
}

// HandleCount takes the counter's answer to a call, or that none came.
func (g *Gateway) HandleCount(now time.Duration, result CountResult) {
	g.dispatch(now, g.admission, &countArrived{result})
}

// HandleHealthCheck takes the answer to a health check. The module asks for none yet.
func (g *Gateway) HandleHealthCheck(time.Duration, uint32, Outcome, time.Duration, []float32) {}

// HandlePeerMessage takes what another gateway sent. The module ignores it: gateways learn of each
// other from the counter.
func (g *Gateway) HandlePeerMessage(time.Duration, int, []byte) {}
