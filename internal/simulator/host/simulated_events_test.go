package host

import (
	"harrierhoist/internal/simulator/frame"
)

const (
	requestsOfRun  = 1500
	serversOfRun   = 9
	customersOfRun = 40
	restartAtMs    = 9000 // from the start, when a gateway is stopped
	restartAfterMs = 700  // how long it is away
	faultFromMs    = 4000
	faultUntilMs   = 7000
	burstFromMs    = 12000
	burstUntilMs   = 15000
)

// The codes by which the frames tell outcomes, and one that they do not have.
const (
	codeAnswered      = 0
	codeErrored       = 5
	codeRejected      = 11
	codeReset         = 104
	codeTimedOut      = 110
	codeConnectFailed = 111
	codeNotSent       = 114
	codeCancelled     = 125
	codeUnknown       = 77
)

// start lays out the servers and the first events of a run.
func (s *simulator) start() {
	s.gateways = make([]simulatedGateway, s.settings.gateways)
	for i := range serversOfRun {
		s.servers = append(s.servers, simulatedServer{
			id: s.random.Uint32(), state: frame.StateReady, power: 0.5 + s.random.Float32(),
			zone: i % s.settings.zones, sinceMs: float64(i%3) * 700,
		})
	}
	s.servers[0].failsFromMs, s.servers[0].failsUntilMs = faultFromMs, faultUntilMs
	for id := range s.gateways {
		s.spawn(uint32(id), 0, false)
	}
	s.restart(uint32(s.settings.gateways - 1))
	s.schedule(0, 20, s.nextRequest)
	s.schedule(0, 500, s.changeList)
	s.schedule(0, 600, s.strayEvent)
}

func (s *simulator) spawn(gateway uint32, inMs float64, restarted bool) {
	text := s.settings.settingsOf(gateway, restarted)
	salt := s.random.Uint64()
	s.schedule(gateway, inMs, func() []byte {
		s.gateways[gateway].running = true
		s.schedule(gateway, 0, func() []byte { return s.view(frame.ListCached, s.servers) })
		return encodeRecord(frame.EventStart, u64(salt), u32(uint32(len(text))), []byte(text))
	})
}

// restart stops a gateway and has it started again with other settings.
func (s *simulator) restart(gateway uint32) {
	s.schedule(gateway, restartAtMs, func() []byte {
		s.gateways[gateway] = simulatedGateway{incarnation: s.gateways[gateway].incarnation + 1}
		for _, request := range s.requests {
			for number := range request.attempts {
				if request.gateway == gateway {
					request.attempts[number].end()
				}
			}
		}
		s.spawn(gateway, restartAfterMs, true)
		return encodeRecord(frame.EventStop)
	})
}

// nextRequest is a client's next request; it has no record of its own.
func (s *simulator) nextRequest() []byte {
	if s.latestID >= requestsOfRun {
		return nil
	}
	gapMs := 20.0
	if s.clockMs > burstFromMs && s.clockMs < burstUntilMs {
		gapMs = 5
	}
	s.submit(uint64(min(s.random.Intn(customersOfRun), s.random.Intn(customersOfRun))), 0)
	s.schedule(0, gapMs*s.random.ExpFloat64(), s.nextRequest)
	return nil
}

// submit sends a request to a gateway of its customer's set; options are 2 for one that is asked
// again.
func (s *simulator) submit(customer uint64, options uint8) {
	first, width := int(customer)%s.settings.gateways, 1+int(customer)%2
	gateway := uint32((first + s.random.Intn(width)) % s.settings.gateways)
	if !s.gateways[gateway].running {
		return
	}
	s.latestID++
	id := s.latestID
	request := &simulatedRequest{
		gateway: gateway, class: uint8(s.random.Intn(s.settings.classes)), units: float64(1 + s.random.Intn(6)),
		customer: customer,
	}
	s.requests[id] = request
	lasts := float64(900+s.random.Intn(3)*600) * (0.2 + 0.8*s.random.Float64())
	expires, plan := s.clockMs+lasts, uint32(customer)%uint32(s.settings.plans)
	s.schedule(gateway, 0, func() []byte {
		return encodeRecord(frame.EventRequest, u32(id), []byte{options}, u32(plan), f64(expires),
			u64(0x9e3779b97f4a7c15*(customer+1)), f32(float32(first)), []byte{request.class}, f32(float32(width)),
			f32(float32(request.units)))
	})
	if s.random.Intn(20) == 0 {
		lasts *= s.random.Float64() // its client disconnects early
	}
	s.schedule(gateway, lasts, func() []byte {
		if request.final {
			return nil
		}
		request.final = true
		return encodeRecord(frame.EventDisconnect, u32(id))
	})
}

// rejected has half of the clients ask again when they are asked to.
func (s *simulator) rejected(id uint32, retryAfterMs float64) {
	request := s.requests[id]
	request.final = true
	if s.random.Intn(2) == 0 {
		s.schedule(0, retryAfterMs+10*s.random.Float64(), func() []byte {
			s.submit(request.customer, 2)
			return nil
		})
	}
}

// attempt has a server answer, or fail, some time after an attempt was sent to it.
func (s *simulator) attempt(id uint32, deadlineMs float64, serverID uint32) {
	request := s.requests[id]
	number, server := len(request.attempts), s.serverOf(serverID)
	request.attempts = append(request.attempts, simulatedAttempt{server: server})
	server.inFlight++
	tookMs := 7 * request.units * (0.5 + s.random.ExpFloat64()) * (1 + 0.15*float64(server.inFlight)) / float64(
		server.power,
	)
	outcome := s.drawOutcome(server)
	switch {
	case outcome == codeConnectFailed || outcome == codeRejected || outcome == codeNotSent:
		tookMs = 1 + 3*s.random.Float64()
	case outcome == codeTimedOut || s.clockMs+tookMs >= deadlineMs:
		outcome, tookMs = codeTimedOut, max(deadlineMs-s.clockMs, 0)
	case s.random.Intn(4) == 0:
		s.schedule(request.gateway, tookMs/2, func() []byte {
			if request.attempts[number].ended {
				return nil
			}
			return encodeRecord(frame.EventStreamStart, u32(id), f64(tookMs/2), u16(uint16(number)), u32(serverID))
		})
	}
	s.respond(id, number, tookMs, outcome)
}

var rareOutcomes = []uint8{
	codeErrored, codeErrored, codeRejected, codeReset, codeTimedOut, codeConnectFailed, codeNotSent, codeUnknown,
}

func (s *simulator) drawOutcome(server *simulatedServer) uint8 {
	if s.clockMs > server.failsFromMs && s.clockMs < server.failsUntilMs {
		return []uint8{codeErrored, codeReset, codeTimedOut}[s.random.Intn(3)]
	}
	if server.inFlight > 10 || server.state != frame.StateReady {
		return codeRejected
	}
	if rare := s.random.Intn(100); rare < 12 {
		return rareOutcomes[rare%len(rareOutcomes)]
	}
	return codeAnswered
}

// respond tells how an attempt ended, unless it has ended by then.
func (s *simulator) respond(id uint32, number int, tookMs float64, outcome uint8) {
	request := s.requests[id]
	server := request.attempts[number].server
	billed, use := uint16(request.units)+uint16(s.random.Intn(3)), uint16(s.random.Intn(180))
	load := []float32{float32(server.inFlight), s.random.Float32(), 1}[:s.random.Intn(4)]
	s.schedule(request.gateway, tookMs, func() []byte {
		if !request.attempts[number].end() {
			return nil
		}
		request.final = request.final || outcome == codeAnswered
		done := byte(0)
		if request.final {
			done = 1
		}
		if outcome != codeAnswered && outcome != codeErrored {
			billed, use, load = 0, 0, nil
		}
		return encodeRecord(
			frame.EventAttemptResult,
			u32(id),
			u16(uint16(number)),
			u32(server.id),
			[]byte{outcome},
			f64(tookMs),
			[]byte{done},
			u16(use),
			u16(billed),
			figures(load),
		)
	})
}

// end tells whether the attempt was in flight until now.
func (a *simulatedAttempt) end() bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.server.inFlight--
	return true
}
