package canary

import (
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// enterPhase starts a phase now.
func (s *step) enterPhase(phase countingrule.Phase, reason string) {
	s.table.Phase = phase
	s.table.PhaseStart = s.now
	s.table.Reason = reason
}

// returnToIdle ends a trial and leaves the current rule in force.
func (s *step) returnToIdle(reason string) {
	s.enterPhase(countingrule.PhaseIdle, reason)
	s.table.ToVersion = s.table.FromVersion
}

// refuseVersion ends a trial and excludes its version from later trials.
func (s *step) refuseVersion(reason string) {
	s.table.RefusedVersions = append(slices.Clone(s.table.RefusedVersions), s.table.ToVersion)
	s.returnToIdle(reason)
}

// startRollback schedules a switch back to the previous rule.
func (s *step) startRollback(reason string) {
	s.enterPhase(countingrule.PhaseRollback, reason)
	s.table.FromVersion, s.table.ToVersion = s.table.ToVersion, s.table.FromVersion
	s.table.SwitchAt = s.nextSwitchTime()
}

// completeSwitch returns to idle with the rule that the switch brought into force.
func (s *step) completeSwitch(reason string) {
	*s.table = countingrule.Table{
		Phase:           countingrule.PhaseIdle,
		FromVersion:     s.table.ToVersion,
		ToVersion:       s.table.ToVersion,
		PreviousVersion: s.table.FromVersion,
		Rules:           s.table.Rules,
		RefusedVersions: s.table.RefusedVersions,
		PhaseStart:      s.now,
		Reason:          reason,
	}
	*s.trial = TrialState{}
}

// nextSwitchTime returns the first whole second on the common clock that is at least switchDelay
// away.
func (s *step) nextSwitchTime() time.Duration {
	return (s.now + s.switchDelay + switchGranularity - 1) / switchGranularity * switchGranularity
}
