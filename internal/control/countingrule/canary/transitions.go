package canary

import (
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// enterPhase starts a phase now.
func (s *step) enterPhase(phase countingrule.Phase, reason string) {
	s.table.Phase = phase
	s.table.Since = s.now
	s.table.Reason = reason
}

// returnToIdle ends a trial and leaves the current rule in force.
func (s *step) returnToIdle(reason string) {
	s.enterPhase(countingrule.PhaseIdle, reason)
	s.table.To = s.table.From
}

// refuseVersion ends a trial and excludes its version from later trials.
func (s *step) refuseVersion(reason string) {
	s.table.Refused = append(slices.Clone(s.table.Refused), s.table.To)
	s.returnToIdle(reason)
}

// startRollback schedules a switch back to the previous rule.
func (s *step) startRollback(reason string) {
	s.enterPhase(countingrule.PhaseRollback, reason)
	s.table.From, s.table.To = s.table.To, s.table.From
	s.table.SwitchAt = s.nextSwitchTime()
}

// completeSwitch returns to idle with the rule that the switch brought into force.
func (s *step) completeSwitch(reason string) {
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

// nextSwitchTime returns the first whole second on the common clock that is at least switchDelay
// away.
func (s *step) nextSwitchTime() time.Duration {
	return (s.now + s.switchDelay + switchGranularity - 1) / switchGranularity * switchGranularity
}
