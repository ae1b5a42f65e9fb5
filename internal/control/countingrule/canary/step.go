package canary

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// When a trial is evaluated, and of how much.
const (
	settleDelay      = 10 * time.Second // for counts that begin full, and observations on their way
	minBucketUnits   = 1000             // thousandths of a unit that a bucket must have requested
	maxEstimatedPart = 0.25             // of the sampled requests, from 0 to 1, decided without a count
)

// When a switch is watched, and when it is rolled back.
const (
	watchInterval   = 10 * time.Second // between two checks of the outcome
	minWatchedUnits = 200_000          // thousandths of a unit that a check must have requested
	maxDeviations   = 2                // checks in a row that deviate from the forecast
)

// When a switch takes effect.
const (
	maxClockSkew      = 500 * time.Millisecond
	leadReadWaits     = 2           // waits of a read: most processes hear of a switch under their lease
	leadClockSkews    = 2           // maxClockSkew: one process ahead, another behind
	switchGranularity = time.Second // whole seconds of the common clock are easy to find in a log
)

// The reasons of steps. They are stored in the table, and people and their tools read them: the
// wording stays.
const (
	reasonConfig    = "as the file says"
	reasonOtherRule = "the file names another rule"
	reasonUndecided = "undecided at the deadline"
	reasonHarmful   = "canary.%s: %.4f of a key's units in the mean of %d cells"
	reasonHarmless  = "harmless by %d cells"
	reasonKept      = "kept: %.3f let in, %.3f foretold"
	reasonDeviation = "%.3f of the units are let in, %.3f were foretold"
)

// step is one decision of the controller: it changes the table and the trial's state in place.
type step struct {
	config   *countingrule.Config
	lead     time.Duration // from the decision to its switch, at least
	now      time.Duration // on the common clock
	ledFor   time.Duration // since this process began to lead
	table    *countingrule.Table
	trial    *TrialState
	sums     map[string]uint64 // received by now
	baseline map[string]uint64 // those that the trial's state has already
}

// advance makes the step that the table's phase asks for, and tells whether anything changed.
func (s *step) advance() bool {
	switch s.table.Phase {
	case countingrule.PhaseIdle:
		return s.startTrial()
	case countingrule.PhaseCanary:
		return s.evaluate()
	case countingrule.PhaseScheduled:
		return s.followActivation()
	case countingrule.PhaseRollback:
		return s.followRollback()
	default:
		return false // of a later version
	}
}

// hasSwitched decides whether the switch has come at every process, whatever its clock's skew.
func (s *step) hasSwitched() bool { return s.now >= s.table.SwitchAt+maxClockSkew }

// followActivation watches a rule that has come into force, or rolls it back where the file names
// the earlier rule again.
func (s *step) followActivation() bool {
	if !s.hasSwitched() {
		return false
	}
	desired := s.config.DesiredVersion
	if desired == s.table.From && desired != s.table.To {
		s.rollBack(reasonConfig)
		return true
	}
	return s.watch()
}

// followRollback ends a rollback once its switch has come.
func (s *step) followRollback() bool {
	if !s.hasSwitched() {
		return false
	}
	s.finish(s.table.Reason)
	return true
}

// shouldTry decides whether the version that the file names is taken up: it is not in force, and
// was not refused before.
func (s *step) shouldTry(desired uint64) bool {
	return desired != s.table.From && !slices.Contains(s.table.Refused, desired)
}

// startTrial takes up the version that the file names, where there is something to try. A version
// that was in force just before comes back without a trial.
func (s *step) startTrial() bool {
	desired := s.config.DesiredVersion
	if !s.shouldTry(desired) {
		return false
	}
	table := s.table
	s.collectRules(desired)
	table.To = desired
	if desired == table.Previous {
		s.enter(countingrule.PhaseRollback, reasonConfig)
		table.SwitchAt = s.switchTime()
		return true
	}
	next, _ := table.Rule(desired)
	old, _ := table.Rule(table.From)
	table.Seed = countingrule.Hash(desired, uint64(s.now))
	table.Canary = s.config.Canary
	if _, err := NewSample(old, next, table.Seed, table.Canary.SamplePermille); err != nil {
		s.refuse(err.Error())
		return true
	}
	s.enter(countingrule.PhaseCanary, reasonConfig)
	*s.trial = TrialState{}
	return true
}

// collectRules leaves in the table the rules in force now and before, and adds the desired one from
// the file.
func (s *step) collectRules(desired uint64) {
	table := s.table
	table.Rules = slices.DeleteFunc(slices.Clone(table.Rules), func(rule countingrule.Rule) bool {
		return rule.Version != table.From && rule.Version != table.Previous
	})
	if _, known := table.Rule(desired); known {
		return
	}
	i := slices.IndexFunc(s.config.Rules, func(rule countingrule.Rule) bool { return rule.Version == desired })
	if i >= 0 {
		table.Rules = append(table.Rules, s.config.Rules[i])
	}
}

// evaluate examines the buckets that are due and gives the verdict where there is one. What is
// undecided at the deadline is refused.
func (s *step) evaluate() bool {
	switch {
	case s.config.DesiredVersion != s.table.To:
		s.returnToIdle(reasonOtherRule)
		*s.trial = TrialState{}
		return true
	case s.now >= s.table.Since+s.table.Canary.Deadline():
		s.refuse(reasonUndecided)
		return true
	case s.ledFor < settleDelay:
		return false // observations of some processes are still to come
	case !s.testBuckets():
		return false
	}
	s.trial.accumulate(Fingerprint(s.table.Seed), s.baseline, s.sums)
	s.conclude()
	return true
}

// testBuckets adds the buckets that are due to the tests, each once, and tells whether there was
// one.
func (s *step) testBuckets() (tested bool) {
	fingerprint := Fingerprint(s.table.Seed)
	for s.isBucketDue(s.trial.NextBucket) {
		s.trial.addBucket(&s.table.Canary, readBucket(s.sums, fingerprint, s.trial.NextBucket))
		s.trial.NextBucket++
		tested = true
	}
	return tested
}

// isBucketDue decides whether a bucket is to be tested by now: the buckets are spread evenly over
// the trial, without its first and last settleDelay.
func (s *step) isBucketDue(bucket int) bool {
	tested := s.table.Canary.Deadline() - settleDelay - settleDelay
	interval := tested / Buckets
	firstAt := s.table.Since + settleDelay + interval
	return bucket < Buckets && s.now >= firstAt+time.Duration(bucket)*interval
}

// conclude decides the verdict: it refuses a rule that exceeds a bound, and schedules a rule that
// is harmless. Else the trial goes on.
func (s *step) conclude() {
	errorRate := s.table.Canary.ErrorRate()
	if i, exceeded := s.trial.exceededBound(errorRate); exceeded {
		test := &s.trial.Tests[i]
		s.refuse(fmt.Sprintf(reasonHarmful, bounds[i], test.Mean(), test.Count))
		return
	}
	if s.trial.isHarmless(errorRate) {
		s.trial.Forecast = s.trial.forecast(s.table.From)
		s.enter(countingrule.PhaseScheduled, fmt.Sprintf(reasonHarmless, s.trial.Tests[testRejected].Count))
		s.table.SwitchAt = s.switchTime()
	}
}

// watch compares what is admitted after a switch with the forecast, and rolls the switch back where
// several checks in a row deviate. It ends after the configured span.
func (s *step) watch() bool {
	canary := &s.table.Canary
	trial := s.trial
	if s.now >= s.table.SwitchAt+canary.WatchDuration() {
		s.finish(fmt.Sprintf(reasonKept, trial.Observed, trial.Forecast))
		return true
	}
	watched := s.now - s.table.SwitchAt - settleDelay
	if watched < time.Duration(trial.Checks+1)*watchInterval {
		return false
	}
	trial.Checks = int(watched / watchInterval)
	trial.accumulate(Fingerprint(s.table.Seed), s.baseline, s.sums)
	if !trial.observe(s.table.To) {
		return true
	}
	if canary.MatchesForecast(trial.Observed, trial.Forecast) {
		trial.Deviations = 0
		return true
	}
	trial.Deviations++
	if trial.Deviations >= maxDeviations {
		s.table.Refused = append(slices.Clone(s.table.Refused), s.table.To)
		s.rollBack(fmt.Sprintf(reasonDeviation, trial.Observed, trial.Forecast))
	}
	return true
}
