package host

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"math"
	"math/rand"
	"testing"

	"harrierhoist/internal/simulator/frame"
)

// simulator is the far end of the adapter's pipe: frames of events are read from it, and replies
// written to it, whose actions bring the next events. All that happens is drawn from one seed.
type simulator struct {
	t        *testing.T
	settings goldenSettings
	random   *rand.Rand
	digest   hash.Hash
	clockMs  float64
	serial   uint32
	unread   []byte // of the frame that is being read
	queue    eventQueue
	sequence int
	gateways []simulatedGateway
	servers  []simulatedServer
	requests map[uint32]*simulatedRequest
	counter  map[uint64]float64
	listed   uint64 // generation of the list of servers
	latestID uint32
	events   map[byte]int // by code
	actions  map[byte]int
}

func newSimulator(t *testing.T, settings goldenSettings, seed int64) *simulator {
	t.Helper()
	s := &simulator{
		t: t, settings: settings, random: rand.New(rand.NewSource(seed)), digest: sha256.New(),
		clockMs: 1000, counter: map[uint64]float64{}, requests: map[uint32]*simulatedRequest{},
		events: map[byte]int{}, actions: map[byte]int{},
	}
	s.start()
	return s
}

type simulatedGateway struct {
	running     bool
	incarnation int
}

type simulatedServer struct {
	id                        uint32
	state                     uint8
	power                     float32
	sinceMs                   float64
	zone                      int
	inFlight                  int
	failsFromMs, failsUntilMs float64
}

type simulatedRequest struct {
	gateway  uint32
	class    uint8
	units    float64
	customer uint64
	final    bool // it has its final answer, or its client has disconnected
	attempts []simulatedAttempt
}

type simulatedAttempt struct {
	server *simulatedServer
	ended  bool
}

// pending is an event that is due at a time, for a gateway as it was started then.
type pending struct {
	atMs        float64
	sequence    int
	gateway     uint32
	incarnation int
	record      func() []byte // nil: it does not happen after all
}

type eventQueue []*pending

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMs < q[j].atMs || q[i].atMs == q[j].atMs && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*pending)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulator) schedule(gateway uint32, inMs float64, record func() []byte) {
	s.sequence++
	heap.Push(&s.queue, &pending{s.clockMs + inMs, s.sequence, gateway, s.gateways[gateway].incarnation, record})
}

// Read gives the frame that is read, or the next one.
func (s *simulator) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if s.unread = s.nextFrame(); s.unread == nil {
			return 0, io.EOF
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

const (
	clockStepMs = 5
	endMs       = 27000
)

// nextFrame gathers what is due by the next step at which anything is.
func (s *simulator) nextFrame() []byte {
	if len(s.queue) == 0 {
		return nil
	}
	for s.queue[0].atMs > s.clockMs {
		s.clockMs += clockStepMs
	}
	if s.clockMs > endMs {
		return nil
	}
	var body []byte
	addressed := uint32(math.MaxUint32)
	for len(s.queue) > 0 && s.queue[0].atMs <= s.clockMs {
		due := heap.Pop(&s.queue).(*pending)
		if due.incarnation != s.gateways[due.gateway].incarnation {
			continue
		}
		record := due.record()
		if record == nil {
			continue
		}
		if due.gateway != addressed {
			addressed = due.gateway
			body = append(body, addresseeRecord(addressed)...)
			s.events[frame.EventAddressee]++
		}
		s.events[record[0]]++
		body = append(body, record...)
	}
	s.serial++
	encoded := append(u32(uint32(16+len(body))), f64(s.clockMs)...)
	return append(append(encoded, u32(s.serial)...), body...)
}

// Write takes a reply: it goes into the hash but for the text of log lines, and its actions are
// performed.
func (s *simulator) Write(reply []byte) (int, error) {
	_, _ = s.digest.Write(reply[4:12])
	var gateway uint32
	for at := 12; at < len(reply); {
		code, size := reply[at], int(binary.LittleEndian.Uint32(reply[at+1:]))
		record := reply[at : at+5+size]
		at += len(record)
		s.actions[code]++
		switch code {
		case frame.ActionLog:
			record = record[:1]
		case frame.ActionInstance:
			gateway = binary.LittleEndian.Uint32(record[5:])
		default:
			s.perform(gateway, code, record[5:])
		}
		_, _ = s.digest.Write(record)
	}
	return len(reply), nil
}

func (s *simulator) perform(gateway uint32, code byte, body []byte) {
	word := func(at int) uint32 { return binary.LittleEndian.Uint32(body[at:]) }
	long := func(at int) uint64 { return binary.LittleEndian.Uint64(body[at:]) }
	number := func(at int) float64 { return math.Float64frombits(long(at)) }
	switch code {
	case frame.ActionAttempt:
		s.attempt(word(0), number(4), word(12))
	case frame.ActionReject:
		s.rejected(word(0), number(4))
	case frame.ActionTerminate:
		s.requests[word(0)].final = true
	case frame.ActionCancel:
		hop := int(binary.LittleEndian.Uint16(body[4:]))
		s.respond(word(0), hop, 1+4*s.random.Float64(), codeCancelled)
	case frame.ActionSetTimer:
		token := long(0)
		s.schedule(gateway, number(8), func() []byte { return encodeRecord(frame.EventTimer, u64(token)) })
	case frame.ActionCount:
		s.count(gateway, long(0), float64(math.Float32frombits(word(16))))
	case frame.ActionWatchEndpoints:
		s.subscribe(gateway)
	}
}
