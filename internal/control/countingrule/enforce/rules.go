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

// ruleSet holds the rules that this process knows from the table and from its configuration. It is
// guarded by Enforcer.mu.
type ruleSet struct {
	log          *zap.Logger
	config       *countingrule.Config
	settings     policy.Settings                   // settings in force, with the rules' plans
	knownRules   []countingrule.Rule               // rules of the table and of the configuration
	merged       bool                              // knownRules includes all rules of table and config
	plansApplied bool                              // the plans of all known rules were added to the settings
	resolved     map[uint64]*countingrule.Resolved // by version, without those that cannot be applied
	table        countingrule.Table                // last table that could be decoded
	epoch        uint64                            // epoch of the last table received; 0 if there was none
}

// setConfig replaces the configuration. Its rules are merged by the next applyTable.
func (r *ruleSet) setConfig(config *countingrule.Config) {
	r.config = config
	r.merged = false
}

// hasTable reports whether a table was ever received.
func (r *ruleSet) hasTable() bool { return r.epoch > 0 }

// applyTable applies the cached table if it is newer than the last one. It reports whether the
// settings still lack the plans of a known rule.
func (r *ruleSet) applyTable(cached coordination.CachedTable) (plansPending bool) {
	if cached.Epoch > r.epoch { // another goroutine may have applied a later one
		r.epoch = cached.Epoch
		r.merged = false
		r.decode(cached.Value)
	}
	if !r.merged {
		r.merge()
	}
	return !r.plansApplied
}

// decode decodes value and replaces the table with the result. If value is malformed, it keeps the
// previous table.
func (r *ruleSet) decode(value []byte) {
	table, err := countingrule.Decode(value)
	if err != nil {
		r.log.Error("counting: table malformed, the previous one stays", zap.Error(err))
		return
	}
	if table.Phase != r.table.Phase || table.ToVersion != r.table.ToVersion ||
		table.FromVersion != r.table.FromVersion {
		r.log.Info("counting: table changed", zap.Uint8("phase", uint8(table.Phase)),
			zap.Uint64("from", table.FromVersion), zap.Uint64("to", table.ToVersion),
			zap.Time("switch_at", time.Unix(0, int64(table.SwitchAt))), zap.String("reason", table.Reason))
	}
	r.table = table
}

// merge adds the rules of the table and of the configuration to the known rules. If they define a
// version differently, the table's rule wins, because it is committed.
func (r *ruleSet) merge() {
	r.merged = true
	for i, rule := range slices.Concat(r.table.Rules, r.config.Rules) {
		index := slices.IndexFunc(r.knownRules, func(known countingrule.Rule) bool {
			return known.Version == rule.Version
		})
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

// withPlans returns the settings with the plans of all known rules appended.
func (r *ruleSet) withPlans(settings policy.Settings) policy.Settings {
	r.plansApplied = true
	return countingrule.WithRulePlans(settings, r.knownRules)
}

// resolve resolves all known rules, and rule 0, against settings that come into force. Rules that
// cannot be applied are logged and left unresolved.
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

// candidates returns the versions that may be in force, without those that are not resolved here.
func (r *ruleSet) candidates(now time.Duration, leased bool) []uint64 {
	return slices.DeleteFunc(r.table.CandidateVersions(now, r.tableStatus(leased), r.config),
		func(version uint64) bool { return r.resolved[version] == nil })
}

// tableStatus returns the status of this process's table. leased says whether its lease is valid.
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

// assign returns a request's counter key under a version, which must be resolved.
func (r *ruleSet) assign(version uint64, request *dispatch.RequestSpec) countingrule.Assignment {
	return r.resolved[version].Assign(request.Customer, request.Class, request.Plan)
}

// rulesAroundSwitch returns the rules before and after the table's switch. Both are nil if one of
// them is not resolved here.
func (r *ruleSet) rulesAroundSwitch() (old, next *countingrule.Resolved) {
	old = r.resolved[r.table.FromVersion]
	next = r.resolved[r.table.ToVersion]
	if old == nil || next == nil {
		return nil, nil
	}
	return old, next
}
