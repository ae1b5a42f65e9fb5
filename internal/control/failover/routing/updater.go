// Package routing determines the shares by which one gateway distributes requests over zones. While
// the gateway's lease on the failover plan is valid, the plan determines them. After that the
// gateway serves locally and relies on its own observations. The gateway runs an Updater in the
// background. The dispatcher holds the steering that the Updater last set, and switches to the
// fallback by itself when the lease ends.
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

// checkInterval is the time between checks of the lease and of the gateway's own zone.
const checkInterval = 200 * time.Millisecond

// Dispatcher distributes the gateway's requests according to its steering.
type Dispatcher interface {
	// SetSteering makes the dispatcher use leased until the lease ends, and fallback after that. A
	// lease of 0 has already ended.
	SetSteering(leased dispatch.Steering, lease time.Duration, fallback dispatch.Steering)
	// WriteZoneCounts passes the counts of the gateway's observations of zones to add.
	WriteZoneCounts(add func(name string, n uint64))
	// IsZoneLost reports whether the gateway's own observations show that its zone is lost.
	IsZoneLost() bool
}

// Updater sets the steering of one gateway's dispatcher. It is not safe for concurrent use.
type Updater struct {
	tables     coordination.Client
	dispatcher Dispatcher
	zones      []string // all zones, in the order of the endpoint list's indexes
	zone       string   // zone of the gateway
	log        *zap.Logger

	epoch   uint64         // epoch of the plan
	plan    *failover.Plan // latest plan; nil if there is none
	applied appliedSteering

	loggedRow   string    // last row that was logged
	loggedState planState // last state that was logged
}

// planState states whether the gateway acts on a plan.
type planState int

const (
	planStateUnknown planState = iota // no state was logged yet
	planInForce
	noPlanInForce
)

// appliedSteering is the steering that was last set.
type appliedSteering struct {
	leased, fallback dispatch.Steering
	leaseEnd         time.Duration // end of the lease on the plan; 0 if no plan is in force
}

// New returns the updater of a gateway in a zone. zones lists all zones, in the order of the
// endpoint list's indexes.
func New(tables coordination.Client, dispatcher Dispatcher, zones []string, zone string, log *zap.Logger) *Updater {
	return &Updater{tables: tables, dispatcher: dispatcher, zones: zones, zone: zone, log: log}
}

// Run registers the dispatcher's counts for digests and keeps the steering up to date. It blocks
// until the context ends.
func (u *Updater) Run(ctx context.Context) {
	u.tables.RegisterCounters(u.dispatcher.WriteZoneCounts)
	coordination.FollowTables(ctx, u.tables, checkInterval, u.Update)
}

// Update reads the plan and its lease, and sets the dispatcher's steering if it has changed.
func (u *Updater) Update() {
	table := u.tables.Cached(failover.TableName)
	if table.Epoch != u.epoch {
		u.loadPlan(table)
	}
	lease := u.remainingLease(table)
	fallback := u.plan.FallbackAssignment(u.zone, u.dispatcher.IsZoneLost())
	next := appliedSteering{fallback: u.toSteering(fallback)}
	state := noPlanInForce
	if lease > 0 {
		state = planInForce
		next.leased = u.toSteering(u.plan.Assignment(u.zone))
		next.leaseEnd = table.LeaseEnd
	}
	u.logState(state)
	if next.equal(u.applied) {
		return
	}
	u.applied = next
	u.dispatcher.SetSteering(next.leased, lease, next.fallback)
}

// remainingLease returns how long the gateway may still act on the latest plan. It is 0 if there is
// no plan or the lease has ended.
func (u *Updater) remainingLease(table coordination.CachedTable) time.Duration {
	if u.plan == nil {
		return 0
	}
	return max(table.LeaseEnd-u.tables.Now(), 0)
}

// loadPlan decodes the plan in the table and replaces the latest one. A malformed plan counts as
// none.
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

// logState logs whether a plan is in force, if that has changed.
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

// toSteering converts an assignment to zone indexes. The share of a zone that the endpoint list
// does not contain is shed, since the plan has reserved no capacity for it in other zones.
func (u *Updater) toSteering(assignment failover.Assignment) dispatch.Steering {
	steering := dispatch.Steering{Weights: make([]float64, len(u.zones)), ShedFraction: assignment.Shed}
	totalWeight := 0.0
	knownWeight := 0.0
	for _, zone := range assignment.Zones() {
		weight := assignment.Weights[zone]
		totalWeight += weight
		if i := slices.Index(u.zones, zone); i >= 0 {
			steering.Weights[i] = weight
			knownWeight += weight
		}
	}
	if totalWeight > 0 {
		steering.ShedFraction += (1 - steering.ShedFraction) * (1 - knownWeight/totalWeight)
	}
	return steering
}

func (a appliedSteering) equal(b appliedSteering) bool {
	return a.leaseEnd == b.leaseEnd && equal(a.leased, b.leased) && equal(a.fallback, b.fallback)
}

func equal(a, b dispatch.Steering) bool {
	return a.ShedFraction == b.ShedFraction && slices.Equal(a.Weights, b.Weights)
}
