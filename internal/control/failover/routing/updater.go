// Package routing keeps one gateway to the failover plan that all processes share: it hands the dispatcher the shares of the
// gateway's own zone while the lease on the plan stands, and after that has it serve locally by its own observations. It
// runs beside the requests, never on their path: the dispatcher acts on what it was last handed, and on the end of the
// lease, without it.
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

// Dispatcher is what follows the steering.
type Dispatcher interface {
	// SetSteering steers by the one value until the lease ends, and then by the other. A lease of 0 is over.
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
	plan    *failover.Plan // the latest; nil: none
	applied appliedSteering

	loggedRow     string // the row that was logged last
	isStateLogged bool   // whether a plan is in force was logged
	wasInForce    bool   // and was it
}

// appliedSteering is what the dispatcher was last handed; the lease by its end, 0 without a plan in force.
type appliedSteering struct {
	leased, fallback dispatch.Steering
	leaseEnd         time.Duration
}

// New makes the updater of a gateway in a zone. Zones are all of them, in the order of the endpoint list's indexes.
func New(tables coordination.Client, dispatcher Dispatcher, zones []string, zone string, log *zap.Logger) *Updater {
	return &Updater{tables: tables, dispatcher: dispatcher, zones: zones, zone: zone, log: log}
}

// Run keeps the steering up to date until the context ends, and registers the dispatcher's counts for digests.
func (u *Updater) Run(ctx context.Context) {
	u.tables.RegisterCounters(u.dispatcher.WriteZoneCounts)
	coordination.FollowTables(ctx, u.tables, checkInterval, u.Update)
}

// Update reads the plan and its lease, and hands the dispatcher what follows from them, where that has changed.
func (u *Updater) Update() {
	table := u.tables.Cached(failover.Table)
	if table.Epoch != u.epoch {
		u.loadPlan(table)
	}
	lease := table.LeaseEnd - u.tables.Now()
	inForce := u.plan != nil && lease > 0
	next := appliedSteering{fallback: u.steeringOf(u.plan.FallbackAssignment(u.zone, u.dispatcher.IsZoneLost()))}
	if inForce {
		next.leased, next.leaseEnd = u.steeringOf(u.plan.Assignment(u.zone)), table.LeaseEnd
	} else {
		lease = 0
	}
	u.logState(inForce)
	if next.equal(u.applied) {
		return
	}
	u.applied = next
	u.dispatcher.SetSteering(next.leased, lease, next.fallback)
}

// loadPlan takes over a plan. A malformed one counts as none.
func (u *Updater) loadPlan(table coordination.CachedTable) {
	u.epoch = table.Epoch
	plan, err := failover.DecodePlan(table.Value)
	if err != nil {
		u.log.Error("routing: malformed plan, serving locally", zap.Uint64("epoch", table.Epoch), zap.Error(err))
	}
	if u.plan = plan; plan == nil {
		return
	}
	if row := plan.Describe(u.zone); row != u.loggedRow {
		u.loggedRow = row
		u.log.Info("routing: new shares for this zone", zap.Uint64("epoch", table.Epoch), zap.String("shares", row),
			zap.String("reason", plan.Reasons[u.zone]))
	}
}

// logState logs once that there is no plan in force, and that there is one again.
func (u *Updater) logState(inForce bool) {
	if u.isStateLogged && u.wasInForce == inForce {
		return
	}
	u.isStateLogged, u.wasInForce = true, inForce
	if inForce {
		u.log.Info("routing: plan in force")
	} else {
		u.log.Warn("routing: no plan in force, serving locally")
	}
}

// steeringOf is an assignment by the indexes of zones. A zone of the plan that the endpoint list doesn't have gets nothing, and
// its share is shed: the others were not planned to take it.
func (u *Updater) steeringOf(assignment failover.Assignment) dispatch.Steering {
	steering := dispatch.Steering{Weights: make([]float64, len(u.zones)), ShedFraction: assignment.Shed}
	sum, found := 0.0, 0.0
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
