package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Host is the voter's process that a server answers for.
type Host interface {
	// Voter is the voter, or nil until it has started.
	Voter() coordination.Voter
	// Info is who the voter is.
	Info() VoterInfo
	// GroupID is drawn when the voters first start; nil until this process has read it.
	GroupID() []byte
}

// Server answers the calls of other processes. It owns its listener and its connections.
type Server struct {
	host   Host
	http   http.Server
	logger *zap.Logger
	closed chan struct{} // closed once the listener is

	maxConnections  int64
	openConnections atomic.Int64
	connections     sync.WaitGroup
	startedAt       time.Time
	lastWarned      atomic.Int64 // when the limit was last logged, in nanoseconds since startedAt
}

// warnInterval is the shortest time between two log lines on too many connections, of which each
// follower would cause one.
const warnInterval = time.Minute

// Serve answers calls on a listener until Close. No more than maxConnections are open at a time: a
// voter that is a gateway too needs the process's sockets for its clients. Followers beyond the
// limit turn to other voters.
func Serve(listener net.Listener, host Host, maxConnections int, logger *zap.Logger) *Server {
	server := &Server{
		host: host, logger: logger, closed: make(chan struct{}),
		maxConnections: int64(maxConnections), startedAt: time.Now(),
	}
	server.lastWarned.Store(int64(-warnInterval))
	server.http = http.Server{
		Handler:        server.routes(),
		ReadTimeout:    requestReadTimeout,
		IdleTimeout:    idleTimeout,
		WriteTimeout:   requestReadTimeout + maxReadWait + responseGrace,
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: requestReadTimeout,
		ConnState: server.trackConnection,
		ErrorLog:  zap.NewStdLog(zap.NewNop()), // otherwise each connection that breaks is a line
	}
	go func() {
		defer close(server.closed)
		if err := server.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("transport: server failed", zap.Error(err))
		}
	}()
	return server
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathInfo, s.handleInfo)
	mux.HandleFunc("POST "+pathMessages, s.handleMessages)
	mux.HandleFunc("POST "+pathDigests, s.handleDigests)
	mux.HandleFunc("POST "+pathRead, s.handleRead)
	mux.HandleFunc("POST "+pathPropose, s.handlePropose)
	return mux
}

// Close ends all calls and connections, and waits for them: up to half a second where a body was
// just rejected.
func (s *Server) Close() {
	_ = s.http.Close() // its error is that of closing the listener, which nobody uses any more
	<-s.closed
	s.connections.Wait()
}

// trackConnection counts the open connections, and closes new ones beyond the limit.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
		if s.openConnections.Add(1) > s.maxConnections {
			s.warnOfLimit()
			_ = conn.Close() // an error changes nothing for the other end
		}
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
		s.connections.Done()
	case http.StateActive, http.StateIdle: // it is counted already
	}
}

// warnOfLimit logs that connections are closed, once in warnInterval.
func (s *Server) warnOfLimit() {
	now := int64(time.Since(s.startedAt))
	last := s.lastWarned.Load()
	if now-last >= int64(warnInterval) && s.lastWarned.CompareAndSwap(last, now) {
		s.logger.Warn("transport: too many connections, closing new ones", zap.Int64("allowed", s.maxConnections))
	}
}

func (s *Server) handleInfo(w http.ResponseWriter, _ *http.Request) { writeResponse(w, s.host.Info()) }

func (s *Server) handleMessages(w http.ResponseWriter, r *http.Request) {
	voter := s.requireVoter(w)
	var batch MessageBatch
	if voter == nil || !decodeBody(w, r, maxMessageBodyBytes, &batch) {
		return
	}
	if batch.To != s.host.Info().Number {
		http.Error(w, "for another voter", http.StatusMisdirectedRequest)
		return
	}
	for _, message := range batch.Messages {
		_ = voter.HandleMessage(r.Context(), message) // a rejected one is dropped, as a lost one would be
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDigests(w http.ResponseWriter, r *http.Request) {
	voter := s.requireVoter(w)
	var digests []observation.Digest
	if voter == nil || !decodeBody(w, r, maxBodyBytes, &digests) {
		return
	}
	if err := validateDigests(digests); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	voter.AddDigests(digests)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	voter := s.requireVoter(w)
	var request ReadRequest
	if voter == nil || !decodeBody(w, r, maxBodyBytes, &request) {
		return
	}
	wait := min(max(request.Wait, 0), maxReadWait)
	timeout := wait + requestReadTimeout
	extendReadDeadline(w, timeout)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	found, err := voter.Read(ctx, request.KnownEpochs, wait)
	writeResponse(w, Response{Error: encodeError(err), Tables: found, GroupID: s.host.GroupID()})
}

func (s *Server) handlePropose(w http.ResponseWriter, r *http.Request) {
	voter := s.requireVoter(w)
	var command statemachine.Command
	if voter == nil || !decodeBody(w, r, maxBodyBytes, &command) {
		return
	}
	if err := validateCommand(command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	extendReadDeadline(w, proposeTimeout)
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	result, err := voter.Propose(ctx, command)
	writeResponse(w, Response{Error: encodeError(err), Result: result})
}

// requireVoter returns the voter, or answers the call and returns nil where it has not started.
func (s *Server) requireVoter(w http.ResponseWriter) coordination.Voter {
	voter := s.host.Voter()
	if voter == nil {
		http.Error(w, "this voter has not begun", http.StatusServiceUnavailable)
	}
	return voter
}

// decodeBody reads a call's body, and reports whether it could be read. Else the call is answered.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	if err := readBody(r.Body, r.ContentLength, limit, r.Header.Get(headerChecksum), into); err != nil {
		w.Header().Set("Connection", "close") // what follows on it cannot be trusted
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResponse answers a call with a value and its checksum.
func writeResponse(w http.ResponseWriter, response any) {
	body, err := encoding.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // no client reads it
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerChecksum, checksum(body))
	_, _ = w.Write(body) // a client that does not get it calls again
}

// extendReadDeadline gives a call that was read more time for its response: net/http's limit for
// reading the call would go on to run, and end it. Where it cannot be set, the call ends at that
// limit.
func extendReadDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout + responseGrace))
}
