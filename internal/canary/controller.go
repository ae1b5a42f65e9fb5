package canary

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/countingrule"
)

const (
	settleDelay       = 10 * time.Second // counts that began full, and digests on their way
	minBucketUnits    = 1000             // thousandths of a unit: a cell with less asked says nothing
	maxEstimatedPart  = 0.25             // part of the tasks played without a total above which no rule is taken
	watchInterval     = 10 * time.Second // between two looks at what came of an activation
	minWatchedUnits   = 200_000          // thousandths of a unit in such a look: fewer say little
	maxDeviations     = 2                // looks in a row that must tell of another part let in: one may be a moment's
	maxClockSkew      = 500 * time.Millisecond
	switchGranularity = time.Second // edges are whole seconds of the common clock, easy to find in a log
)

// Controller walks the table: still, canary, named (and watched), and back where what is seen leaves what was foretold.
// It guards against a rule that rejects, lets in or overruns more than the terms allow. Harm: a rule whose keys are too
// few or too far apart is refused undecided.
type Controller struct {
	Config      func() *countingrule.Config // those of the file as last read; they may change between two calls of Decide
	Lease       time.Duration               // of the table, at every process
	ReadWait    time.Duration               // the longest that a read of the table waits
	ClockOrigin time.Duration               // the common clock when now was 0

	config       *countingrule.Config
	epoch        uint64
	baseline     map[string]uint64 // the sums that stood in Test.Sums when it was written
	proposed     []byte            // the value proposed last, and the sums it was made of
	proposedFrom map[string]uint64
	ledSince     time.Duration
}

// New makes a decider of a file's terms. Lease and wait are those of the table's readers; origin is the common clock,
// nanoseconds since 1970 by the wall, when the clock that Decide is told was 0: within skewMost is near enough.
func New(config func() *countingrule.Config, lease, wait, origin time.Duration) *Controller {
	return &Controller{Config: config, Lease: lease, ReadWait: wait, ClockOrigin: origin}
}

// Table is the decider's.
func (c *Controller) Table() string { return countingrule.TableName }

// Decide gives the next value.
func (c *Controller) Decide(now time.Duration, seen coordination.ControllerInput) ([]byte, bool) {
	entry := seen.Table(countingrule.TableName)
	table, err := countingrule.Decode(entry.Value)
	if err != nil {
		return nil, false // written by a later program: left alone
	}
	if entry.Epoch != c.epoch || seen.LeadingSince != c.ledSince || c.baseline == nil {
		c.baseline = seen.Sums
		if bytes.Equal(entry.Value, c.proposed) && seen.LeadingSince == c.ledSince && c.proposedFrom != nil {
			c.baseline = c.proposedFrom
		}
		c.epoch, c.ledSince = entry.Epoch, seen.LeadingSince
	}
	trial, err := decodeTrialState(table.TrialState)
	if err != nil {
		return nil, false
	}
	at := c.ClockOrigin + now
	c.config = c.Config()
	if !c.advance(at, now-seen.LeadingSince, &table, &trial, seen.Sums) {
		return nil, false
	}
	table.TrialState = trial.encode()
	c.proposed, c.proposedFrom = table.Encode(), seen.Sums
	return c.proposed, true
}

// switchTime is the next that every process hears of in time or knows that it did not: an entry written now is in every
// read sent after, so a lease that covers a later moment than now and a lease has heard of it. Two waits more let
// most processes hear before their lease could end, and clocks may differ by skewMost.
func (c *Controller) switchTime(at time.Duration) time.Duration {
	lead := c.Lease + 2*c.ReadWait + 2*maxClockSkew + time.Duration(c.config.Canary.LeadMillis)*time.Millisecond
	return (at + lead + switchGranularity - 1) / switchGranularity * switchGranularity
}

// advance moves the table and tells whether it moved.
func (c *Controller) advance(at, ledFor time.Duration, table *countingrule.Table, trial *TrialState, sums map[string]uint64) bool {
	switched := at >= table.SwitchAt+maxClockSkew
	switch table.Phase {
	case countingrule.PhaseIdle:
		return c.startTrial(at, table, trial)
	case countingrule.PhaseCanary:
		return c.evaluate(at, ledFor, table, trial, sums)
	case countingrule.PhaseScheduled:
		if !switched {
			return false
		}
		if c.config.DesiredVersion == table.From && c.config.DesiredVersion != table.To { // the operators want the earlier rule again
			c.rollBack(at, table, "as the file says", false)
			return true
		}
		return c.watch(at, table, trial, sums)
	case countingrule.PhaseRollback:
		if switched {
			*table = countingrule.Table{Phase: countingrule.PhaseIdle, From: table.To, To: table.To, Previous: table.From, Rules: table.Rules, Refused: table.Refused,
				Since: at, Reason: table.Reason}
			*trial = TrialState{}
			return true
		}
	}
	return false
}

// startTrial takes up the rule that the file names, if it is another than the one in force and was not refused.
func (c *Controller) startTrial(at time.Duration, table *countingrule.Table, trial *TrialState) bool {
	desired := c.config.DesiredVersion
	if desired == table.From || slices.Contains(table.Refused, desired) {
		return false
	}
	i := slices.IndexFunc(c.config.Rules, func(rule countingrule.Rule) bool { return rule.Version == desired })
	table.Rules = slices.DeleteFunc(slices.Clone(table.Rules), func(rule countingrule.Rule) bool {
		return rule.Version != table.From && rule.Version != table.Previous
	})
	if _, known := table.Rule(desired); !known && i >= 0 {
		table.Rules = append(table.Rules, c.config.Rules[i])
	}
	next, _ := table.Rule(desired)
	if desired == table.Previous { // it held before: going back needs no trial
		table.Phase, table.To, table.SwitchAt, table.Since, table.Reason = countingrule.PhaseRollback, desired, c.switchTime(at), at, "as the file says"
		return true
	}
	old, _ := table.Rule(table.From)
	table.Seed, table.Since, table.To, table.Canary = countingrule.Hash(desired, uint64(at)), at, desired, c.config.Canary
	if _, err := NewSample(old, next, table.Seed, c.config.Canary.SamplePermille); err != nil {
		c.refuse(at, table, err.Error())
		return true
	}
	table.Phase, table.Reason = countingrule.PhaseCanary, "as the file says"
	*trial = TrialState{}
	return true
}

func (c *Controller) refuse(at time.Duration, table *countingrule.Table, violation string) {
	table.Refused = append(slices.Clone(table.Refused), table.To)
	table.Phase, table.To, table.Since, table.Reason = countingrule.PhaseIdle, table.From, at, violation
}

// rollBack undoes an activation: the same step the other way.
func (c *Controller) rollBack(at time.Duration, table *countingrule.Table, violation string, refused bool) {
	if refused {
		table.Refused = append(slices.Clone(table.Refused), table.To)
	}
	table.Phase, table.From, table.To, table.SwitchAt, table.Since, table.Reason = countingrule.PhaseRollback, table.To, table.From, c.switchTime(at), at, violation
}

// evaluate looks at the cells whose time has come and gives the verdict where there is one.
func (c *Controller) evaluate(at, ledFor time.Duration, table *countingrule.Table, trial *TrialState, sums map[string]uint64) bool {
	canary := &table.Canary
	deadline := time.Duration(canary.DeadlineSeconds) * time.Second
	if c.config.DesiredVersion != table.To {
		table.Phase, table.To, table.Since, table.Reason = countingrule.PhaseIdle, table.From, at, "the file names another rule"
		*trial = TrialState{}
		return true
	}
	if at >= table.Since+deadline {
		c.refuse(at, table, "undecided at the deadline")
		return true
	}
	if ledFor < settleDelay {
		return false // digests of all processes are still to come
	}
	moved, fingerprint := false, Fingerprint(table.Seed)
	interval := (deadline - 2*settleDelay) / Buckets
	for ; trial.NextBucket < Buckets && at >= table.Since+settleDelay+time.Duration(trial.NextBucket+1)*interval; trial.NextBucket++ {
		moved = true
		requested := float64(sums[bucketName(fingerprint, trial.NextBucket, nameRequested)])
		if requested < minBucketUnits {
			continue
		}
		units := func(kind string) float64 { return float64(sums[bucketName(fingerprint, trial.NextBucket, kind)]) }
		trial.addBucket(canary, requested, units(nameOldOnly), units(nameNewOnly), units(nameOverLimit))
	}
	if !moved {
		return false
	}
	trial.accumulate(fingerprint, c.baseline, sums)
	errorRate := float64(canary.ErrorPermille) / 1000
	harmless := float64(trial.Sums[nameEstimated]) <= maxEstimatedPart*float64(trial.Sums[nameRequests])
	for i, kind := range []string{"rejected", "let_in", "beyond"} {
		b := &trial.Tests[i]
		harmless = harmless && b.IsBelow(errorRate)
		if b.IsAbove(errorRate / 3) { // any of the three refuses: together wrong as often as one may be
			c.refuse(at, table, fmt.Sprintf("canary.%s: %.4f of a key's units in the mean of %d cells", kind, b.Mean(), b.Count))
			return true
		}
	}
	if harmless {
		trial.Forecast = trial.forecast(table.From)
		table.Phase, table.SwitchAt, table.Since, table.Reason = countingrule.PhaseScheduled, c.switchTime(at), at, fmt.Sprintf("harmless by %d cells", trial.Tests[0].Count)
	}
	return true
}

// watch compares what is let in after the activation with what was foretold. It ends after a while.
func (c *Controller) watch(at time.Duration, table *countingrule.Table, trial *TrialState, sums map[string]uint64) bool {
	canary := &table.Canary
	if at >= table.SwitchAt+time.Duration(canary.WatchSeconds)*time.Second {
		*table = countingrule.Table{Phase: countingrule.PhaseIdle, From: table.To, To: table.To, Previous: table.From, Rules: table.Rules, Refused: table.Refused,
			Since: at, Reason: fmt.Sprintf("kept: %.3f let in, %.3f foretold", trial.Observed, trial.Forecast)}
		*trial = TrialState{}
		return true
	}
	if at < table.SwitchAt+settleDelay+time.Duration(trial.Checks+1)*watchInterval {
		return false
	}
	trial.Checks = int((at - table.SwitchAt - settleDelay) / watchInterval)
	trial.accumulate(Fingerprint(table.Seed), c.baseline, sums)
	requested, admitted := trial.actualUnits(table.To)
	if requested-trial.RequestedUnits < minWatchedUnits {
		return true
	}
	trial.Observed = float64(admitted-trial.AdmittedUnits) / float64(requested-trial.RequestedUnits)
	trial.RequestedUnits, trial.AdmittedUnits = requested, admitted
	if deviation := trial.Observed - trial.Forecast; max(deviation, -deviation)*1000 <= float64(canary.DeviationPermille) {
		trial.Deviations = 0
	} else if trial.Deviations++; trial.Deviations >= maxDeviations {
		c.rollBack(at, table, fmt.Sprintf("%.3f of the units are let in, %.3f were foretold", trial.Observed, trial.Forecast), true)
	}
	return true
}
