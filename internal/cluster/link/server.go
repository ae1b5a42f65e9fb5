package link

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

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// Host is the voter's process that a server answers for.
type Host interface {
	// Voter is the voter, or nil until it has begun.
	Voter() cluster.Voter
	Standing() Standing
	// Group is the mark drawn when the voters first began, nil until this process has heard it.
	Group() []byte
}

// Server answers the calls of other processes. It owns its listener and its connections.
type Server struct {
	host   Host
	http   http.Server
	open   atomic.Int64
	most   int64
	told   atomic.Int64 // when it was last said that there are too many, on the clock of since
	since  time.Time
	log    *zap.Logger
	closed chan struct{}
	conns  sync.WaitGroup
}

// toldEvery is between two lines on too many connections: each one would be a line per follower.
const toldEvery = time.Minute

// Serve answers calls on a listener until Close. No more than most connections are open at a time: a voter that is a
// gateway too needs the process's sockets for its clients. What it guards against is a fleet that grew past what the
// voter was made for; the harm is that followers beyond it turn to other voters.
func Serve(listener net.Listener, host Host, most int, log *zap.Logger) *Server {
	s := &Server{host: host, most: int64(most), log: log, since: time.Now(), closed: make(chan struct{})}
	s.told.Store(int64(-toldEvery))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathStanding, s.standing)
	mux.HandleFunc("POST "+pathMessages, s.messages)
	mux.HandleFunc("POST "+pathDigests, s.digests)
	mux.HandleFunc("POST "+pathRead, s.read)
	mux.HandleFunc("POST "+pathPropose, s.propose)
	s.http = http.Server{Handler: mux, ReadTimeout: readWithin, ReadHeaderTimeout: readWithin, IdleTimeout: idleMost,
		WriteTimeout: readWithin + waitMost + slack, MaxHeaderBytes: headMost, ConnState: s.count,
		ErrorLog: zap.NewStdLog(zap.NewNop())} // it would write a line for each connection that breaks
	go func() {
		defer close(s.closed)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the link to other processes is down", zap.Error(err))
		}
	}()
	return s
}

// Close ends all calls and connections, and waits for them: up to half a second where a body was just refused.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.closed
	s.conns.Wait()
}

func (s *Server) count(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
		if s.open.Add(1) > s.most {
			now, was := int64(time.Since(s.since)), s.told.Load()
			if now-was >= int64(toldEvery) && s.told.CompareAndSwap(was, now) {
				s.log.Warn("more links than allowed: some are closed", zap.Int64("allowed", s.most))
			}
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
		s.conns.Done()
	}
}

// voter gives the voter, or answers that there is none yet.
func (s *Server) voter(w http.ResponseWriter) cluster.Voter {
	v := s.host.Voter()
	if v == nil {
		http.Error(w, "this voter has not begun", http.StatusServiceUnavailable)
	}
	return v
}

// body reads a call's body, or answers that it is refused.
func body(w http.ResponseWriter, r *http.Request, most int64, into any) bool {
	if err := take(r.Body, r.ContentLength, most, r.Header.Get(headerSum), into); err != nil {
		w.Header().Set("Connection", "close") // what follows on it cannot be trusted
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, answer any) {
	text, err := encoding.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil // nobody goes by it
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set(headerSum, sum(text))
	_, _ = w.Write(text) // who does not get it asks again
}

// waits gives a call that was read more time for its answer. The limit for reading it would else run on, and end it.
func waits(w http.ResponseWriter, r *http.Request, within time.Duration) (context.Context, context.CancelFunc) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(within + slack))
	return context.WithTimeout(r.Context(), within)
}

func (s *Server) standing(w http.ResponseWriter, _ *http.Request) { reply(w, s.host.Standing()) }

func (s *Server) messages(w http.ResponseWriter, r *http.Request) {
	v := s.voter(w)
	var post Post
	if v == nil || !body(w, r, messageMost, &post) {
		return
	}
	if post.To != s.host.Standing().Number {
		http.Error(w, "for another voter", http.StatusMisdirectedRequest)
		return
	}
	for _, m := range post.Messages {
		_ = v.Step(r.Context(), m) // one that makes no sense is dropped: its sender sends anew what matters
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) digests(w http.ResponseWriter, r *http.Request) {
	v := s.voter(w)
	var all []evidence.Digest
	if v == nil || !body(w, r, bodyMost, &all) {
		return
	}
	if err := digestsFit(all); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Take(all)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	v := s.voter(w)
	var q Question
	if v == nil || !body(w, r, bodyMost, &q) {
		return
	}
	wait := min(max(q.Wait, 0), waitMost)
	ctx, cancel := waits(w, r, wait+readWithin)
	defer cancel()
	found, err := v.Read(ctx, q.Known, wait)
	reply(w, Answer{Fault: said(err), Tables: found, Group: s.host.Group()})
}

func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	v := s.voter(w)
	var c tables.Command
	if v == nil || !body(w, r, bodyMost, &c) {
		return
	}
	if err := fit(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := waits(w, r, proposeMost)
	defer cancel()
	result, err := v.Propose(ctx, c)
	reply(w, Answer{Fault: said(err), Result: result})
}
