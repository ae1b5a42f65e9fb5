// Package roster keeps up with discovery: which servers there are, by a watch that is begun again at once, also
// where discovery moves to another address.
package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"go.uber.org/zap"

	"harrierhoist/internal/config"
	"harrierhoist/internal/dispatch"
	"harrierhoist/policy"
)

// Watcher asks discovery's agent.
type Watcher struct {
	dispatcher   *dispatch.Dispatcher
	log          *zap.Logger
	zones, kinds []string
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	random       *rand.Rand    // of Watch's goroutine
	firstApplied chan struct{} // closed with the first list in force
	closeFirst   sync.Once

	mu            sync.Mutex
	agent         agent
	cancelSession context.CancelFunc // ends the watch of an address; what it hears from then on is not applied
	hasServers    bool               // the gate has servers
}

// agent is an agent, and whether lists are pushed to it.
type agent struct {
	addr     string
	isPushed bool
}

// New makes a roster that hands what it learns to the gate, first of all the list as last held.
func New(configuration *config.Gateway, dispatcher *dispatch.Dispatcher, log *zap.Logger) (*Watcher, error) {
	w := &Watcher{dispatcher: dispatcher, log: log, zones: configuration.Zones, kinds: configuration.Hardware, firstApplied: make(chan struct{}),
		random: rand.New(rand.NewPCG(uint64(configuration.Seed), 0)),
		dial:   (&net.Dialer{Timeout: pushedListTimeout}).DialContext, // one that hangs holds no descriptor for longer
		agent:  agent{configuration.Discovery, !configuration.Settings.PollList}, cancelSession: func() {}}
	if len(configuration.KnownEndpoints) > 0 && string(configuration.KnownEndpoints) != "null" {
		received, err := w.decodeKnown(configuration.KnownEndpoints)
		if err != nil {
			return nil, fmt.Errorf("configuration: known: %w", err)
		}
		dispatcher.HandleEndpoints(policy.ListCached, received.servers)
		w.hasServers = !received.isEmpty()
	}
	return w, nil
}

// FirstList is closed once a list that discovery told is in force.
func (w *Watcher) FirstList() <-chan struct{} { return w.firstApplied }

// SetAgent has another address watched, to whose agent lists are pushed, or not. Once it returns, nothing that the old one
// still answers is applied: it may be older than what the new one tells.
func (w *Watcher) SetAgent(addr string, isPushed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if to := (agent{addr, isPushed}); to != w.agent {
		w.agent = to
		w.cancelSession()
	}
}

// Run keeps up until the context ends, at one address after the other, each from its whole list.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		here, end := context.WithCancel(ctx)
		agent := w.agent
		w.cancelSession = end
		w.mu.Unlock()
		w.follow(here, agent)
		end()
	}
}

// apply hands a list to the gate, unless its watch has ended meanwhile.
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
	w.closeFirst.Do(func() { close(w.firstApplied) })
}

// wouldEmpty tells that a list would leave the gate without any of the servers that it has.
func (w *Watcher) wouldEmpty(received *endpointList) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return received.isFull && received.isEmpty() && w.hasServers
}
