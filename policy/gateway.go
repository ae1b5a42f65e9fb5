// Package policy decides about requests: which are admitted, which server gets each attempt, what
// follows a failure, when load is shed, and which servers are ejected or warming up. Package
// dispatch calls it on sockets, package simulator/host in the operators' simulator: each makes one
// Gateway with New, hands it every event with the time now, and carries out what it asks of its
// Host within that call.
//
// The module is deterministic from its seed. It does no I/O, reads no clock, starts no goroutine
// and takes no lock: its calls must come one at a time.
//
// Inside, each event becomes a message to one of a few actors (actor.go), which process their
// mailboxes until none holds a message. A request goes through admission (is the customer within
// its quota?), the balancer (which server?), the server (the attempt) and the lifecycle (retry, or
// final answer). Actors read each other's state; only messages change it (docs/architecture.md has
// the table).
package policy

import (
	"math/rand"
	"time"
)

// Gateway is the module of one gateway.
type Gateway struct {
	environment
	requests  map[uint32]*requestState // without a final answer yet, or with an attempt in flight
	admission *admission
	balancer  *balancer
	lifecycle *lifecycle
}

// environment is what the parts of a module share.
type environment struct {
	scheduler
	host              Host
	random            *rand.Rand
	settings          Settings
	classes           []classState  // by index in the settings
	tightestObjective time.Duration // the shortest latency objective of all classes
	now               time.Duration
	standstill        time.Duration // between the two latest events: the process may have stood still so long
	firstListAt       eventTime     // when the first endpoint list came
}

// New makes a module that knows nothing of an earlier incarnation. It asks nothing of the host yet.
// The error is ErrIncompleteSettings.
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

// SetSharers sets how many gateways send attempts to each listed server, where each has a subset of
// them.
func (g *Gateway) SetSharers(gateways float64) { g.balancer.sharingGateways = max(gateways, 1) }
