// Package steer keeps one gateway to the plan that all hold in common: it hands the gate the shares of its own hall while
// the lease on the plan stands, and after that serves near by its own evidence. It runs beside the tasks, never on their
// path: the gate acts on what it was last handed, and on the end of the lease, without it.
package routing

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/failover"
)

// checkInterval is how often it is looked whether the own hall is lost, or the lease renewed.
const checkInterval = 200 * time.Millisecond

// Dispatcher is what is steered.
type Dispatcher interface {
	SetSteering(leased dispatch.Steering, lease time.Duration, fallback dispatch.Steering)
	WriteZoneCounts(add func(name string, n uint64))
	IsZoneLost() bool
}

// Updater is the state of one gateway's steering.
type Updater struct {
	tables     coordination.Client
	dispatcher Dispatcher
	zones      []string
	zone       string
	log        *zap.Logger

	epoch       uint64
	plan        *failover.Plan // the latest heard of; nil: none
	loggedRow   string         // what was last said of it
	inForce     bool           // a plan is in force
	stateLogged bool           // whether one is, has been said
	applied     appliedSteering
}

// appliedSteering is what the gate was last handed; the lease is by its end.
type appliedSteering struct {
	leased, fallback dispatch.Steering
	until            time.Duration
}

// New makes the steering of a gateway in a hall. Halls are all of them, in the order of the list's numbers.
func New(tables coordination.Client, dispatcher Dispatcher, zones []string, zone string, log *zap.Logger) *Updater {
	return &Updater{tables: tables, dispatcher: dispatcher, zones: zones, zone: zone, log: log}
}

// Run steers until the context ends, and has the witness asked for its counts.
func (u *Updater) Run(ctx context.Context) {
	u.tables.RegisterCounters(u.dispatcher.WriteZoneCounts)
	beat := time.NewTicker(checkInterval)
	defer beat.Stop()
	for {
		changed := u.tables.Changed()
		u.Update()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
		}
	}
}

// Update looks at what is held and hands the gate what follows from it.
func (u *Updater) Update() {
	table := u.tables.Cached(failover.Table)
	if table.Epoch != u.epoch {
		u.loadPlan(table)
	}
	left := table.LeaseEnd - u.tables.Now()
	inForce := u.plan != nil && left > 0
	next := appliedSteering{fallback: u.steeringOf(u.plan.FallbackAssignment(u.zone, u.dispatcher.IsZoneLost()))}
	if inForce {
		next.leased, next.until = u.steeringOf(u.plan.Assignment(u.zone)), table.LeaseEnd
	} else {
		left = 0
	}
	u.logState(inForce)
	if next.equal(u.applied) {
		return
	}
	u.applied = next
	u.dispatcher.SetSteering(next.leased, left, next.fallback)
}

// loadPlan reads a plan. One that makes no sense is none.
func (u *Updater) loadPlan(table coordination.CachedTable) {
	u.epoch = table.Epoch
	plan, err := failover.DecodePlan(table.Value)
	if err != nil {
		u.log.Error("the plan makes no sense; this gateway serves near", zap.Uint64("epoch", table.Epoch), zap.Error(err))
	}
	if u.plan = plan; err != nil || plan == nil {
		u.plan = nil
		return
	}
	if row := plan.Describe(u.zone); row != u.loggedRow {
		u.loggedRow = row
		u.log.Info("a plan for this hall", zap.Uint64("epoch", table.Epoch), zap.String("shares", row),
			zap.String("why", plan.Reasons[u.zone]))
	}
}

// logState tells once that there is no plan in force, and that there is one again.
func (u *Updater) logState(inForce bool) {
	if u.stateLogged && u.inForce == inForce {
		return
	}
	u.stateLogged, u.inForce = true, inForce
	if inForce {
		u.log.Info("a plan is in force")
	} else {
		u.log.Warn("no plan in force: near, by this gateway's own evidence")
	}
}

// steeringOf is a part by the numbers of halls. A hall of the plan that the list doesn't have gets nothing, and its share is
// shed: the others were not planned to bear it.
func (u *Updater) steeringOf(assignment failover.Assignment) dispatch.Steering {
	leased := dispatch.Steering{Weights: make([]float64, len(u.zones)), ShedFraction: assignment.Shed}
	sum, found := 0.0, 0.0
	for _, zone := range assignment.Zones() {
		sum += assignment.Weights[zone]
		if i := slices.Index(u.zones, zone); i >= 0 {
			leased.Weights[i] = assignment.Weights[zone]
			found += assignment.Weights[zone]
		}
	}
	if sum > 0 {
		leased.ShedFraction += (1 - leased.ShedFraction) * (1 - found/sum)
	}
	return leased
}

func (h appliedSteering) equal(o appliedSteering) bool {
	same := func(a, b dispatch.Steering) bool {
		return a.ShedFraction == b.ShedFraction && slices.Equal(a.Weights, b.Weights)
	}
	return h.until == o.until && same(h.leased, o.leased) && same(h.fallback, o.fallback)
}
