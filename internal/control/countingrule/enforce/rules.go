package enforce

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// ruleSet is what a process knows of the rules. The enforcer's lock guards it.
type ruleSet struct {
	log          *zap.Logger
	config       *countingrule.Config
	settings     policy.Settings     // in force
	knownRules   []countingrule.Rule // of the table and of the configuration
	merged       bool                // known has all rules of table and configuration
	plansApplied bool                // the settings' plans include those of all known rules
	resolved     map[uint64]*countingrule.Resolved
	table        countingrule.Table
	epoch        uint64 // of the table; 0: none was received
}

func (r *ruleSet) setConfig(config *countingrule.Config) {
	r.config = config
	r.merged = false
}

// hasTable tells whether a table was ever received.
func (r *ruleSet) hasTable() bool { return r.epoch > 0 }

// apply takes a table as cached, and tells whether a rule's plans are not in the settings yet.
func (r *ruleSet) applyTable(cached coordination.CachedTable) (plansPending bool) {
	if cached.Epoch > r.epoch { // another goroutine may have read a later one meanwhile
		r.epoch = cached.Epoch
		r.merged = false
		r.decode(cached.Value)
	}
	if !r.merged {
		r.merge()
	}
	return !r.plansApplied
}

func (r *ruleSet) decode(value []byte) {
	table, err := countingrule.Decode(value)
	if err != nil {
		r.log.Error("counting: table malformed, the previous one stays", zap.Error(err))
		return
	}
	if table.Phase != r.table.Phase || table.To != r.table.To || table.From != r.table.From {
		r.log.Info("counting: table changed", zap.Uint8("phase", uint8(table.Phase)), zap.Uint64("from", table.From),
			zap.Uint64("to", table.To), zap.Time("switch_at", time.Unix(0, int64(table.SwitchAt))),
			zap.String("reason", table.Reason))
	}
	r.table = table
}

// merge adds the rules of the table and of the configuration to the known ones. Where they differ
// in a version, the committed rule of the table holds.
func (r *ruleSet) merge() {
	r.merged = true
	for i, rule := range slices.Concat(r.table.Rules, r.config.Rules) {
		index := slices.IndexFunc(r.knownRules, func(known countingrule.Rule) bool { return known.Version == rule.Version })
		isCommitted := i < len(r.table.Rules)
		switch {
		case index < 0:
			r.knownRules = append(r.knownRules, rule)
			r.plansApplied = false
		case isCommitted && !r.knownRules[index].Equal(rule):
			r.knownRules[index] = rule
			r.plansApplied = false
		}
	}
}

// withPlans gives settings with the plans of all known rules.
func (r *ruleSet) withPlans(settings policy.Settings) policy.Settings {
	r.plansApplied = true
	return countingrule.WithRulePlans(settings, r.knownRules)
}

// resolve resolves all known rules against settings that are in force now.
func (r *ruleSet) resolve(settings policy.Settings) {
	r.settings = settings
	for _, rule := range append([]countingrule.Rule{{}}, r.knownRules...) {
		resolved, err := countingrule.Resolve(rule, settings)
		if err != nil {
			r.log.Error("counting: rule not applicable", zap.Uint64("version", rule.Version), zap.Error(err))
			delete(r.resolved, rule.Version)
			continue
		}
		r.resolved[rule.Version] = resolved
	}
}

// candidates are the versions that may be in force, without those that are not resolved here.
func (r *ruleSet) candidates(now time.Duration, leased bool) []uint64 {
	return slices.DeleteFunc(r.table.CandidateVersions(now, r.tableStatus(leased), r.config),
		func(version uint64) bool { return r.resolved[version] == nil })
}

// tableStatus is what this process knows of the table, by whether the table's lease holds.
func (r *ruleSet) tableStatus(leased bool) countingrule.TableStatus {
	switch {
	case leased:
		return countingrule.TableLeased
	case r.hasTable():
		return countingrule.TableExpired
	default:
		return countingrule.TableNeverReceived
	}
}

// assign gives a request's counter key under a version that is resolved.
func (r *ruleSet) assign(version uint64, request *dispatch.RequestSpec) countingrule.Assignment {
	return r.resolved[version].Assign(request.Customer, request.Class, request.Plan)
}

// switched gives the rules before and after the table's switch, nil where one is not resolved here.
func (r *ruleSet) rulesAroundSwitch() (old, next *countingrule.Resolved) {
	old = r.resolved[r.table.From]
	next = r.resolved[r.table.To]
	if old == nil || next == nil {
		return nil, nil
	}
	return old, next
}
