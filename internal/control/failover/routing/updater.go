// Package routing decides by which shares one gateway sends requests to zones: by the failover plan
// while the gateway's lease on it stands, and after that locally, by its own observations. The
// gateway runs an Updater beside its requests; the dispatcher acts on what the Updater last handed
// it, and on the end of the lease, without it.
package routing

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
)

// checkInterval is how often the loss of the own zone and the lease are checked.
const checkInterval = 200 * time.Millisecond

// Dispatcher is what acts on the steering.
type Dispatcher interface {
	// SetSteering steers by the first value until the lease ends, and then by the other. A lease of
	// 0 is over.
	SetSteering(leased dispatch.Steering, lease time.Duration, fallback dispatch.Steering)
	// WriteZoneCounts gives the counts of what the gateway observes of zones.
	WriteZoneCounts(add func(name string, n uint64))
	// IsZoneLost tells whether the own zone is lost by the gateway's own observations.
	IsZoneLost() bool
}

// Updater hands one gateway's dispatcher its steering. It is not safe for concurrent use.
type Updater struct {
	tables     coordination.Client
	dispatcher Dispatcher
	zones      []string
	zone       string
	log        *zap.Logger

	epoch   uint64         // of the plan
	plan    *failover.Plan // the latest; nil if there is none
	applied appliedSteering

	loggedRow   string    // the row that was logged last
	loggedState planState // the state that was logged last
}

// planState is whether the gateway acts on a plan.
type planState int

const (
	planStateUnknown planState = iota // nothing was logged yet
	planInForce
	noPlanInForce
)

// appliedSteering is what the dispatcher was last handed.
type appliedSteering struct {
	leased, fallback dispatch.Steering
	leaseEnd         time.Duration // 0 without a plan in force
}

// New makes the updater of a gateway in a zone. Zones are all zones, in the order of the endpoint
// list's indexes.
func New(tables coordination.Client, dispatcher Dispatcher, zones []string, zone string, log *zap.Logger) *Updater {
	return &Updater{tables: tables, dispatcher: dispatcher, zones: zones, zone: zone, log: log}
}

// Run keeps the steering up to date until the context ends, and registers the dispatcher's counts
// for digests.
func (u *Updater) Run(ctx context.Context) {
	u.tables.RegisterCounters(u.dispatcher.WriteZoneCounts)
	coordination.FollowTables(ctx, u.tables, checkInterval, u.Update)
}

// Update reads the plan and its lease, and hands the dispatcher what follows from them where that
// has changed.
func (u *Updater) Update() {
	table := u.tables.Cached(failover.Table)
	if table.Epoch != u.epoch {
		u.loadPlan(table)
	}
	lease := u.remainingLease(table)
	fallback := u.plan.FallbackAssignment(u.zone, u.dispatcher.IsZoneLost())
	next := appliedSteering{fallback: u.steeringOf(fallback)}
	state := noPlanInForce
	if lease > 0 {
		state = planInForce
		next.leased = u.steeringOf(u.plan.Assignment(u.zone))
		next.leaseEnd = table.LeaseEnd
	}
	u.logState(state)
	if next.equal(u.applied) {
		return
	}
	u.applied = next
	u.dispatcher.SetSteering(next.leased, lease, next.fallback)
}

// remainingLease decides for how long the gateway still acts on the latest plan: until its lease
// ends, and not at all without a plan.
func (u *Updater) remainingLease(table coordination.CachedTable) time.Duration {
	if u.plan == nil {
		return 0
	}
	return max(table.LeaseEnd-u.tables.Now(), 0)
}

// loadPlan takes over a plan. A malformed one counts as none.
func (u *Updater) loadPlan(table coordination.CachedTable) {
	u.epoch = table.Epoch
	plan, err := failover.DecodePlan(table.Value)
	if err != nil {
		u.log.Error("routing: malformed plan, serving locally", zap.Uint64("epoch", table.Epoch), zap.Error(err))
	}
	u.plan = plan
	if plan == nil {
		return
	}
	if row := plan.Describe(u.zone); row != u.loggedRow {
		u.loggedRow = row
		u.log.Info("routing: new shares for this zone", zap.Uint64("epoch", table.Epoch), zap.String("shares", row),
			zap.String("reason", plan.Reasons[u.zone]))
	}
}

// logState logs a change of whether a plan is in force.
func (u *Updater) logState(state planState) {
	if state == u.loggedState {
		return
	}
	u.loggedState = state
	if state == planInForce {
		u.log.Info("routing: plan in force")
	} else {
		u.log.Warn("routing: no plan in force, serving locally")
	}
}

// steeringOf is an assignment by the indexes of zones. A zone of the plan that the endpoint list
// does not have gets nothing, and its share is shed: the others were not planned to take it.
func (u *Updater) steeringOf(assignment failover.Assignment) dispatch.Steering {
	steering := dispatch.Steering{Weights: make([]float64, len(u.zones)), ShedFraction: assignment.Shed}
	sum := 0.0
	found := 0.0
	for _, zone := range assignment.Zones() {
		weight := assignment.Weights[zone]
		sum += weight
		if i := slices.Index(u.zones, zone); i >= 0 {
			steering.Weights[i] = weight
			found += weight
		}
	}
	if sum > 0 {
		steering.ShedFraction += (1 - steering.ShedFraction) * (1 - found/sum)
	}
	return steering
}

func (a appliedSteering) equal(b appliedSteering) bool {
	return a.leaseEnd == b.leaseEnd && equal(a.leased, b.leased) && equal(a.fallback, b.fallback)
}

func equal(a, b dispatch.Steering) bool {
	return a.ShedFraction == b.ShedFraction && slices.Equal(a.Weights, b.Weights)
}
