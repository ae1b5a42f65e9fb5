// Package enforce has a gateway's requests counted by the rule in force: it connects the
// dispatcher, the counter and the replicated table of counting rules. The gateway runs its
// Enforcer, and the dispatcher calls it for each request. Which versions may be in force is decided
// by package countingrule, what a new rule would do by package canary.
package enforce

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// updateInterval is how often the shadow evaluation's units are flushed, and the table's lease is
// examined.
const updateInterval = 250 * time.Millisecond

// Enforcer counts requests by rule. It implements dispatch.CountingRules. Its lock is taken under
// the dispatcher's, never the other way round.
type Enforcer struct {
	log        *zap.Logger
	node       coordination.Client
	dispatcher *dispatch.Dispatcher

	mu              sync.Mutex
	rules           ruleSet
	canary          canaryRun
	admission       *countingrule.Admission
	loggedUncertain bool // as last logged: it is not certain which version is in force
}

// New makes an enforcer of a file's configuration.
func New(config *countingrule.Config, log *zap.Logger) *Enforcer {
	return &Enforcer{
		log:       log,
		rules:     ruleSet{log: log, config: config, resolved: map[uint64]*countingrule.Resolved{}},
		admission: countingrule.NewAdmission(1),
	}
}

// Run has a dispatcher's requests counted by the rule in force and follows the table until the
// context ends. Its error tells that the dispatcher accepts none of the rules: requests are counted
// by rule 0.
func (e *Enforcer) Run(ctx context.Context, node coordination.Client, dispatcher *dispatch.Dispatcher) error {
	if err := e.start(node, dispatcher); err != nil {
		return err
	}
	e.loop(ctx)
	return nil
}

// start puts the enforcer between a dispatcher and the table: requests are counted by rule from
// here on.
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

func (e *Enforcer) loop(ctx context.Context) {
	coordination.FollowTables(ctx, e.node, updateInterval, e.update)
}

// update brings new rules into the dispatcher's plans, begins or ends a canary, and flushes its
// calls.
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

// logCertainty logs when it becomes uncertain which version is in force, and when it is certain
// again.
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

// Reconfigure takes the configuration of a file that was read again.
func (e *Enforcer) Reconfigure(config *countingrule.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.setConfig(config)
}

// readTable gives the table as cached, and whether its lease holds; a table that was never written
// has a lease, too. It is called without the enforcer's lock: the node collects the enforcer's
// observations under a lock of its own.
func (e *Enforcer) readTable() (cached coordination.CachedTable, leased bool) {
	cached = e.node.Cached(countingrule.TableName)
	return cached, e.node.Now() < cached.LeaseEnd
}

// WithRulePlans gives settings with the rules' own plans behind them.
func (e *Enforcer) WithRulePlans(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rules.withPlans(settings)
}

// WithoutRulePlans puts settings into force for the rules and gives them as clients may know them.
func (e *Enforcer) WithoutRulePlans(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.resolve(settings)
	e.admission.Reset(settings.Gateways)
	e.canary.reconfigure(&e.rules)
	return countingrule.ClientSettings(settings)
}

// HandleCounterCall counts a call that the decision module makes: it earns the canary a part of one
// (CallsPermille).
func (e *Enforcer) HandleCounterCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canary.uncreditedCalls++
}

// Assign decides how a request is counted: by the first of the versions that may be in force now,
// and at the counts of the others, which must admit it, too. The request keeps these counts,
// whichever version is in force later.
func (e *Enforcer) Assign(now time.Duration, request dispatch.RequestSpec) dispatch.CountAssignment {
	cached, leased := e.readTable()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rules.applyTable(cached)
	versions := e.rules.candidates(now, leased)
	if len(versions) == 0 { // none of them can be resolved here
		versions = []uint64{0}
	}
	first := e.rules.assign(versions[0], &request)
	assignment := e.countAssignment(first, &request)
	others := e.reserve(now, versions[1:], first, &request)
	if others != nil {
		assignment.CheckOthers = others.charge
	}
	calls, sampled := e.canary.handleRequest(now, &request)
	e.sendCanaryCalls(calls)
	if sampled || others != nil {
		assignment.Completed = func(forwarded bool, units float64) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if sampled {
				e.canary.recordActual(first.Version, request.Units, forwarded)
			}
			if others != nil {
				others.complete(forwarded, units)
			}
		}
	}
	return assignment
}

// countAssignment is how the decision module counts a request. Requests of a shared count come
// through any gateway.
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

// reserve reserves a request's units at the counter keys that it has beside the first; nil where it
// has none. Versions that give the same key, and plans without a rate, need no reservation.
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

// sendCanaryCalls makes calls of the canary. An answer that comes after the canary's end is
// dropped. The lock is held.
func (e *Enforcer) sendCanaryCalls(calls []canary.Call) {
	shadow := e.canary.shadow
	for _, call := range calls {
		e.dispatcher.CallCounter(call.Name, call.Units, call.TTL, func(count float64, outcome policy.Outcome) {
			e.mu.Lock()
			defer e.mu.Unlock()
			followUps := shadow.HandleCount(e.dispatcher.Now(), call.ID, count, outcome == policy.Answered)
			if shadow == e.canary.shadow {
				e.sendCanaryCalls(followUps)
			}
		})
	}
}
