package emulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/resp"
)

// Server is an emulated server.
type Server struct {
	Name, Addr string
	world      *World
	number     uint32
	zone, rack int
	startedMs  int64
	health     string
	listener   net.Listener
	cores      chan struct{}
	queued     atomic.Int64
	draining   atomic.Bool
	silent     atomic.Bool
	errorRate  atomic.Uint64 // part, as bits
	slowdown   atomic.Uint64 // times, as bits
	Started    atomic.Int64  // that began
	Rejected   atomic.Int64  // turned away

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]struct{}
	closed bool
}

func newServer(w *World, number uint32, seed uint64) (*Server, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Name: fmt.Sprintf("s-%04d", number), Addr: listener.Addr().String(), world: w, number: number, health: "in_service",
		listener: listener, cores: make(chan struct{}, w.Scenario.Servers.Cores), random: rand.New(rand.NewPCG(seed, 9)),
		conns: map[net.Conn]struct{}{},
	}
	s.SetSlowdown(1)
	go s.accept()
	return s, nil
}

// Silence has the server take all and answer nothing, or answer again.
func (s *Server) SetSilent(on bool) { s.silent.Store(on) }

// Fail has it fail a part of its tasks at once.
func (s *Server) SetErrorRate(part float64) { s.errorRate.Store(math.Float64bits(part)) }

// Slow has it work so many times slower.
func (s *Server) SetSlowdown(times float64) { s.slowdown.Store(math.Float64bits(times)) }

// Kill ends it: connections are reset, new ones refused.
func (s *Server) Kill() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(conn net.Conn) {
	c := resp.NewConn(conn)
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for {
		if c.Await() != nil {
			return
		}
		cmd, err := c.ReadCommand(4, nil)
		if err != nil {
			return
		}
		text := s.handleRequest(cmd)
		cmd.Body.Free()
		if text == "" || s.silent.Load() {
			continue
		}
		if c.WriteLine(text) != nil {
			return
		}
	}
}

// answer works on a command and gives its answer; empty means none.
func (s *Server) handleRequest(cmd *resp.Command) string {
	if cmd.Words[0] == "PING" {
		return "+PONG"
	}
	if len(cmd.Words) != 4 || !strings.HasPrefix(cmd.Words[0], "SVC.") {
		return "-SYNTAX"
	}
	terms := map[string]string{}
	for _, pair := range strings.Split(cmd.Words[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		terms[name] = value
	}
	id, err := strconv.ParseUint(cmd.Words[2], 16, 64)
	class := slices.IndexFunc(s.world.Classes, func(l scenario.TrafficClass) bool { return l.Name == terms["c"] })
	if err != nil || class < 0 {
		return "-SYNTAX"
	}
	if s.silent.Load() {
		return ""
	}
	if s.draining.Load() || s.queued.Load() >= int64(s.world.Scenario.Servers.QueueLimit+cap(s.cores)) {
		s.Rejected.Add(1)
		return "-BUSY"
	}
	s.mu.Lock()
	failed := s.random.Float64() < math.Float64frombits(s.errorRate.Load())
	took := s.drawWork(class)
	s.mu.Unlock()
	s.world.Recorder.Record(func(l *invariants.Checker, at time.Duration) { l.AttemptSent(at, unknownGateway, s.number, id) })
	if failed {
		return "-ERR failed"
	}
	s.queued.Add(1)
	defer s.queued.Add(-1)
	s.cores <- struct{}{}
	defer func() { <-s.cores }()
	s.Started.Add(1)
	s.world.Recorder.Record(func(l *invariants.Checker, at time.Duration) { l.EffectRan(at, s.number, id) })
	time.Sleep(time.Duration(float64(took) * math.Float64frombits(s.slowdown.Load())))
	units := terms["units"]
	value := Value(id)
	note := fmt.Sprintf("used=%s,cost=%s", units, units)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1", len(value), value, len(note), note)
}

// Value is what a server answers to a task, so that a client can tell that it is its own.
func Value(id uint64) string { return fmt.Sprintf("done %016x", id) }

// work draws a task's time.
func (s *Server) drawWork(class int) time.Duration {
	l := &s.world.Classes[class]
	mean := float64(l.Work.D())
	switch l.Distribution {
	case "exponential":
		mean *= s.random.ExpFloat64()
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + l.CV*l.CV))
		mean *= math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	}
	return time.Duration(mean)
}
