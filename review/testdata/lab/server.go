package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// run is one execution of a request at a server.
type run struct {
	id, key, class, server, hall string
	units                        float64
	partner                      int // by the customer's number
	began                        time.Time
}

// fleet holds the servers of a case and what they ran.
type fleet struct {
	rec *record

	mu      sync.Mutex
	runs    []run
	arrived []run           // attempts that came whole, run or not
	done    map[string]int  // answers of value given, by request ID
	keys    map[string]held // by group and key
}

// held is a keyed request that a group of servers remembers.
type held struct {
	at    time.Time
	value string
}

func newFleet(rec *record) *fleet {
	return &fleet{rec: rec, done: map[string]int{}, keys: map[string]held{}}
}

// outcome is how a server ends an attempt.
type outcome uint8

const (
	serves   outcome = iota // runs it and answers
	errs                    // runs it and answers -ERR failed
	resets                  // runs it and resets the connection
	hangs                   // runs it and never answers
	turnsOff                // answers -BUSY without running it
)

// server is a stand-in for one server of the protocol page. behave decides how it ends an attempt.
type server struct {
	name, hall, addr string
	block            int
	born             time.Time // zero: long ago
	work             time.Duration
	window           time.Duration // for which its group drops repeats of a key; 0: it knows no keys
	group            string
	behave           func(class string) outcome
	workOf           func(class string) time.Duration // nil: work

	fleet    *fleet
	listener net.Listener
}

func (f *fleet) start(s *server) error {
	s.fleet = f
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = listener
	s.addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		words, err := fakes.ReadCommand(reader)
		if err != nil {
			return
		}
		answer := "-ERR unknown command\r\n"
		switch verb := strings.ToUpper(words[0]); {
		case verb == "PING":
			answer = "+PONG\r\n"
		case verb == "INFO":
			answer = "-NOPERM\r\n"
		case verb == "CLIENT" || verb == "SELECT":
			answer = "+OK\r\n"
		case len(words) >= 4 && (verb == "SVC.QUERY" || verb == "SVC.SUBMIT"):
			answer = s.attempt(words)
		}
		if answer == "" { // the connection is to be reset
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		if answer == silence {
			_, _ = io.Copy(io.Discard, reader) // until the gateway gives up
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// silence stands for no answer at all.
const silence = "silence"

// attempt takes an attempt and returns the answer.
func (s *server) attempt(words []string) string {
	r := run{id: words[2], server: s.name, hall: s.hall, units: 1}
	for pair := range strings.SplitSeq(words[3], ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "c":
			r.class = value
		case "k":
			r.key = value
		case "units":
			r.units, _ = strconv.ParseFloat(value, 64)
		}
	}
	if customer, err := strconv.ParseUint(words[1], 16, 64); err == nil {
		r.partner = int(customer >> 24)
	}
	how := serves
	if s.behave != nil {
		how = s.behave(r.class)
	}
	r.began = s.fleet.rec.add("attempt id=%s class=%s key=%s at %s (%s)", r.id, r.class, r.key, s.name, s.hall)
	s.fleet.mu.Lock()
	s.fleet.arrived = append(s.fleet.arrived, r)
	s.fleet.mu.Unlock()
	if how == turnsOff {
		return "-BUSY\r\n"
	}
	value, repeat := s.remember(r)
	if repeat {
		s.fleet.rec.add("repeat id=%s key=%s dropped at %s (%s)", r.id, r.key, s.name, s.hall)
	} else {
		s.fleet.mu.Lock()
		s.fleet.runs = append(s.fleet.runs, r)
		s.fleet.mu.Unlock()
		s.fleet.rec.add("runs id=%s class=%s key=%s units=%g at %s (%s)", r.id, r.class, r.key, r.units, s.name, s.hall)
		work := s.work
		if s.workOf != nil {
			work = s.workOf(r.class)
		}
		time.Sleep(time.Duration((0.7 + 0.6*rand.Float64()) * float64(work)))
	}
	switch how {
	case errs:
		s.fleet.rec.add("answers id=%s -ERR failed at %s", r.id, s.name)
		return "-ERR failed\r\n"
	case resets:
		s.fleet.rec.add("resets id=%s at %s", r.id, s.name)
		return ""
	case hangs:
		return silence
	}
	s.fleet.mu.Lock()
	s.fleet.done[r.id]++
	s.fleet.mu.Unlock()
	cost := fmt.Sprintf("cost=%g", r.units)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(value), value, len(cost), cost)
}

// remember returns the value that answers a request, and whether the server's group drops it as a
// repeat.
func (s *server) remember(r run) (value string, repeat bool) {
	value = "value-of-" + r.id
	if r.key == "" || s.window == 0 {
		return value, false
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	name := s.group + "/" + r.key
	if known, ok := s.fleet.keys[name]; ok && time.Since(known.at) <= s.window {
		return known.value, true
	}
	s.fleet.keys[name] = held{time.Now(), value}
	return value, false
}
