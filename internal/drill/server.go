package drill

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/standin"
)

// Mood is how a server behaves.
type Mood uint8

// The moods of a server.
const (
	Well   Mood = iota
	Dead        // refuses connections and resets those it has
	Silent      // takes everything and answers nothing
	Wrong       // answers with errors
)

// Server is an emulated server: it works on at most so many tasks at once, each for a time, and turns more away.
type Server struct {
	Name, Hall, Addr string

	ledger *Ledger
	takes  time.Duration
	most   int

	mu    sync.Mutex
	mood  Mood
	l     net.Listener
	conns map[net.Conn]struct{}
	busy  int
	peak  int
	since time.Time
}

// NewServer starts one; most is how many tasks it works on at once.
func NewServer(name, hall string, takes time.Duration, most int, ledger *Ledger) (*Server, error) {
	s := &Server{Name: name, Hall: hall, ledger: ledger, takes: takes, most: most, conns: map[net.Conn]struct{}{}}
	addr, err := free() // its own while it is dead, too
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.Addr = addr
	s.open(l)
	return s, nil
}

func (s *Server) open(l net.Listener) {
	s.mu.Lock()
	s.l = l
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

// Become changes the mood. One that is dead and becomes another listens again, and says since when it runs.
func (s *Server) Become(m Mood) error {
	s.mu.Lock()
	was := s.mood
	s.mood = m
	if m == Dead && was != Dead {
		_ = s.l.Close()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
		clear(s.conns)
	}
	s.mu.Unlock()
	if was == Dead && m != Dead {
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.since = time.Now()
		s.mu.Unlock()
		s.open(l)
	}
	return nil
}

// Limit changes how many tasks it works on at once.
func (s *Server) Limit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// Peak is the most tasks at once since the last call.
func (s *Server) Peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peak
	s.peak = s.busy
	return p
}

// Close ends it.
func (s *Server) Close() { _ = s.Become(Dead) }

// feel reads the mood; take is to take a place for a task where one is free.
func (s *Server) feel(take bool) (m Mood, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if take && s.mood == Well {
		if s.busy >= s.most {
			return s.mood, true
		}
		s.busy++
		s.peak = max(s.peak, s.busy)
	}
	return s.mood, false
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
		words, err := standin.Words(in)
		if err != nil {
			return
		}
		if len(words) < 4 {
			_, _ = io.WriteString(c, "+PONG\r\n")
			continue
		}
		m, full := s.feel(true)
		switch {
		case m == Silent:
			continue
		case m == Wrong:
			_, _ = io.WriteString(c, "-ERR failed\r\n")
			continue
		case full:
			_, _ = io.WriteString(c, "-BUSY\r\n")
			continue
		}
		p := pushed(words)
		p.Server, p.Hall = s.Name, s.Hall
		place := s.ledger.Came(p)
		time.Sleep(s.takes)
		s.mu.Lock()
		s.busy--
		s.mu.Unlock()
		s.ledger.Ran(place)
		if m, _ := s.feel(false); m == Silent {
			continue
		}
		if _, err := io.WriteString(c, standin.Value("done", int(p.Units))); err != nil {
			return
		}
	}
}

// pushed reads a command of a push.
func pushed(words []string) Pushed {
	p := Pushed{Customer: words[1], ID: words[2], Units: 1}
	for _, pair := range strings.Split(words[3], ",") {
		switch key, value, _ := strings.Cut(pair, "="); key {
		case "c":
			p.Lane = value
		case "units":
			p.Units, _ = strconv.ParseFloat(value, 64)
		}
	}
	return p
}
