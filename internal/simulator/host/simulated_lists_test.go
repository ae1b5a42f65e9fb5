package host

import (
	"math"

	"harrierhoist/internal/simulator/frame"
)

func u16(v uint16) []byte { return []byte{byte(v), byte(v >> 8)} }

// figures is a load report as the wire has it.
func figures(values []float32) []byte {
	out := []byte{byte(len(values))}
	for _, v := range values {
		out = append(out, f32(v)...)
	}
	return out
}

func (s *simulator) serverAt(id uint32) *simulatedServer {
	for i := range s.servers {
		if s.servers[i].id == id {
			return &s.servers[i]
		}
	}
	s.t.Fatalf("an attempt at a server that was never listed: %d", id)
	return nil
}

// view is a list of servers, of a kind as the wire numbers them: changes, complete, cached, failed.
func (s *simulator) view(kind uint8, servers []simulatedServer) []byte {
	s.listed++
	fields := [][]byte{u64(s.listed), {kind}, u32(uint32(len(servers)))}
	for i, server := range servers {
		fields = append(fields, []byte{server.stage}, u32(server.id), f32(server.power), f64(server.sinceMs), u16(uint16(i%4)),
			u16(uint16(server.zone)), u16(uint16(i%2)))
	}
	return encodeRecord(frame.EventEndpoints, fields...)
}

// subscribe brings a gateway the complete list, or one time in four none.
func (s *simulator) subscribe(gateway uint32) {
	kind, servers := uint8(1), s.servers
	if s.random.Intn(4) == 0 {
		kind, servers = 3, nil
	}
	s.schedule(gateway, 10, func() []byte { return s.view(kind, servers) })
}

// changeList takes a server through its stages, or starts it anew, and tells the gateways. Now and then
// one is told the complete list instead, or that it failed.
func (s *simulator) changeList() []byte {
	changed := &s.servers[1+s.random.Intn(len(s.servers)-1)]
	switch changed.stage {
	case 2:
		changed.stage = 3
	case 3:
		changed.stage = 1
	default:
		changed.stage, changed.sinceMs = 2, s.clockMs
	}
	delta := []simulatedServer{*changed}
	for id := range s.gateways {
		switch {
		case !s.gateways[id].running:
		case s.random.Intn(10) == 0:
			s.schedule(uint32(id), 1, func() []byte { return s.view(3, nil) })
		case s.random.Intn(10) == 0:
			s.schedule(uint32(id), 1, func() []byte { return s.view(1, s.servers) })
		default:
			s.schedule(uint32(id), 1, func() []byte { return s.view(0, delta) })
		}
	}
	s.schedule(0, 150+400*s.random.Float64(), s.changeList)
	return nil
}

// strayEvent is one that the module as it is asks nothing for: a health check's result, a peer's message, a first byte
// or an answer of a request that it does not know.
func (s *simulator) strayEvent() []byte {
	s.schedule(0, 200*s.random.Float64(), s.strayEvent)
	server := s.servers[s.random.Intn(len(s.servers))].id
	switch s.random.Intn(5) {
	case 0:
		return encodeRecord(frame.EventHealthCheck, u32(server), []byte{howAnswered}, f64(3), figures([]float32{2, 0.5}))
	case 1:
		return encodeRecord(frame.EventPeerMessage, u32(1), u16(4), []byte("hi 7"))
	case 2:
		return encodeRecord(frame.EventStreamStart, u32(math.MaxUint32), f64(4), u16(0), u32(server))
	case 3:
		return encodeRecord(frame.EventDisconnect, u32(math.MaxUint32))
	default:
		return encodeRecord(frame.EventAttemptResult, u32(math.MaxUint32), u16(0), u32(server), []byte{howAnswered}, f64(9), []byte{1}, u16(0),
			u16(2), figures(nil))
	}
}

// count adds to a number of the counter. One call in twenty fails, or is answered late.
func (s *simulator) count(gateway uint32, name uint64, units float64) {
	s.counter[name] += units
	total, tookMs, outcome := s.counter[name], 1+3*s.random.ExpFloat64(), uint8(howAnswered)
	switch s.random.Intn(40) {
	case 0:
		total, tookMs, outcome = 0, 20, howTimedOut
	case 1:
		total, outcome = 0, []uint8{howErrored, howReset, howNoConnect, howUnknown}[s.random.Intn(4)]
	}
	s.schedule(gateway, tookMs, func() []byte {
		return encodeRecord(frame.EventCount, f32(float32(total)), f64(tookMs), u64(name), []byte{outcome})
	})
}
