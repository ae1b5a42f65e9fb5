package faultinjection

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Behavior is how a server behaves.
type Behavior uint8

// The moods of a server.
const (
	Healthy      Behavior = iota
	Down                  // refuses connections and resets those it has
	Unresponsive          // takes everything and answers nothing
	Failing               // answers with errors
)

// Server is an emulated server: it works on at most so many tasks at once, each for a time, and turns more away.
type Server struct {
	Name, Zone, Addr string

	recorder      *Recorder
	serviceTime   time.Duration
	maxConcurrent int

	mu          sync.Mutex
	behavior    Behavior
	listener    net.Listener
	conns       map[net.Conn]struct{}
	inFlight    int
	peak        int
	restartedAt time.Time
}

// NewServer starts one; most is how many tasks it works on at once.
func NewServer(name, zone string, serviceTime time.Duration, maxConcurrent int, recorder *Recorder) (*Server, error) {
	s := &Server{Name: name, Zone: zone, recorder: recorder, serviceTime: serviceTime, maxConcurrent: maxConcurrent, conns: map[net.Conn]struct{}{}}
	addr, err := freeAddr() // its own while it is dead, too
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.Addr = addr
	s.acceptFrom(l)
	return s, nil
}

func (s *Server) acceptFrom(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// SetBehavior changes the mood. One that is dead and becomes another listens again, and says since when it runs.
func (s *Server) SetBehavior(behavior Behavior) error {
	s.mu.Lock()
	was := s.behavior
	s.behavior = behavior
	if behavior == Down && was != Down {
		_ = s.listener.Close()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		clear(s.conns)
	}
	s.mu.Unlock()
	if was == Down && behavior != Down {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.restartedAt = time.Now()
		s.mu.Unlock()
		s.acceptFrom(l)
	}
	return nil
}

// SetMaxConcurrent changes how many tasks it works on at once.
func (s *Server) SetMaxConcurrent(maxConcurrent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConcurrent = maxConcurrent
}

// Peak is the most tasks at once since the last call.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peak
	s.peak = s.inFlight
	return p
}

// Close ends it.
func (s *Server) Close() { _ = s.SetBehavior(Down) }

// admit reads the mood; take is to take a place for a task where one is free.
func (s *Server) admit(take bool) (behavior Behavior, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if take && s.behavior == Healthy {
		if s.inFlight >= s.maxConcurrent {
			return s.behavior, true
		}
		s.inFlight++
		s.peak = max(s.peak, s.inFlight)
	}
	return s.behavior, false
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		words, err := fakes.ReadCommand(in)
		if err != nil {
			return
		}
		if len(words) < 4 {
			_, _ = io.WriteString(c, "+PONG\r\n")
			continue
		}
		behavior, full := s.admit(true)
		switch {
		case behavior == Unresponsive:
			continue
		case behavior == Failing:
			_, _ = io.WriteString(c, "-ERR failed\r\n")
			continue
		case full:
			_, _ = io.WriteString(c, "-BUSY\r\n")
			continue
		}
		attempt := parseAttempt(words)
		attempt.Server, attempt.Zone = s.Name, s.Zone
		index := s.recorder.RecordAttempt(attempt)
		time.Sleep(s.serviceTime)
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		s.recorder.RecordCompletion(index)
		if behavior, _ := s.admit(false); behavior == Unresponsive {
			continue
		}
		if _, err := io.WriteString(c, fakes.FormatValue("done", int(attempt.Units))); err != nil {
			return
		}
	}
}

// parseAttempt reads a command of a push.
func parseAttempt(words []string) Attempt {
	attempt := Attempt{Customer: words[1], ID: words[2], Units: 1}
	for _, pair := range strings.Split(words[3], ",") {
		switch key, value, _ := strings.Cut(pair, "="); key {
		case "c":
			attempt.Class = value
		case "units":
			attempt.Units, _ = strconv.ParseFloat(value, 64)
		}
	}
	return attempt
}
