// Package steer keeps one gateway to the plan that all hold in common: it hands the gate the shares of its own hall while
// the lease on the plan stands, and after that serves near by its own evidence. It runs beside the tasks, never on their
// path: the gate acts on what it was last handed, and on the end of the lease, without it.
package steer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/gate"
)

// every is how often it is looked whether the own hall is lost, or the lease renewed.
const every = 200 * time.Millisecond

// Gate is what is steered.
type Gate interface {
	Steer(by gate.Steering, lease time.Duration, after gate.Steering)
	Witnessed(add func(name string, n uint64))
	HallLost() bool
}

// Steer is the state of one gateway's steering.
type Steer struct {
	commons cluster.Commons
	gate    Gate
	halls   []string
	hall    string
	log     *zap.Logger

	epoch uint64
	plan  *failover.Plan // the latest heard of; nil: none
	row   string         // what was last said of it
	force bool           // a plan is in force
	said  bool           // whether one is, has been said
	last  handed
}

// handed is what the gate was last handed; the lease is by its end.
type handed struct {
	by, after gate.Steering
	until     time.Duration
}

// New makes the steering of a gateway in a hall. Halls are all of them, in the order of the list's numbers.
func New(commons cluster.Commons, g Gate, halls []string, hall string, log *zap.Logger) *Steer {
	return &Steer{commons: commons, gate: g, halls: halls, hall: hall, log: log}
}

// Run steers until the context ends, and has the witness asked for its counts.
func (s *Steer) Run(ctx context.Context) {
	s.commons.Witness(s.gate.Witnessed)
	beat := time.NewTicker(every)
	defer beat.Stop()
	for {
		changed := s.commons.Changed()
		s.Step()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
		}
	}
}

// Step looks at what is held and hands the gate what follows from it.
func (s *Steer) Step() {
	held := s.commons.Held(failover.Table)
	if held.Epoch != s.epoch {
		s.take(held)
	}
	left := held.Until - s.commons.Now()
	force := s.plan != nil && left > 0
	next := handed{after: s.steering(s.plan.PartAlone(s.hall, s.gate.HallLost()))}
	if force {
		next.by, next.until = s.steering(s.plan.Part(s.hall)), held.Until
	} else {
		left = 0
	}
	s.say(force)
	if next.same(s.last) {
		return
	}
	s.last = next
	s.gate.Steer(next.by, left, next.after)
}

// take reads a plan. One that makes no sense is none.
func (s *Steer) take(held cluster.Held) {
	s.epoch = held.Epoch
	plan, err := failover.Read(held.Value)
	if err != nil {
		s.log.Error("the plan makes no sense; this gateway serves near", zap.Uint64("epoch", held.Epoch), zap.Error(err))
	}
	if s.plan = plan; err != nil || plan == nil {
		s.plan = nil
		return
	}
	if row := plan.Says(s.hall); row != s.row {
		s.row = row
		s.log.Info("a plan for this hall", zap.Uint64("epoch", held.Epoch), zap.String("shares", row),
			zap.String("why", plan.Why[s.hall]))
	}
}

// say tells once that there is no plan in force, and that there is one again.
func (s *Steer) say(force bool) {
	if s.said && s.force == force {
		return
	}
	s.said, s.force = true, force
	if force {
		s.log.Info("a plan is in force")
	} else {
		s.log.Warn("no plan in force: near, by this gateway's own evidence")
	}
}

// steering is a part by the numbers of halls. A hall of the plan that the list doesn't have gets nothing, and its share is
// shed: the others were not planned to bear it.
func (s *Steer) steering(p failover.Part) gate.Steering {
	by := gate.Steering{Weights: make([]float64, len(s.halls)), Shed: p.Shed}
	sum, found := 0.0, 0.0
	for _, hall := range p.Halls() {
		sum += p.Weights[hall]
		if i := slices.Index(s.halls, hall); i >= 0 {
			by.Weights[i] = p.Weights[hall]
			found += p.Weights[hall]
		}
	}
	if sum > 0 {
		by.Shed += (1 - by.Shed) * (1 - found/sum)
	}
	return by
}

func (h handed) same(o handed) bool {
	same := func(a, b gate.Steering) bool { return a.Shed == b.Shed && slices.Equal(a.Weights, b.Weights) }
	return h.until == o.until && same(h.by, o.by) && same(h.after, o.after)
}
