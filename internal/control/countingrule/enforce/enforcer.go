// Package enforce applies the counting rule in force to a gateway's requests. Its Enforcer connects
// the dispatcher, the counter and the replicated table of counting rules. The gateway runs the
// Enforcer, and the dispatcher calls it for each request. Package countingrule determines which
// versions may be in force; package canary evaluates a new rule.
package enforce

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// updateInterval is the period at which the units of the shadow evaluation are flushed and the
// table's lease is checked.
const updateInterval = 250 * time.Millisecond

// Enforcer assigns requests to counts by the rule in force. It implements dispatch.CountingRules.
// Lock order: the dispatcher's lock may be held when mu is acquired, but not the other way round.
type Enforcer struct {
	log        *zap.Logger
	node       coordination.Client
	dispatcher *dispatch.Dispatcher

	mu              sync.Mutex
	rules           ruleSet
	canary          canaryRun
	admission       *countingrule.Admission
	loggedUncertain bool // the version in force was uncertain when last logged
}

// New returns an Enforcer with the configuration from the operators' file. It keeps the state of at most
// maxKeys counter keys that the decision module does not check itself; 0 means no limit.
func New(config *countingrule.Config, maxKeys int, log *zap.Logger) *Enforcer {
	admission := countingrule.NewAdmission(1)
	admission.SetMaxKeys(maxKeys)
	return &Enforcer{
		log:       log,
		rules:     ruleSet{log: log, config: config, resolved: map[uint64]*countingrule.Resolved{}},
		admission: admission,
	}
}

// Run applies the rule in force to a dispatcher's requests and follows the table until the context
// ends. It returns an error immediately if the dispatcher rejects the plans of the rules. Requests
// are then counted under rule 0.
func (e *Enforcer) Run(ctx context.Context, node coordination.Client, dispatcher *dispatch.Dispatcher) error {
	if err := e.start(node, dispatcher); err != nil {
		return err
	}
	e.loop(ctx)
	return nil
}

// start registers the enforcer with the dispatcher and the node. After that, the dispatcher calls
// Assign for each request.
func (e *Enforcer) start(node coordination.Client, dispatcher *dispatch.Dispatcher) error {
	e.dispatcher = dispatcher
	e.node = node
	cached, _ := e.readTable()
	e.mu.Lock()
	e.rules.applyTable(cached)
	e.mu.Unlock()
	if err := dispatcher.SetCountingRules(e); err != nil {
		return err
	}
	node.RegisterCounters(func(add func(string, uint64)) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.canary.report(add)
	})
	return nil
}

// loop calls update at each change of the table and every updateInterval, until the context ends.
func (e *Enforcer) loop(ctx context.Context) {
	coordination.FollowTables(ctx, e.node, updateInterval, e.update)
}

// update applies the cached table: it passes the plans of new rules to the dispatcher, starts or
// ends the canary, and sends the calls that the canary has pending.
func (e *Enforcer) update() {
	now := e.dispatcher.Now()
	cached, leased := e.readTable()
	e.mu.Lock()
	plansPending := e.rules.applyTable(cached)
	e.logCertainty(e.rules.candidates(now, leased))
	e.mu.Unlock()
	if plansPending {
		if err := e.dispatcher.SetCountingRules(e); err != nil {
			e.log.Error("counting: plans of the rules rejected", zap.Error(err))
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canary.update(&e.rules)
	e.sendCanaryCalls(e.canary.flush(now))
}

// logCertainty logs when the version in force becomes uncertain, and when it becomes certain again.
// mu must be held.
func (e *Enforcer) logCertainty(candidates []uint64) {
	uncertain := len(candidates) > 1
	if uncertain == e.loggedUncertain {
		return
	}
	e.loggedUncertain = uncertain
	if uncertain {
		e.log.Info("counting: version in force uncertain, all candidates must admit",
			zap.Uint64s("versions", candidates))
	} else {
		e.log.Info("counting: version in force certain", zap.Uint64s("versions", candidates))
	}
}

// Reconfigure replaces the configuration after the operators' file was reloaded.
func (e *Enforcer) Reconfigure(config *countingrule.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.setConfig(config)
}

// readTable returns the cached table and whether its lease is valid. The lease may be valid
// although no table was ever written: then rule 0 is in force. mu must not be held, because the
// node collects the enforcer's observations under its own lock.
func (e *Enforcer) readTable() (cached coordination.CachedTable, leased bool) {
	cached = e.node.Cached(countingrule.TableName)
	return cached, e.node.Now() < cached.LeaseEnd
}

// WithRulePlans returns the settings with the plans of all known rules appended.
func (e *Enforcer) WithRulePlans(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rules.withPlans(settings)
}

// ApplySettings applies new settings to the rules, the admission and the canary. It returns the
// settings that clients may see.
func (e *Enforcer) ApplySettings(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.resolve(settings)
	e.admission.Reset(settings.Gateways)
	e.canary.reconfigure(&e.rules)
	return countingrule.ClientSettings(settings)
}

// HandleCounterCall counts a call of the decision module to the counter. For each such call, the
// canary may make CanaryConfig.CallsPermille thousandths of a call.
func (e *Enforcer) HandleCounterCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canary.uncreditedCalls++
}

// Assign returns how a request is counted. The decision module counts it under the first of the
// versions that may be in force now; the counts of the others must admit it, too. The assignment
// holds for the rest of the request, even if another version comes into force.
func (e *Enforcer) Assign(now time.Duration, request dispatch.RequestSpec) dispatch.CountAssignment {
	cached, leased := e.readTable()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.applyTable(cached)
	versions := e.rules.candidates(now, leased)
	if len(versions) == 0 { // no candidate is resolved here
		versions = []uint64{0}
	}
	first := e.rules.assign(versions[0], &request)
	assignment := e.countAssignment(first, &request)
	reservations := e.reserve(now, versions[1:], first, &request)
	if reservations != nil {
		assignment.CheckOtherCounts = reservations.charge
	}
	calls, sampled := e.canary.handleRequest(now, &request)
	e.sendCanaryCalls(calls)
	if sampled || reservations != nil {
		assignment.Completed = func(forwarded bool, units float64) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if sampled {
				e.canary.recordActual(first.Version, request.Units, forwarded)
			}
			if reservations != nil {
				reservations.complete(forwarded, units)
			}
		}
	}
	return assignment
}

// countAssignment returns how the decision module counts a request. Requests of one customer arrive
// at request.GatewayCount gateways, but those of a shared count may arrive at all gateways. mu must
// be held.
func (e *Enforcer) countAssignment(
	first countingrule.Assignment, request *dispatch.RequestSpec,
) dispatch.CountAssignment {
	gateways := request.GatewayCount
	if first.Shared {
		gateways = e.rules.settings.Gateways
	}
	return dispatch.CountAssignment{
		Key:          first.Key,
		Plan:         first.Plan,
		GatewayCount: gateways,
		Weight:       first.Weight,
		PerCustomer:  first.Version == 0,
	}
}

// reserve returns reservations of a request's units at the counter keys of the other candidate
// versions, or nil if there are none. Versions that assign the same key as the first, and plans
// without a rate, need no reservation. mu must be held.
func (e *Enforcer) reserve(
	now time.Duration, versions []uint64, first countingrule.Assignment, request *dispatch.RequestSpec,
) *requestReservations {
	var reserved []countingrule.Reservation
	for _, version := range versions {
		other := e.rules.assign(version, request)
		if plan := e.rules.settings.Plans[other.Plan]; other.Key != first.Key && plan.Rate > 0 {
			reserved = append(reserved, e.admission.Reserve(other, plan, request.Units, now))
		}
	}
	if len(reserved) == 0 {
		return nil
	}
	return newRequestReservations(requestReservations{
		counter:   e.dispatcher,
		timeout:   answerTimeout(&e.rules.settings.Classes[request.Class]),
		weight:    first.Weight,
		mu:        &e.mu,
		admission: e.admission,
	}, reserved)
}
