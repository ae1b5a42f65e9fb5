package emulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

// The words of a command, by their place.
const (
	verbWord = iota
	customerWord
	requestWord
	argumentsWord
	maxWords
)

const (
	// workStream is the random stream that the work of requests is drawn from.
	workStream = 9
	// idBase and idBits are the form of a request's ID on the wire.
	idBase = 16
	idBits = 64
)

// Answers of a server.
const (
	answerPong     = "+PONG"
	answerSyntax   = "-SYNTAX"
	answerRejected = "-BUSY"
)

// Server is an emulated server. It works on one request a core at a time; others queue, and beyond
// the queue they are rejected.
type Server struct {
	Name, Addr string
	Started    atomic.Int64 // requests that began to run

	spec     *scenario.Scenario
	recorder *Recorder
	number   uint32
	listener net.Listener
	cores    chan struct{} // holds an element for each busy core
	inFlight atomic.Int64  // requests that queue or run
	silent   atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]struct{}
	closed bool
}

func newServer(
	ctx context.Context, spec *scenario.Scenario, recorder *Recorder, number uint32, seed uint64,
) (*Server, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Name:     fmt.Sprintf("s-%04d", number),
		Addr:     listener.Addr().String(),
		spec:     spec,
		recorder: recorder,
		number:   number,
		listener: listener,
		cores:    make(chan struct{}, spec.Servers.Cores),
		random:   rand.New(rand.NewPCG(seed, workStream)),
		conns:    map[net.Conn]struct{}{},
	}
	go s.accept()
	return s, nil
}

// SetSilent has the server accept everything and answer nothing, or answer again.
func (s *Server) SetSilent(silent bool) { s.silent.Store(silent) }

// close ends the server: connections are reset, new ones refused.
func (s *Server) close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // else the connection ends without a reset, which serves as well
		}
		_ = conn.Close() // its goroutine may have closed it
	}
	return err
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close() // nothing was read or written
			return
		}
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(raw net.Conn) {
	conn := resp.NewConn(raw)
	defer func() {
		_ = conn.Close() // close may have closed it
		s.mu.Lock()
		delete(s.conns, raw)
		s.mu.Unlock()
	}()
	for {
		if conn.Await() != nil {
			return
		}
		command, err := conn.ReadCommand(maxWords, nil)
		if err != nil {
			return
		}
		answer := s.handleCommand(command)
		command.Body.Free()
		if answer == "" || s.silent.Load() {
			continue
		}
		if conn.WriteLine(answer) != nil {
			return
		}
	}
}

// handleCommand works on a command and returns its answer; "" means none.
func (s *Server) handleCommand(command *resp.Command) string {
	if command.Words[verbWord] == "PING" {
		return answerPong
	}
	if len(command.Words) != maxWords || !strings.HasPrefix(command.Words[verbWord], "SVC.") {
		return answerSyntax
	}
	arguments := map[string]string{}
	for _, pair := range strings.Split(command.Words[argumentsWord], ",") {
		name, value, _ := strings.Cut(pair, "=")
		arguments[name] = value
	}
	id, err := strconv.ParseUint(command.Words[requestWord], idBase, idBits)
	class := slices.IndexFunc(s.spec.Classes, func(c scenario.TrafficClass) bool { return c.Name == arguments["c"] })
	if err != nil || class < 0 {
		return answerSyntax
	}
	if s.silent.Load() {
		return ""
	}
	if s.inFlight.Load() >= int64(s.spec.Servers.QueueLimit+cap(s.cores)) {
		return answerRejected
	}
	s.run(id, &s.spec.Classes[class])
	value := Value(id)
	attributes := fmt.Sprintf("used=%s,cost=%s", arguments["units"], arguments["units"])
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1", len(value), value, len(attributes), attributes)
}

// run waits for a core and holds it for as long as the request's work takes.
func (s *Server) run(id uint64, class *scenario.TrafficClass) {
	work := s.drawWork(class)
	s.recorder.Record(func(checker *invariants.Checker, at time.Duration) {
		checker.AttemptSent(at, unknownGateway, s.number, id)
	})
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.cores <- struct{}{}
	defer func() { <-s.cores }()
	s.Started.Add(1)
	s.recorder.Record(func(checker *invariants.Checker, at time.Duration) { checker.EffectRan(at, s.number, id) })
	time.Sleep(work)
}

// Value is a server's answer to a request. It differs from request to request, so that a client can
// tell whether an answer is its own.
func Value(id uint64) string { return fmt.Sprintf("done %016x", id) }

// drawWork draws how long a request takes on a core.
func (s *Server) drawWork(class *scenario.TrafficClass) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Float64() // an unused draw before each request: a seed gives the same work as before
	return class.DrawWork(s.random)
}
