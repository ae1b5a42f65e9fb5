package host

import (
	"math"

	"harrierhoist/internal/simulator/frame"
)

func u16(v uint16) []byte { return []byte{byte(v), byte(v >> 8)} }

// figures is a load report as the frames have it.
func figures(values []float32) []byte {
	out := []byte{byte(len(values))}
	for _, v := range values {
		out = append(out, f32(v)...)
	}
	return out
}

// Codes that package host knows as whatever it does not name.
const (
	codeListFailed = 3
	codeRemoved    = 1
)

func (s *simulator) serverOf(id uint32) *simulatedServer {
	for i := range s.servers {
		if s.servers[i].id == id {
			return &s.servers[i]
		}
	}
	s.t.Fatalf("an attempt at a server that was never listed: %d", id)
	return nil
}

// view is a list of servers, of a kind as the frames number them: delta, full, cached, failed.
func (s *simulator) view(kind uint8, servers []simulatedServer) []byte {
	s.listed++
	fields := [][]byte{u64(s.listed), {kind}, u32(uint32(len(servers)))}
	for i, server := range servers {
		fields = append(
			fields,
			[]byte{server.state},
			u32(server.id),
			f32(server.power),
			f64(server.sinceMs),
			u16(uint16(i%4)),
			u16(uint16(server.zone)),
			u16(uint16(i%2)),
		)
	}
	return encodeRecord(frame.EventEndpoints, fields...)
}

// subscribe brings a gateway the full list, or one time in four none.
func (s *simulator) subscribe(gateway uint32) {
	kind, servers := uint8(frame.ListFull), s.servers
	if s.random.Intn(4) == 0 {
		kind, servers = codeListFailed, nil
	}
	s.schedule(gateway, 10, func() []byte { return s.view(kind, servers) })
}

// changeList takes a server through its states, or starts it again, and notifies the gateways that
// run.
func (s *simulator) changeList() []byte {
	changed := &s.servers[1+s.random.Intn(len(s.servers)-1)]
	switch changed.state {
	case frame.StateReady:
		changed.state = frame.StateDraining
	case frame.StateDraining:
		changed.state = codeRemoved
	default:
		changed.state, changed.sinceMs = frame.StateReady, s.clockMs
	}
	delta := []simulatedServer{*changed}
	for id := range s.gateways {
		if s.gateways[id].running {
			s.notifyChange(uint32(id), delta)
		}
	}
	s.schedule(0, 150+400*s.random.Float64(), s.changeList)
	return nil
}

// notifyChange brings a gateway a change; now and then the full list instead, or a list that
// failed.
func (s *simulator) notifyChange(gateway uint32, delta []simulatedServer) {
	record := func() []byte { return s.view(frame.ListDelta, delta) }
	if s.random.Intn(10) == 0 {
		record = func() []byte { return s.view(codeListFailed, nil) }
	} else if s.random.Intn(10) == 0 {
		record = func() []byte { return s.view(frame.ListFull, s.servers) }
	}
	s.schedule(gateway, 1, record)
}

// strayEvent is one that the gateway as it is asks nothing for: a health check's result, a peer's
// message, a first byte or an answer of a request that it does not know.
func (s *simulator) strayEvent() []byte {
	s.schedule(0, 200*s.random.Float64(), s.strayEvent)
	server := s.servers[s.random.Intn(len(s.servers))].id
	switch s.random.Intn(5) {
	case 0:
		return encodeRecord(
			frame.EventHealthCheck,
			u32(server),
			[]byte{codeAnswered},
			f64(3),
			figures([]float32{2, 0.5}),
		)
	case 1:
		return encodeRecord(frame.EventPeerMessage, u32(1), u16(4), []byte("hi 7"))
	case 2:
		return encodeRecord(frame.EventStreamStart, u32(math.MaxUint32), f64(4), u16(0), u32(server))
	case 3:
		return encodeRecord(frame.EventDisconnect, u32(math.MaxUint32))
	default:
		return encodeRecord(frame.EventAttemptResult, u32(math.MaxUint32), u16(0), u32(server), []byte{codeAnswered},
			f64(9), []byte{1}, u16(0), u16(2), figures(nil))
	}
}

// count adds to a number of the counter. One call in twenty fails, or is answered late.
func (s *simulator) count(gateway uint32, name uint64, units float64) {
	s.counter[name] += units
	total, tookMs, outcome := s.counter[name], 1+3*s.random.ExpFloat64(), uint8(codeAnswered)
	switch s.random.Intn(40) {
	case 0:
		total, tookMs, outcome = 0, 20, codeTimedOut
	case 1:
		total, outcome = 0, []uint8{codeErrored, codeReset, codeConnectFailed, codeUnknown}[s.random.Intn(4)]
	}
	s.schedule(gateway, tookMs, func() []byte {
		return encodeRecord(frame.EventCount, f32(float32(total)), f64(tookMs), u64(name), []byte{outcome})
	})
}
