package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// begun is a command whose last byte has come to a server.
type begun struct {
	id   string
	told time.Duration // the time that the command says the gateway will wait
	at   time.Time
}

// server is a stand-in of a server. It begins each command as soon as its last byte has come, works on it and
// answers it with a value that names the request. It may stand still: it reads and writes nothing then, and
// goes on where it was.
type server struct {
	name     string
	site     string
	block    int
	listener net.Listener
	rec      *record
	workFor  func(id string) time.Duration
	copies   atomic.Bool  // one answer in four is followed by a second copy
	hangs    atomic.Bool  // takes work and answers nothing
	still    sync.RWMutex // locked while the server stands still

	mu    sync.Mutex
	begun []begun
}

// Of a second copy: one answer in so many has one, and how many milliseconds it comes late.
const (
	copyEvery   = 4
	minCopyLate = 5
	maxCopyLate = 15
)

func startServer(name, site string, block int, rec *record, workFor func(string) time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, site: site, block: block, listener: listener, rec: rec, workFor: workFor}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// pauseNowAndThen lets the server stand still for 200 to 500 ms, 1 to 2.4 s after it did last.
func (s *server) pauseNowAndThen(random *rand.Rand) {
	for range pauseSpans {
		for end := time.Now().Add(pauseSpan); time.Now().Before(end); {
			time.Sleep(time.Duration(1000+random.IntN(1400)) * time.Millisecond)
			s.still.Lock()
			s.rec.now("stop     server %s", s.name)
			time.Sleep(time.Duration(200+random.IntN(300)) * time.Millisecond)
			s.rec.now("continue server %s", s.name)
			s.still.Unlock()
		}
		time.Sleep(calmSpan)
	}
}

// write writes while the server does not stand still.
func (s *server) write(conn net.Conn, text string) error {
	s.still.RLock()
	defer s.still.RUnlock()
	_, err := conn.Write([]byte(text))
	return err
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		at := time.Now()
		if len(words) == 1 {
			_ = s.write(conn, "+PONG\r\n")
			continue
		}
		if len(words) < 4 {
			_ = s.write(conn, "-SYNTAX\r\n")
			return
		}
		id := words[2]
		told, _ := strconv.Atoi(parameter(words[3], "d"))
		s.mu.Lock()
		s.begun = append(s.begun, begun{id, time.Duration(told) * time.Millisecond, at})
		s.mu.Unlock()
		s.rec.at(at, "run      %s at %s, told d=%d", id, s.name, told)
		if s.hangs.Load() {
			_, _ = reader.ReadByte() // until the gateway gives the attempt up
			return
		}
		time.Sleep(s.workFor(id))
		value := "value of " + id
		answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		if s.write(conn, answer) != nil {
			return
		}
		if !s.copies.Load() || rand.IntN(copyEvery) != 0 {
			continue
		}
		// The connection waits for nothing else now. The gateway may use it again later.
		time.Sleep(time.Duration(minCopyLate+rand.IntN(maxCopyLate-minCopyLate)) * time.Millisecond)
		if s.write(conn, answer) != nil {
			return
		}
		s.rec.now("copied   the answer of %s", id)
	}
}

func (s *server) commands() []begun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]begun(nil), s.begun...)
}
