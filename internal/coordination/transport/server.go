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
	// Voter is the voter, or nil until it has begun.
	Voter() coordination.Voter
	Info() VoterInfo
	// GroupID is the mark drawn when the voters first began, nil until this process has heard it.
	GroupID() []byte
}

// Server answers the calls of other processes. It owns its listener and its connections.
type Server struct {
	host            Host
	http            http.Server
	openConnections atomic.Int64
	maxConnections  int64
	lastWarned      atomic.Int64 // when it was last said that there are too many, on the clock of since
	startedAt       time.Time
	logger          *zap.Logger
	closed          chan struct{}
	connections     sync.WaitGroup
}

// warnInterval is between two lines on too many connections: each one would be a line per follower.
const warnInterval = time.Minute

// Serve answers calls on a listener until Close. No more than most connections are open at a time: a voter that is a
// gateway too needs the process's sockets for its clients. What it guards against is a fleet that grew past what the
// voter was made for; the harm is that followers beyond it turn to other voters.
func Serve(listener net.Listener, host Host, maxConnections int, logger *zap.Logger) *Server {
	s := &Server{host: host, maxConnections: int64(maxConnections), logger: logger, startedAt: time.Now(), closed: make(chan struct{})}
	s.lastWarned.Store(int64(-warnInterval))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathInfo, s.handleInfo)
	mux.HandleFunc("POST "+pathMessages, s.handleMessages)
	mux.HandleFunc("POST "+pathDigests, s.handleDigests)
	mux.HandleFunc("POST "+pathRead, s.handleRead)
	mux.HandleFunc("POST "+pathPropose, s.handlePropose)
	s.http = http.Server{Handler: mux, ReadTimeout: requestReadTimeout, ReadHeaderTimeout: requestReadTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: requestReadTimeout + maxReadWait + responseGrace, MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackConnection,
		ErrorLog: zap.NewStdLog(zap.NewNop())} // it would write a line for each connection that breaks
	go func() {
		defer close(s.closed)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("the link to other processes is down", zap.Error(err))
		}
	}()
	return s
}

// Close ends all calls and connections, and waits for them: up to half a second where a body was just refused.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.closed
	s.connections.Wait()
}

func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
		if s.openConnections.Add(1) > s.maxConnections {
			now, was := int64(time.Since(s.startedAt)), s.lastWarned.Load()
			if now-was >= int64(warnInterval) && s.lastWarned.CompareAndSwap(was, now) {
				s.logger.Warn("more links than allowed: some are closed", zap.Int64("allowed", s.maxConnections))
			}
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
		s.connections.Done()
	}
}

// requireVoter gives the voter, or answers that there is none yet.
func (s *Server) requireVoter(w http.ResponseWriter) coordination.Voter {
	voter := s.host.Voter()
	if voter == nil {
		http.Error(w, "this voter has not begun", http.StatusServiceUnavailable)
	}
	return voter
}

// decodeBody reads a call's body, or answers that it is refused.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, into any) bool {
	if err := readBody(r.Body, r.ContentLength, limit, r.Header.Get(headerChecksum), into); err != nil {
		w.Header().Set("Connection", "close") // what follows on it cannot be trusted
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResponse(w http.ResponseWriter, result any) {
	body, err := encoding.Marshal(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // nobody goes by it
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerChecksum, checksum(body))
	_, _ = w.Write(body) // who does not get it asks again
}

// extendDeadline gives a call that was read more time for its answer. The limit for reading it would else run on, and end it.
func extendDeadline(w http.ResponseWriter, r *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout + responseGrace))
	return context.WithTimeout(r.Context(), timeout)
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
	for _, m := range batch.Messages {
		_ = voter.HandleMessage(r.Context(), m) // one that makes no sense is dropped: its sender sends anew what matters
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
	var query ReadRequest
	if voter == nil || !decodeBody(w, r, maxBodyBytes, &query) {
		return
	}
	wait := min(max(query.Wait, 0), maxReadWait)
	ctx, cancel := extendDeadline(w, r, wait+requestReadTimeout)
	defer cancel()
	found, err := voter.Read(ctx, query.KnownEpochs, wait)
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
	ctx, cancel := extendDeadline(w, r, proposeTimeout)
	defer cancel()
	result, err := voter.Propose(ctx, command)
	writeResponse(w, Response{Error: encodeError(err), Result: result})
}
