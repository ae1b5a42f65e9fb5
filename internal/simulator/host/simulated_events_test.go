package host

import (
	"harrierhoist/internal/simulator/frame"
)

const (
	requestsOfRun  = 1500
	serversOfRun   = 9
	customersOfRun = 40
	restartAtMs    = 9000 // from the start, when a gateway is retired
	restartAfterMs = 700  // how long it is away
	faultFromMs    = 4000
	faultUntilMs   = 7000
	burstFromMs    = 12000
	burstUntilMs   = 15000
)

// The codes by which the wire tells outcomes, and one that it does not have.
const (
	howAnswered  = 0
	howErrored   = 5
	howRejected  = 11
	howReset     = 104
	howTimedOut  = 110
	howNoConnect = 111
	howNotSent   = 114
	howCancelled = 125
	howUnknown   = 77
)

// start lays out the servers and the first events of a run.
func (s *simulator) start() {
	s.gateways = make([]simulatedGateway, s.settings.gateways)
	for i := range serversOfRun {
		s.servers = append(s.servers, simulatedServer{
			id: s.random.Uint32(), stage: 2, power: 0.5 + s.random.Float32(),
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
		s.schedule(gateway, 0, func() []byte { return s.view(2, s.servers) })
		return encodeRecord(frame.EventStart, u64(salt), u32(uint32(len(text))), []byte(text))
	})
}

// restart retires a gateway and has it started again with other settings.
func (s *simulator) restart(gateway uint32) {
	s.schedule(gateway, restartAtMs, func() []byte {
		s.gateways[gateway] = simulatedGateway{incarnation: s.gateways[gateway].incarnation + 1}
		for _, r := range s.requests {
			for hop := range r.attempts {
				if r.gateway == gateway {
					r.attempts[hop].end()
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

// submit sends a request to a gateway of its customer's set; options is 2 for one that asks again.
func (s *simulator) submit(customer uint64, options uint8) {
	first, width := int(customer)%s.settings.gateways, 1+int(customer)%2
	gateway := uint32((first + s.random.Intn(width)) % s.settings.gateways)
	if !s.gateways[gateway].running {
		return
	}
	s.latestID++
	id := s.latestID
	r := &simulatedRequest{
		gateway: gateway, class: uint8(s.random.Intn(s.settings.classes)), units: float64(1 + s.random.Intn(6)), customer: customer,
	}
	s.requests[id] = r
	lasts := float64(900+s.random.Intn(3)*600) * (0.2 + 0.8*s.random.Float64())
	expires, plan := s.clockMs+lasts, uint32(customer)%uint32(s.settings.plans)
	s.schedule(gateway, 0, func() []byte {
		return encodeRecord(frame.EventRequest, u32(id), []byte{options}, u32(plan), f64(expires), u64(0x9e3779b97f4a7c15*(customer+1)),
			f32(float32(first)), []byte{r.class}, f32(float32(width)), f32(float32(r.units)))
	})
	if s.random.Intn(20) == 0 {
		lasts *= s.random.Float64() // its client goes early
	}
	s.schedule(gateway, lasts, func() []byte {
		if r.final {
			return nil
		}
		r.final = true
		return encodeRecord(frame.EventDisconnect, u32(id))
	})
}

// rejected has half of the clients ask again when they are asked to.
func (s *simulator) rejected(id uint32, awayMs float64) {
	r := s.requests[id]
	r.final = true
	if s.random.Intn(2) == 0 {
		s.schedule(0, awayMs+10*s.random.Float64(), func() []byte {
			s.submit(r.customer, 2)
			return nil
		})
	}
}

// attempt has a server answer, or fail, some time after an attempt was sent to it.
func (s *simulator) attempt(id uint32, untilMs float64, server uint32) {
	r := s.requests[id]
	hop, at := len(r.attempts), s.serverAt(server)
	r.attempts = append(r.attempts, simulatedAttempt{server: at})
	at.inFlight++
	tookMs := 7 * r.units * (0.5 + s.random.ExpFloat64()) * (1 + 0.15*float64(at.inFlight)) / float64(at.power)
	outcome := s.drawOutcome(at)
	switch {
	case outcome == howNoConnect || outcome == howRejected || outcome == howNotSent:
		tookMs = 1 + 3*s.random.Float64()
	case outcome == howTimedOut || s.clockMs+tookMs >= untilMs:
		outcome, tookMs = howTimedOut, max(untilMs-s.clockMs, 0)
	case s.random.Intn(4) == 0:
		s.schedule(r.gateway, tookMs/2, func() []byte {
			if r.attempts[hop].ended {
				return nil
			}
			return encodeRecord(frame.EventStreamStart, u32(id), f64(tookMs/2), u16(uint16(hop)), u32(server))
		})
	}
	s.respond(id, hop, tookMs, outcome)
}

func (s *simulator) drawOutcome(at *simulatedServer) uint8 {
	if s.clockMs > at.failsFromMs && s.clockMs < at.failsUntilMs {
		return []uint8{howErrored, howReset, howTimedOut}[s.random.Intn(3)]
	}
	if at.inFlight > 10 || at.stage != 2 {
		return howRejected
	}
	if rare := s.random.Intn(100); rare < 12 {
		return []uint8{howErrored, howErrored, howRejected, howReset, howTimedOut, howNoConnect, howNotSent, howUnknown}[rare%8]
	}
	return howAnswered
}

// respond tells how an attempt ended, unless it has ended by then.
func (s *simulator) respond(id uint32, hop int, tookMs float64, outcome uint8) {
	r := s.requests[id]
	at := r.attempts[hop].server
	billed, use := uint16(r.units)+uint16(s.random.Intn(3)), uint16(s.random.Intn(180))
	load := []float32{float32(at.inFlight), s.random.Float32(), 1}[:s.random.Intn(4)]
	s.schedule(r.gateway, tookMs, func() []byte {
		if !r.attempts[hop].end() {
			return nil
		}
		r.final = r.final || outcome == howAnswered
		done := byte(0)
		if r.final {
			done = 1
		}
		if outcome != howAnswered && outcome != howErrored {
			billed, use, load = 0, 0, nil
		}
		return encodeRecord(frame.EventAttemptResult, u32(id), u16(uint16(hop)), u32(at.id), []byte{outcome}, f64(tookMs), []byte{done}, u16(use),
			u16(billed), figures(load))
	})
}

// end tells whether the attempt was out until now.
func (a *simulatedAttempt) end() bool {
	if a.ended {
		return false
	}
	a.ended = true
	a.server.inFlight--
	return true
}
