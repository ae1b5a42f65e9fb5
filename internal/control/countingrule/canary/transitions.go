package canary

import (
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// enter begins a phase.
func (s *step) enter(phase countingrule.Phase, reason string) {
	s.table.Phase = phase
	s.table.Since = s.now
	s.table.Reason = reason
}

// returnToIdle ends a trial. The rule in force stays.
func (s *step) returnToIdle(reason string) {
	s.enter(countingrule.PhaseIdle, reason)
	s.table.To = s.table.From
}

// refuse ends a trial for good: the version is not tried again.
func (s *step) refuse(reason string) {
	s.table.Refused = append(slices.Clone(s.table.Refused), s.table.To)
	s.returnToIdle(reason)
}

// rollBack undoes a switch by a switch the other way.
func (s *step) rollBack(reason string) {
	s.enter(countingrule.PhaseRollback, reason)
	s.table.From, s.table.To = s.table.To, s.table.From
	s.table.SwitchAt = s.switchTime()
}

// finish ends a switch: the rule that it brought into force stays.
func (s *step) finish(reason string) {
	*s.table = countingrule.Table{
		Phase:    countingrule.PhaseIdle,
		From:     s.table.To,
		To:       s.table.To,
		Previous: s.table.From,
		Rules:    s.table.Rules,
		Refused:  s.table.Refused,
		Since:    s.now,
		Reason:   reason,
	}
	*s.trial = TrialState{}
}

// switchTime decides when a switch takes effect: at the first whole second of the common clock that
// is the lead away or more.
func (s *step) switchTime() time.Duration {
	return (s.now + s.lead + switchGranularity - 1) / switchGranularity * switchGranularity
}
