// Package discovery keeps the gateway's endpoint list up to date. It requests the full list from a
// discovery agent on this machine and then follows changes by long polls, which are called watches.
// The gateway runs a Watcher, which passes each valid list to the dispatcher.
//
// Discovery works in one of two modes, which the configuration selects:
//
//   - Notified: discovery notifies the agent of changes. The agent returns the full list
//     immediately, and answers a watch as soon as something changes.
//   - Polled: discovery notifies nobody, and must be polled for changes. It accepts a call from
//     each gateway only once every few seconds. Other calls wait for their turn or are rejected.
//
// In both modes a gateway requests the full list and watches for changes. The mode determines the
// timeouts of the calls, the pauses between them, and the first call if there is a known list.
package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/numbering"
	"harrierhoist/policy"
)

// Watcher follows the endpoint list of a discovery agent and passes the list and its changes to a
// dispatcher.
type Watcher struct {
	dispatcher       *dispatch.Dispatcher
	log              *zap.Logger
	decoder          decoder
	dial             func(ctx context.Context, network, addr string) (net.Conn, error)
	random           *rand.Rand    // used only by Run's goroutine
	firstApplied     chan struct{} // closed when the first list from discovery has been applied
	firstAppliedOnce sync.Once
	knownVersion     int64 // version of the known list; noVersion if it has none, or once a session has begun
	knownAgent       agent // agent that served the known list

	mu            sync.Mutex
	loggedZones   []string // unknown zones that were logged
	agent         agent
	cancelSession context.CancelFunc // no answer of the session is applied after it is called
	hasServers    bool               // the dispatcher may have servers; cleared by an empty full list
}

// agent identifies a discovery agent and the mode of discovery.
type agent struct {
	addr     string // host:port
	isPolled bool   // discovery is polled; if false, it notifies the agent of changes
}

// New returns a watcher. The configuration may contain the known list, which is the endpoint list
// of an earlier run. New passes it to the dispatcher, and returns an error only if it is malformed.
func New(configuration *config.Gateway, dispatcher *dispatch.Dispatcher, log *zap.Logger) (*Watcher, error) {
	w := &Watcher{
		dispatcher:    dispatcher,
		log:           log,
		decoder:       decoder{numbering.New(configuration.Zones), numbering.New(configuration.ServerModels)},
		dial:          (&net.Dialer{Timeout: listTimeout}).DialContext, // the same timeout in both modes
		random:        rand.New(rand.NewPCG(uint64(configuration.Seed), 0)),
		firstApplied:  make(chan struct{}),
		knownVersion:  noVersion,
		agent:         agent{configuration.Discovery, configuration.Settings.PollList},
		cancelSession: func() {},
	}
	if len(configuration.KnownEndpoints) > 0 && string(configuration.KnownEndpoints) != "null" {
		knownList, err := w.decoder.decodeKnown(configuration.KnownEndpoints)
		if err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
		w.logUnknownZones(knownList)
		dispatcher.HandleEndpoints(policy.ListCached, knownList.servers)
		w.hasServers = !knownList.isEmpty()
		w.knownVersion = knownList.version
		w.knownAgent = w.agent
	}
	return w, nil
}

// FirstListApplied returns a channel that is closed when the first list from discovery has been
// applied. The known list does not count. An answer that reports no change of it does count.
func (w *Watcher) FirstListApplied() <-chan struct{} { return w.firstApplied }

// SetAgent replaces the agent to follow, or changes its mode. After SetAgent returns, no answer of
// the previous agent is applied, because it may be older than the answers of the new one. Setting
// the current agent again has no effect. SetAgent may be called while Run is running.
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

// Run follows the list of the current agent until the context is canceled. It starts a new session
// whenever SetAgent changes the agent. Only one call of Run may be active.
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

// runSession calls an agent repeatedly until the context is canceled.
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

// apply passes a list to the dispatcher, unless ctx, the context of its session, has been canceled.
func (w *Watcher) apply(ctx context.Context, received *endpointList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	w.logUnknownZones(received)
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

// logUnknownZones logs each zone of the list's servers that the configuration does not contain, once.
// The caller must hold mu, unless the watcher is not in use yet.
func (w *Watcher) logUnknownZones(received *endpointList) {
	for _, zone := range received.unknownZones {
		if slices.Contains(w.loggedZones, zone) {
			continue
		}
		w.loggedZones = append(w.loggedZones, zone)
		w.log.Warn("discovery: servers in a zone that settings.Dcs did not name at the start", zap.String("zone", zone))
	}
}

// wouldRemoveAllServers reports whether the list is full and empty although the dispatcher may have
// servers.
func (w *Watcher) wouldRemoveAllServers(received *endpointList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return received.isFull && received.isEmpty() && w.hasServers
}

// randomBetween returns a random duration in the half-open interval [low, high).
func (w *Watcher) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// sleep waits for the pause. It returns false if the context is canceled before the pause ends.
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
