// Package clerk has a gateway's tasks counted by the rule that the processes hold in common: it stands between the
// gate, the counter and what is held. It decides nothing: counting says which rules hold, canary what a new one does.
package enforce

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/dispatch"
	"harrierhoist/policy"
)

const updateInterval = 250 * time.Millisecond // how often the play's late units go, and the lease is looked at for the log

// Enforcer counts by rule. Its lock is taken under the gate's, never the other way round.
type Enforcer struct {
	log        *zap.Logger
	node       coordination.Client
	dispatcher *dispatch.Dispatcher

	mu            sync.Mutex
	config        *countingrule.Config
	settings      policy.Settings     // as in force
	rules         []countingrule.Rule // known, by the table first
	rulesMerged   bool                // they have those of the table and the file as last heard
	plansApplied  bool                // the plans have them all
	resolved      map[uint64]*countingrule.Resolved
	table         countingrule.Table
	epoch         uint64
	unearnedCalls uint64 // made for tasks since the play last earned
	shadow        *canary.Shadow
	shadowSeed    uint64 // of the play
	admission     *countingrule.Admission
	ambiguous     bool // logged
}

// New makes a clerk of a file's terms.
func New(config *countingrule.Config, log *zap.Logger) *Enforcer {
	return &Enforcer{config: config, log: log, resolved: map[uint64]*countingrule.Resolved{}, admission: countingrule.NewAdmission(1)}
}

// HandleCounterCall is for the gate: the canary lives on a share of the module's calls.
func (e *Enforcer) HandleCounterCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unearnedCalls++
}

func (e *Enforcer) addUnits(name uint64, units float64, ttl time.Duration, done func(float64, policy.Outcome)) {
	e.dispatcher.CallCounter(name, units, ttl, done)
}

// start puts the clerk between a gate and what is held in common: tasks are taken by rule from here on.
func (e *Enforcer) start(node coordination.Client, dispatcher *dispatch.Dispatcher) error {
	e.dispatcher, e.node = dispatcher, node
	held, _ := e.readTable()
	e.mu.Lock()
	e.applyTable(held)
	e.mu.Unlock()
	if err := dispatcher.SetCountingRules(e); err != nil {
		return err
	}
	node.RegisterCounters(func(add func(string, uint64)) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.shadow != nil {
			e.shadow.Report(add)
		}
	})
	return nil
}

// Reconfigure takes the terms of a file that was read again.
func (e *Enforcer) Reconfigure(config *countingrule.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config, e.rulesMerged = config, false
}

// Run has a gate's tasks counted by the rule in force and follows the table until the context ends. An error tells that
// the gate takes none of it: tasks are counted as ever.
func (e *Enforcer) Run(ctx context.Context, node coordination.Client, dispatcher *dispatch.Dispatcher) error {
	if err := e.start(node, dispatcher); err != nil {
		return err
	}
	e.loop(ctx)
	return nil
}

func (e *Enforcer) loop(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		changed := e.node.Changed()
		e.update()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// update takes in what is new: rules into the gate's plans, a canary begun or ended, the play's late calls.
func (e *Enforcer) update() {
	now := e.dispatcher.Now()
	held, leased := e.readTable()
	e.mu.Lock()
	newRules := e.applyTable(held)
	candidates := e.candidates(now, leased)
	if ambiguous := len(candidates) > 1; ambiguous != e.ambiguous {
		e.ambiguous = ambiguous
		e.log.Info("counting: what rule holds is not known: what passes must pass all of these", zap.Bool("so", ambiguous),
			zap.Uint64s("rules", candidates))
	}
	e.mu.Unlock()
	if newRules {
		if err := e.dispatcher.SetCountingRules(e); err != nil {
			e.log.Error("counting: the rules' plans are not taken", zap.Error(err))
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateShadow()
	if e.shadow != nil {
		e.shadow.AddBudget(e.unearnedCalls)
		e.unearnedCalls = 0
		e.sendShadowCalls(e.shadow.Flush(now))
	}
}

// applyTable takes in the table as held, and tells whether it brought a rule that the plans do not have yet.
func (e *Enforcer) applyTable(held coordination.CachedTable) (newRules bool) {
	if held.Epoch > e.epoch { // another may have heard a later one meanwhile
		table, err := countingrule.Decode(held.Value)
		if err != nil {
			e.log.Error("counting: the table cannot be read; what was held stands", zap.Error(err))
		} else {
			if table.Phase != e.table.Phase || table.To != e.table.To || table.From != e.table.From {
				e.log.Info("counting: a step", zap.Uint8("phase", uint8(table.Phase)), zap.Uint64("from", table.From),
					zap.Uint64("to", table.To),
					zap.Time("edge", time.Unix(0, int64(table.SwitchAt))), zap.String("why", table.Reason))
			}
			e.table = table
		}
		e.epoch, e.rulesMerged = held.Epoch, false
	}
	if e.rulesMerged {
		return !e.plansApplied
	}
	e.rulesMerged = true
	for i, rule := range slices.Concat(e.table.Rules, e.config.Rules) {
		known := slices.IndexFunc(e.rules, func(other countingrule.Rule) bool { return other.Version == rule.Version })
		if known < 0 {
			e.rules, e.plansApplied = append(e.rules, rule), false
		} else if i < len(e.table.Rules) && !e.rules[known].Equal(rule) { // what is committed is what the version means
			e.rules[known], e.plansApplied = rule, false
		}
	}
	return !e.plansApplied
}

// readTable gives the table as held, and whether its lease stands; one that was never written has a lease too. It is called
// without the clerk's lock: those who hold it in common ask for our counts under a lock of theirs.
func (e *Enforcer) readTable() (held coordination.CachedTable, leased bool) {
	held = e.node.Cached(countingrule.TableName)
	return held, e.node.Now() < held.LeaseEnd
}

func (e *Enforcer) candidates(now time.Duration, leased bool) []uint64 {
	return slices.DeleteFunc(e.table.CandidateVersions(now, leased, e.epoch > 0, e.config),
		func(v uint64) bool { return e.resolved[v] == nil })
}

// WithRulePlans is for the gate.
func (e *Enforcer) WithRulePlans(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plansApplied = true
	return countingrule.WithRulePlans(settings, e.rules)
}

// WithoutRulePlans is for the gate.
func (e *Enforcer) WithoutRulePlans(settings policy.Settings) policy.Settings {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings, e.admission = settings, countingrule.NewAdmission(settings.Gateways)
	for _, rule := range append([]countingrule.Rule{{}}, e.rules...) {
		resolved, err := countingrule.Resolve(rule, settings)
		if err != nil {
			e.log.Error("counting: a rule cannot hold here", zap.Error(err))
			delete(e.resolved, rule.Version)
			continue
		}
		e.resolved[rule.Version] = resolved
	}
	if old, next := e.resolved[e.table.From], e.resolved[e.table.To]; e.shadow != nil && old != nil && next != nil {
		e.shadow.Reconfigure(old, next, settings)
	} else {
		e.shadow = nil
	}
	return countingrule.ClientSettings(settings)
}

// updateShadow begins and ends the play.
func (e *Enforcer) updateShadow() {
	table := &e.table
	active := table.Phase == countingrule.PhaseCanary || table.Phase == countingrule.PhaseScheduled
	old, next := e.resolved[table.From], e.resolved[table.To]
	if !active || old == nil || next == nil {
		e.shadow = nil
		return
	}
	if e.shadow != nil && e.shadowSeed == table.Seed {
		return
	}
	sample, err := canary.NewSample(old.Rule, next.Rule, table.Seed, table.Canary.SamplePermille)
	if err != nil {
		e.shadow = nil
		return
	}
	e.shadow, e.shadowSeed = canary.NewShadow(sample, old, next, e.settings, table.Seed, table.Canary.CallsPermille), table.Seed
}
