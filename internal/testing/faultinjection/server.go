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

// The behaviors of a server.
const (
	Healthy      Behavior = iota
	Down                  // refuses connections, and resets those it has
	Unresponsive          // takes everything and answers nothing
	Failing               // answers with errors
)

// Server is a fake server. It works on a number of requests at once, each for a time, and rejects
// others.
type Server struct {
	Name, Zone, Addr string

	recorder      *Recorder
	serviceTime   time.Duration
	maxConcurrent int

	mu       sync.Mutex
	behavior Behavior
	listener net.Listener
	conns    map[net.Conn]struct{}
	inFlight int
}

// NewServer starts a server on an address that stays its own while it is down.
func NewServer(name, zone string, serviceTime time.Duration, maxConcurrent int, recorder *Recorder) (*Server, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Name: name, Zone: zone, Addr: addr, recorder: recorder, serviceTime: serviceTime, maxConcurrent: maxConcurrent,
		conns: map[net.Conn]struct{}{},
	}
	s.acceptFrom(listener)
	return s, nil
}

func (s *Server) acceptFrom(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// Behavior returns how the server behaves.
func (s *Server) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// SetBehavior changes how the server behaves. One that was down listens again.
func (s *Server) SetBehavior(behavior Behavior) error {
	s.mu.Lock()
	previous := s.behavior
	s.behavior = behavior
	if behavior == Down && previous != Down {
		s.stopListening()
	}
	s.mu.Unlock()
	if previous != Down || behavior == Down {
		return nil
	}
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.acceptFrom(listener)
	return nil
}

// stopListening closes the listener and resets all connections, under the lock.
func (s *Server) stopListening() {
	_ = s.listener.Close() // nobody else closes it
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails on a closed connection alone
		}
		_ = conn.Close()
	}
	clear(s.conns)
}

// Close ends the server.
func (s *Server) Close() { _ = s.SetBehavior(Down) } // fails only where it has to listen

// admit returns the behavior, and takes a place for a request where the server is healthy and has
// one.
func (s *Server) admit() (behavior Behavior, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior != Healthy || s.inFlight >= s.maxConcurrent {
		return s.behavior, false
	}
	s.inFlight++
	return s.behavior, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// minAttemptWords is the length of a request; shorter commands are pings.
const minAttemptWords = 4

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close() // the gateway or stopListening may have closed it
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for reader := bufio.NewReader(conn); ; {
		words, err := fakes.ReadCommand(reader)
		if err != nil {
			return
		}
		answer := "+PONG\r\n"
		if len(words) >= minAttemptWords {
			answer = s.answer(words)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// answer works on a request and returns the answer, empty where there is to be none.
func (s *Server) answer(words []string) string {
	behavior, admitted := s.admit()
	switch {
	case behavior == Unresponsive:
		return ""
	case behavior == Failing:
		return "-ERR failed\r\n"
	case behavior == Healthy && !admitted:
		return "-BUSY\r\n"
	}
	attempt := parseAttempt(words)
	attempt.Server = s.Name
	attempt.Zone = s.Zone
	index := s.recorder.RecordAttempt(attempt)
	time.Sleep(s.serviceTime)
	if admitted {
		s.release()
	}
	s.recorder.RecordCompletion(index)
	if s.Behavior() == Unresponsive {
		return ""
	}
	return fakes.FormatValue("done", int(attempt.Units))
}

// parseAttempt reads the command of an attempt.
func parseAttempt(words []string) Attempt {
	attempt := Attempt{Customer: words[1], ID: words[2], Units: 1}
	for attribute := range strings.SplitSeq(words[3], ",") {
		switch key, value, _ := strings.Cut(attribute, "="); key {
		case "c":
			attempt.Class = value
		case "units":
			attempt.Units, _ = strconv.ParseFloat(value, 64) // a malformed number counts as none
		}
	}
	return attempt
}
