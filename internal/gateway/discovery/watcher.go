// Package discovery decides when the endpoint list is requested and which answer is applied: it
// reads the list from an agent on this machine by long polls (watches). The gateway runs its
// Watcher, which hands each list to the dispatcher.
package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// Watcher hands the endpoint list and its changes to a dispatcher.
type Watcher struct {
	dispatcher       *dispatch.Dispatcher
	log              *zap.Logger
	decoder          decoder
	dial             func(ctx context.Context, network, addr string) (net.Conn, error)
	random           *rand.Rand    // used by Run's goroutine alone
	firstApplied     chan struct{} // closed once a list of discovery is applied
	firstAppliedOnce sync.Once
	knownVersion     int64 // of the list of an earlier run, until a session begins; noVersion: none
	knownAgent       agent // that gave that list

	mu            sync.Mutex
	agent         agent
	cancelSession context.CancelFunc // after it nothing of the session is applied
	hasServers    bool               // the dispatcher has servers
}

// agent is where discovery is read.
type agent struct {
	addr     string // host:port
	isPolled bool   // the agent is not notified of changes: its discovery is polled
}

// New makes a watcher, and hands the dispatcher the endpoints of an earlier run, if the
// configuration has some. The only error is one of that list.
func New(configuration *config.Gateway, dispatcher *dispatch.Dispatcher, log *zap.Logger) (*Watcher, error) {
	w := &Watcher{
		dispatcher:    dispatcher,
		log:           log,
		decoder:       decoder{zones: configuration.Zones, hardware: configuration.Hardware},
		dial:          (&net.Dialer{Timeout: listTimeout}).DialContext, // in both modes
		random:        rand.New(rand.NewPCG(uint64(configuration.Seed), 0)),
		firstApplied:  make(chan struct{}),
		knownVersion:  noVersion,
		agent:         agent{configuration.Discovery, configuration.Settings.PollList},
		cancelSession: func() {},
	}
	if len(configuration.KnownEndpoints) > 0 && string(configuration.KnownEndpoints) != "null" {
		known, err := w.decoder.decodeKnown(configuration.KnownEndpoints)
		if err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
		dispatcher.HandleEndpoints(policy.ListCached, known.servers)
		w.hasServers = !known.isEmpty()
		w.knownVersion = known.version
		w.knownAgent = w.agent
	}
	return w, nil
}

// FirstList is closed once a list that discovery gave is applied.
func (w *Watcher) FirstList() <-chan struct{} { return w.firstApplied }

// SetAgent has another agent followed, or the same in another mode. Once it returns, nothing that
// the earlier one still answers is applied: it may be older than what the new one gives.
func (w *Watcher) SetAgent(addr string, isPolled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := agent{addr, isPolled}
	if next == w.agent {
		return
	}
	w.agent = next
	w.cancelSession()
}

// Run follows the list until the context ends: one agent after the other.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		sessionCtx, cancel := context.WithCancel(ctx)
		current := w.agent
		w.cancelSession = cancel
		w.mu.Unlock()
		w.runSession(sessionCtx, current)
		cancel()
	}
}

// follow calls one agent again and again until the context ends.
func (w *Watcher) runSession(ctx context.Context, current agent) {
	s := newSession(w, current)
	defer func() { s.connection.close() }()
	next := scheduledCall{call: s.firstCall()}
	for ctx.Err() == nil {
		next = s.makeCall(ctx, next.call)
		if !sleep(ctx, next.pause) {
			return
		}
	}
}

// apply hands a list to the dispatcher, unless its session has ended meanwhile.
func (w *Watcher) apply(ctx context.Context, received *endpointList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	switch {
	case received.isFull:
		w.dispatcher.HandleEndpoints(policy.ListFull, received.servers)
		w.hasServers = !received.isEmpty()
	case len(received.servers) > 0:
		w.dispatcher.HandleEndpoints(policy.ListDelta, received.servers)
		w.hasServers = w.hasServers || !received.isEmpty()
	}
	w.firstAppliedOnce.Do(func() { close(w.firstApplied) })
}

// wouldEmpty tells whether a full list would leave the dispatcher without any of the servers that
// it has.
func (w *Watcher) wouldRemoveAllServers(received *endpointList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return received.isFull && received.isEmpty() && w.hasServers
}

// randomBetween draws a time, from least on and below most.
func (w *Watcher) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// sleep waits, and returns false if the context ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
