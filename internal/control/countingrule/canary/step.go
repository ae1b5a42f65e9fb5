package canary

import (
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// Parameters of a trial's evaluation.
const (
	// settleDelay is excluded at the start and the end of a trial, at the start of a leadership and
	// after a switch. Token buckets start full, and observations take time to reach the leader.
	settleDelay = 10 * time.Second

	minBucketUnits       = 1000 // requested units, in thousandths, below which a bucket is not tested
	maxEstimatedFraction = 0.25 // highest fraction of sampled requests decided without a count, from 0 to 1
)

// Parameters of the watch that follows a switch.
const (
	watchInterval   = 10 * time.Second // time between two checks of the outcome
	minWatchedUnits = 200_000          // requested units, in thousandths, that a check needs
	maxDeviations   = 2                // consecutive deviations from the forecast that cause a rollback
)

// Parameters of the time at which a switch takes effect.
const (
	maxClockSkew = 500 * time.Millisecond // maximum error of a process clock

	// switchDelayReadWaits is the multiple of MaxReadWait that a switch delay contains. It lets
	// most processes learn of a switch while their lease is valid.
	switchDelayReadWaits = 2

	switchDelayClockSkews = 2           // multiple of maxClockSkew: one clock may be ahead and another behind
	switchGranularity     = time.Second // switches at whole seconds are easy to find in a log
)

// Reasons of the controller's decisions. They are stored in the table, where operators and their
// tools read them. Their texts must not change. A "cell" is a bucket.
const (
	reasonConfig    = "as the file says"
	reasonOtherRule = "the file names another rule"
	reasonUndecided = "undecided at the deadline"
	reasonHarmful   = "canary.%s: %.4f of a key's units in the mean of %d cells"
	reasonHarmless  = "harmless by %d cells"
	reasonKept      = "kept: %.3f let in, %.3f foretold"
	reasonDeviation = "%.3f of the units are let in, %.3f were foretold"
)

// step is one decision of the controller. Its methods change table and trial in place.
type step struct {
	config      *countingrule.Config
	switchDelay time.Duration // minimum time from a decision to its switch
	now         time.Duration // on the common clock
	leadingFor  time.Duration // time since this process became the leader
	table       *countingrule.Table
	trial       *TrialState
	sums        map[string]uint64 // received so far by this leader
	baseline    map[string]uint64 // sums that the trial's state already contains
}

// advance makes the decision that the table's phase requires. It reports whether the table or the
// trial's state changed.
func (s *step) advance() bool {
	switch s.table.Phase {
	case countingrule.PhaseIdle:
		return s.startTrial()
	case countingrule.PhaseCanary:
		return s.advanceTrial()
	case countingrule.PhaseScheduled:
		return s.advanceScheduled()
	case countingrule.PhaseRollback:
		return s.advanceRollback()
	default:
		return false // phase of a later software version
	}
}

// hasSwitched reports whether the switch has taken effect at every process with a clock skew of
// maxClockSkew or less.
func (s *step) hasSwitched() bool { return s.now >= s.table.SwitchAt+maxClockSkew }

// advanceScheduled watches a rule that has come into force. It rolls the rule back if the
// configuration names the previous rule again.
func (s *step) advanceScheduled() bool {
	if !s.hasSwitched() {
		return false
	}
	desired := s.config.DesiredVersion
	if desired == s.table.FromVersion && desired != s.table.ToVersion {
		s.startRollback(reasonConfig)
		return true
	}
	return s.watchSwitch()
}

// advanceRollback completes a rollback once its switch has taken effect.
func (s *step) advanceRollback() bool {
	if !s.hasSwitched() {
		return false
	}
	s.completeSwitch(s.table.Reason)
	return true
}

// shouldTry reports whether the desired version is not in force and was not refused before.
func (s *step) shouldTry(desired uint64) bool {
	return desired != s.table.FromVersion && !slices.Contains(s.table.RefusedVersions, desired)
}

// startTrial starts a trial of the version that the configuration names, if shouldTry holds. The
// version that was in force before the current one returns without a trial, by a rollback.
func (s *step) startTrial() bool {
	desired := s.config.DesiredVersion
	if !s.shouldTry(desired) {
		return false
	}
	table := s.table
	s.collectRules(desired)
	table.ToVersion = desired
	if desired == table.PreviousVersion {
		s.enterPhase(countingrule.PhaseRollback, reasonConfig)
		table.SwitchAt = s.nextSwitchTime()
		return true
	}
	newRule, _ := table.Rule(desired)
	oldRule, _ := table.Rule(table.FromVersion)
	table.SampleSeed = countingrule.Hash(desired, uint64(s.now))
	table.Canary = s.config.Canary
	if _, err := NewSample(oldRule, newRule, table.SampleSeed, table.Canary.SamplePermille); err != nil {
		s.refuseVersion(err.Error())
		return true
	}
	s.enterPhase(countingrule.PhaseCanary, reasonConfig)
	*s.trial = TrialState{}
	return true
}

// collectRules reduces the table's rules to the current and the previous one, and adds the desired
// one from the configuration.
func (s *step) collectRules(desired uint64) {
	table := s.table
	table.Rules = slices.DeleteFunc(slices.Clone(table.Rules), func(rule countingrule.Rule) bool {
		return rule.Version != table.FromVersion && rule.Version != table.PreviousVersion
	})
	if _, known := table.Rule(desired); known {
		return
	}
	i := slices.IndexFunc(s.config.Rules, func(rule countingrule.Rule) bool { return rule.Version == desired })
	if i >= 0 {
		table.Rules = append(table.Rules, s.config.Rules[i])
	}
}

// advanceTrial tests the buckets that are due and applies the verdict, if there is one. It refuses
// a rule that has no verdict at the deadline, and ends the trial if the configuration names another
// version.
func (s *step) advanceTrial() bool {
	switch {
	case s.config.DesiredVersion != s.table.ToVersion:
		s.returnToIdle(reasonOtherRule)
		*s.trial = TrialState{}
		return true
	case s.now >= s.table.PhaseStart+s.table.Canary.Deadline():
		s.refuseVersion(reasonUndecided)
		return true
	case s.leadingFor < settleDelay:
		return false // a new leader has not yet received the observations of all processes
	case !s.testDueBuckets():
		return false
	}
	s.trial.addSums(Fingerprint(s.table.SampleSeed), s.baseline, s.sums)
	s.applyVerdict()
	return true
}

// testDueBuckets adds each bucket that is due to the tests, once. It reports whether there was one.
func (s *step) testDueBuckets() (tested bool) {
	fingerprint := Fingerprint(s.table.SampleSeed)
	for s.isBucketDue(s.trial.NextBucket) {
		s.trial.addBucket(&s.table.Canary, readBucket(s.sums, fingerprint, s.trial.NextBucket))
		s.trial.NextBucket++
		tested = true
	}
	return tested
}

// isBucketDue reports whether the time to test a bucket has come. The tests of the buckets are
// spread evenly over the trial, except for its first and last settleDelay.
func (s *step) isBucketDue(bucket int) bool {
	testDuration := s.table.Canary.Deadline() - settleDelay - settleDelay
	interval := testDuration / BucketCount
	firstAt := s.table.PhaseStart + settleDelay + interval
	return bucket < BucketCount && s.now >= firstAt+time.Duration(bucket)*interval
}

// applyVerdict refuses a rule that exceeds a bound and schedules a rule that is harmless. Otherwise
// the trial continues.
func (s *step) applyVerdict() {
	errorRate := s.table.Canary.ErrorRate()
	if i, exceeded := s.trial.exceededBound(errorRate); exceeded {
		test := &s.trial.Tests[i]
		s.refuseVersion(fmt.Sprintf(reasonHarmful, boundKeys[i], test.Mean(), test.Count))
		return
	}
	if s.trial.isHarmless(errorRate) {
		s.trial.ForecastFraction = s.trial.forecastAdmitted(s.table.FromVersion)
		s.enterPhase(countingrule.PhaseScheduled, fmt.Sprintf(reasonHarmless, s.trial.Tests[boundRejected].Count))
		s.table.SwitchAt = s.nextSwitchTime()
	}
}

// watchSwitch compares the fraction of units admitted after a switch with the forecast. It rolls
// the switch back after maxDeviations consecutive deviations, and keeps the rule if the configured
// watch time ends first. It reports whether the table or the trial's state changed.
func (s *step) watchSwitch() bool {
	canary := &s.table.Canary
	trial := s.trial
	if s.now >= s.table.SwitchAt+canary.WatchDuration() {
		s.completeSwitch(fmt.Sprintf(reasonKept, trial.ObservedFraction, trial.ForecastFraction))
		return true
	}
	elapsed := s.now - s.table.SwitchAt - settleDelay
	if elapsed < time.Duration(trial.ElapsedIntervals+1)*watchInterval {
		return false
	}
	trial.ElapsedIntervals = int(elapsed / watchInterval)
	trial.addSums(Fingerprint(s.table.SampleSeed), s.baseline, s.sums)
	if !trial.updateObserved(s.table.ToVersion) {
		return true
	}
	if canary.MatchesForecast(trial.ObservedFraction, trial.ForecastFraction) {
		trial.ConsecutiveDeviations = 0
		return true
	}
	trial.ConsecutiveDeviations++
	if trial.ConsecutiveDeviations >= maxDeviations {
		s.table.RefusedVersions = append(slices.Clone(s.table.RefusedVersions), s.table.ToVersion)
		s.startRollback(fmt.Sprintf(reasonDeviation, trial.ObservedFraction, trial.ForecastFraction))
	}
	return true
}
