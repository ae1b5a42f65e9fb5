// Package policy is the decision module of a gateway. It decides which requests are admitted, which
// server gets each attempt, what follows a failure, when load is shed, and which servers are
// ejected or warming up. Package dispatch runs it on sockets, and package simulator/host in the
// operators' simulator. Each of them creates a Gateway with New, passes it every event with the
// current time, and implements Host, whose methods the module calls while it handles an event.
//
// The module is deterministic for a given seed. It does no I/O, reads no clock, starts no goroutine
// and takes no lock. Its methods are not safe for concurrent use. Products that are added to or
// subtracted from something are converted to float64, so that they are rounded in the same way on
// every architecture: the compiler may otherwise fuse both operations into one.
//
// Internally, each event becomes a message to one of a few actors (actor.go), which run until all
// mailboxes are empty. A request passes through admission (is the customer within its quota?), the
// balancer (which server?), the server (the attempt) and the lifecycle (retry or final answer).
// Actors may read each other's state but change it only by messages, which docs/architecture.md
// lists.
package policy

import (
	"math/rand"
	"time"
)

// Gateway is the decision module of one gateway. It is not safe for concurrent use.
type Gateway struct {
	environment
	requests  map[uint32]*requestState // requests without a final answer or with attempts in flight, by ID
	admission *admission
	balancer  *balancer
	lifecycle *lifecycle
}

// environment is the state that the actors of a module share.
type environment struct {
	scheduler
	host              Host
	random            *rand.Rand
	settings          Settings
	classes           []classState  // classes by index in Settings.Classes
	tightestObjective time.Duration // shortest latency objective of the classes that are not retired
	now               time.Duration // time of the latest event
	eventGap          time.Duration // time between the two latest events; the process may have been paused
	firstListAt       eventTime     // time of the first endpoint list
}

// New returns a module with no requests, servers or customers. It does not call the host. The error
// is ErrIncompleteSettings.
func New(settings Settings, seed int64, host Host) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{requests: map[uint32]*requestState{}}
	g.host = host
	g.random = rand.New(rand.NewSource(seed))
	g.applySettings(settings)
	g.lifecycle = &lifecycle{env: &g.environment, requests: g.requests}
	g.balancer = &balancer{
		env: &g.environment, lifecycle: g.lifecycle,
		sharingGateways: float64(settings.Gateways), serversByID: map[uint32]*server{},
	}
	g.admission = &admission{
		env: &g.environment, balancer: g.balancer, lifecycle: g.lifecycle,
		customers: map[uint64]*customerState{}, calls: map[uint64][]counterCall{},
		callProbability: 1, acceptedFraction: 1,
	}
	g.lifecycle.admission = g.admission
	g.lifecycle.balancer = g.balancer
	return g, nil
}

// SetMaxCustomers bounds the customers whose state is kept. 0 means no bound, which is the initial value.
// Requests of a new customer are rejected if none can be evicted for it.
func (g *Gateway) SetMaxCustomers(customers int) { g.admission.maxCustomers = customers }

// SetSharingGateways sets how many gateways send attempts to each listed server. It is fewer than
// all gateways if each uses a subset of the servers. The initial value is Settings.Gateways.
func (g *Gateway) SetSharingGateways(gateways float64) { g.balancer.sharingGateways = max(gateways, 1) }
