package canary

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// When a trial is evaluated, and of how much.
const (
	settleDelay      = 10 * time.Second // counts that began full, and observations on their way
	minBucketUnits   = 1000             // thousandths of a unit: a bucket with less requested shows nothing
	maxEstimatedPart = 0.25             // of the requests evaluated without a count: above it no rule is taken
)

// When a switch is watched, and when it is rolled back.
const (
	watchInterval   = 10 * time.Second // between two checks of the outcome
	minWatchedUnits = 200_000          // thousandths of a unit in a check: fewer show little
	maxDeviations   = 2                // checks in a row that deviate from the forecast: one may be a moment's
)

// When a switch takes effect.
const (
	maxClockSkew      = 500 * time.Millisecond
	switchGranularity = time.Second // whole seconds of the common clock are easy to find in a log
)

// The reasons of steps. They are stored in the table, and people and their tools read them: the wording stays.
const (
	reasonConfig    = "as the file says"
	reasonOtherRule = "the file names another rule"
	reasonUndecided = "undecided at the deadline"
	reasonHarmful   = "canary.%s: %.4f of a key's units in the mean of %d cells"
	reasonHarmless  = "harmless by %d cells"
	reasonKept      = "kept: %.3f let in, %.3f foretold"
	reasonDeviation = "%.3f of the units are let in, %.3f were foretold"
)

// bounds name the tests of TrialState.Tests by the keys of their bounds in the operators' file.
var bounds = [...]string{"rejected", "let_in", "beyond"}

// step is one decision of the controller: it changes the table and the trial's state in place.
type step struct {
	config         *countingrule.Config
	lead           time.Duration // from the decision to its switch, at least
	now            time.Duration // on the common clock
	ledFor         time.Duration // since this process began to lead
	table          *countingrule.Table
	trial          *TrialState
	sums, baseline map[string]uint64
}

// advance makes the step that the table's phase asks for, and tells whether anything changed.
func (s *step) advance() bool {
	switched := s.now >= s.table.SwitchAt+maxClockSkew
	switch s.table.Phase {
	case countingrule.PhaseIdle:
		return s.startTrial()
	case countingrule.PhaseCanary:
		return s.evaluate()
	case countingrule.PhaseScheduled:
		if !switched {
			return false
		}
		if desired := s.config.DesiredVersion; desired == s.table.From && desired != s.table.To {
			s.rollBack(reasonConfig) // the operators want the earlier rule again
			return true
		}
		return s.watch()
	case countingrule.PhaseRollback:
		if switched {
			s.finish(s.table.Reason)
		}
		return switched
	default:
		return false // of a later version
	}
}

// startTrial takes up the rule that the file names, if it is another than the one in force and was not refused.
func (s *step) startTrial() bool {
	desired, table := s.config.DesiredVersion, s.table
	if desired == table.From || slices.Contains(table.Refused, desired) {
		return false
	}
	table.Rules = slices.DeleteFunc(slices.Clone(table.Rules), func(rule countingrule.Rule) bool {
		return rule.Version != table.From && rule.Version != table.Previous
	})
	i := slices.IndexFunc(s.config.Rules, func(rule countingrule.Rule) bool { return rule.Version == desired })
	if _, known := table.Rule(desired); !known && i >= 0 {
		table.Rules = append(table.Rules, s.config.Rules[i])
	}
	table.To = desired
	if desired == table.Previous { // it was in force before: going back needs no trial
		s.enter(countingrule.PhaseRollback, reasonConfig)
		table.SwitchAt = s.switchTime()
		return true
	}
	next, _ := table.Rule(desired)
	old, _ := table.Rule(table.From)
	table.Seed, table.Canary = countingrule.Hash(desired, uint64(s.now)), s.config.Canary
	if _, err := NewSample(old, next, table.Seed, s.config.Canary.SamplePermille); err != nil {
		s.refuse(err.Error())
		return true
	}
	s.enter(countingrule.PhaseCanary, reasonConfig)
	*s.trial = TrialState{}
	return true
}

// evaluate examines the buckets whose time has come and gives the verdict where there is one.
func (s *step) evaluate() bool {
	deadline := time.Duration(s.table.Canary.DeadlineSeconds) * time.Second
	switch {
	case s.config.DesiredVersion != s.table.To:
		s.returnToIdle(reasonOtherRule)
		*s.trial = TrialState{}
		return true
	case s.now >= s.table.Since+deadline:
		s.refuse(reasonUndecided)
		return true
	case s.ledFor < settleDelay:
		return false // observations of some processes are still to come
	case !s.testBuckets(deadline):
		return false
	}
	s.trial.accumulate(Fingerprint(s.table.Seed), s.baseline, s.sums)
	s.conclude()
	return true
}

// testBuckets adds the buckets whose time has come to the tests, each once, and tells whether there was one.
func (s *step) testBuckets(deadline time.Duration) (tested bool) {
	fingerprint := Fingerprint(s.table.Seed)
	interval := (deadline - 2*settleDelay) / Buckets
	firstAt := s.table.Since + settleDelay + interval
	for ; s.trial.NextBucket < Buckets && s.now >= firstAt+time.Duration(s.trial.NextBucket)*interval; s.trial.NextBucket++ {
		tested = true
		units := func(name string) float64 {
			return float64(s.sums[bucketName(fingerprint, s.trial.NextBucket, name)])
		}
		if requested := units(nameRequested); requested >= minBucketUnits {
			s.trial.addBucket(&s.table.Canary, requested, units(nameOldOnly), units(nameNewOnly), units(nameOverLimit))
		}
	}
	return tested
}

// conclude refuses the rule where a test finds it harmful, and schedules it where all find it harmless.
func (s *step) conclude() {
	errorRate := float64(s.table.Canary.ErrorPermille) / 1000
	harmless := float64(s.trial.Sums[nameEstimated]) <= maxEstimatedPart*float64(s.trial.Sums[nameRequests])
	for i, bound := range bounds { // any of them refuses: together they are wrong as often as one may be
		test := &s.trial.Tests[i]
		if test.IsAbove(errorRate / float64(len(bounds))) {
			s.refuse(fmt.Sprintf(reasonHarmful, bound, test.Mean(), test.Count))
			return
		}
		harmless = harmless && test.IsBelow(errorRate)
	}
	if harmless {
		s.trial.Forecast = s.trial.forecast(s.table.From)
		s.enter(countingrule.PhaseScheduled, fmt.Sprintf(reasonHarmless, s.trial.Tests[0].Count))
		s.table.SwitchAt = s.switchTime()
	}
}

// watch compares what is admitted after the switch with the forecast. It ends after a while.
func (s *step) watch() bool {
	canary, trial := &s.table.Canary, s.trial
	if s.now >= s.table.SwitchAt+time.Duration(canary.WatchSeconds)*time.Second {
		s.finish(fmt.Sprintf(reasonKept, trial.Observed, trial.Forecast))
		return true
	}
	watched := s.now - s.table.SwitchAt - settleDelay
	if watched < time.Duration(trial.Checks+1)*watchInterval {
		return false
	}
	trial.Checks = int(watched / watchInterval)
	trial.accumulate(Fingerprint(s.table.Seed), s.baseline, s.sums)
	requested, admitted := trial.actualUnits(s.table.To)
	if requested-trial.RequestedUnits < minWatchedUnits {
		return true
	}
	trial.Observed = float64(admitted-trial.AdmittedUnits) / float64(requested-trial.RequestedUnits)
	trial.RequestedUnits, trial.AdmittedUnits = requested, admitted
	if deviation := trial.Observed - trial.Forecast; max(deviation, -deviation)*1000 <= float64(canary.DeviationPermille) {
		trial.Deviations = 0
		return true
	}
	if trial.Deviations++; trial.Deviations >= maxDeviations {
		s.table.Refused = append(slices.Clone(s.table.Refused), s.table.To)
		s.rollBack(fmt.Sprintf(reasonDeviation, trial.Observed, trial.Forecast))
	}
	return true
}

// enter begins a phase.
func (s *step) enter(phase countingrule.Phase, reason string) {
	s.table.Phase, s.table.Since, s.table.Reason = phase, s.now, reason
}

// returnToIdle ends a trial: the rule in force stays.
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
	s.table.From, s.table.To, s.table.SwitchAt = s.table.To, s.table.From, s.switchTime()
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

// switchTime is the first whole second of the common clock that is far enough ahead.
func (s *step) switchTime() time.Duration {
	return (s.now + s.lead + switchGranularity - 1) / switchGranularity * switchGranularity
}
