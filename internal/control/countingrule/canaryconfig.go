package countingrule

import "time"

// Bounds of the values in a CanaryConfig.
const (
	maxSamplePermille  = 80     // permille
	minCallsPerSample  = 3      // minimum ratio of CallsPermille to SamplePermille
	maxCallsPermille   = 250    // of all gateways' calls to the counter
	minDeadlineSeconds = 120    // long enough to test all buckets of sampled keys in sequence
	maxDeadlineSeconds = 86_400 // one day
	maxErrorPermille   = 200
	maxBoundPermille   = 500     // of the fraction bounds and the deviation
	maxLeadMillis      = 600_000 // ten minutes
)

// PermilleScale is the number of permille in one, and the number of thousandths in a unit.
const PermilleScale = 1000

// CanaryConfig configures the trial of a new rule while the current one stays in force, and when
// the new rule is refused. The table stores it under the names in the cbor tags, in the integer
// units of the fields; the methods convert these to durations and fractions.
type CanaryConfig struct {
	SamplePermille uint64 `toml:"sample" cbor:"Sample"` // fraction of keys evaluated under both rules
	// CallsPermille limits the trial's calls to the counter, as a fraction of all gateways' calls
	// to it.
	CallsPermille uint64 `toml:"calls" cbor:"Calls"`
	// DeadlineSeconds is the time after which a trial without a verdict ends and the rule is
	// refused.
	DeadlineSeconds uint64 `toml:"deadline_s" cbor:"DeadlineS"`
	// ErrorPermille bounds both the probability that a harmful rule is accepted and the probability
	// that a harmless rule is refused because of its measurements. The bounds hold no matter how
	// often the measurements are examined.
	ErrorPermille uint64 `toml:"wrong" cbor:"WrongThousandths"`

	// Each of the next three fields limits a fraction of the units requested under a key, averaged
	// over keys.

	RejectedBoundPermille  uint64 `toml:"rejected" cbor:"Rejected"` // units admitted only by the old rule
	AdmittedBoundPermille  uint64 `toml:"let_in" cbor:"LetIn"`      // units admitted only by the new rule
	OverLimitBoundPermille uint64 `toml:"beyond" cbor:"Beyond"`     // units admitted in excess of the new rule's limit

	// MaxDeviationPermille is the allowed difference between the admitted fraction and its
	// forecast.
	MaxDeviationPermille uint64 `toml:"leave" cbor:"Leave"`
	// WatchSeconds is the time after a switch in which a larger difference rolls the switch back.
	WatchSeconds    uint64 `toml:"watch_s" cbor:"WatchS"`
	ExtraLeadMillis uint64 `toml:"lead_ms" cbor:"LeadMS"` // added to the time between a decision and its switch
}

// Deadline returns the longest duration of a trial.
func (c *CanaryConfig) Deadline() time.Duration {
	return time.Duration(c.DeadlineSeconds) * time.Second
}

// WatchDuration returns how long the admitted fraction is watched after a switch.
func (c *CanaryConfig) WatchDuration() time.Duration {
	return time.Duration(c.WatchSeconds) * time.Second
}

// ExtraLead returns the duration that operators add to the time between a decision and its switch.
// The controller already waits for leases to expire and reads to complete.
func (c *CanaryConfig) ExtraLead() time.Duration {
	return time.Duration(c.ExtraLeadMillis) * time.Millisecond
}

// ErrorRate returns the allowed probability, from 0 to 1, that a verdict is wrong.
func (c *CanaryConfig) ErrorRate() float64 { return PermilleFraction(c.ErrorPermille) }

// RejectedBound returns the fraction of the units, from 0 to 1, that only the new rule may reject.
func (c *CanaryConfig) RejectedBound() float64 { return PermilleFraction(c.RejectedBoundPermille) }

// AdmittedBound returns the fraction of the units, from 0 to 1, that only the new rule may admit.
func (c *CanaryConfig) AdmittedBound() float64 { return PermilleFraction(c.AdmittedBoundPermille) }

// OverLimitBound returns the fraction of the units, from 0 to 1, that the new rule may admit in
// excess of its own limit.
func (c *CanaryConfig) OverLimitBound() float64 { return PermilleFraction(c.OverLimitBoundPermille) }

// MatchesForecast reports whether the observed admitted fraction differs from its forecast by no
// more than MaxDeviationPermille. Both fractions are from 0 to 1.
func (c *CanaryConfig) MatchesForecast(observed, forecast float64) bool {
	deviation := observed - forecast
	return max(deviation, -deviation)*PermilleScale <= float64(c.MaxDeviationPermille)
}

// PermilleFraction converts permille to a fraction from 0 to 1.
func PermilleFraction(permille uint64) float64 { return float64(permille) / PermilleScale }

// validate returns an error for each invalid value. Each error begins with the key's path in the
// file.
func (c *CanaryConfig) validate() []error {
	var faults faultList
	checkRange := func(key string, value, low, high uint64) {
		if value < low || value > high {
			faults.add("counting.canary.%s must be from %d to %d, not %d", key, low, high, value)
		}
	}
	checkRange("sample", c.SamplePermille, 1, maxSamplePermille)
	checkRange("calls", c.CallsPermille, 1, maxCallsPermille)
	if minCalls := minCallsPerSample * c.SamplePermille; c.CallsPermille < minCalls {
		faults.add("counting.canary.calls must be %d times canary.sample or more, %d, not %d: else tasks are played"+
			" without a total and no rule is taken", minCallsPerSample, minCalls, c.CallsPermille)
	}
	checkRange("deadline_s", c.DeadlineSeconds, minDeadlineSeconds, maxDeadlineSeconds)
	checkRange("wrong", c.ErrorPermille, 1, maxErrorPermille)
	checkRange("rejected", c.RejectedBoundPermille, 1, maxBoundPermille)
	checkRange("let_in", c.AdmittedBoundPermille, 1, maxBoundPermille)
	checkRange("beyond", c.OverLimitBoundPermille, 1, maxBoundPermille)
	checkRange("leave", c.MaxDeviationPermille, 1, maxBoundPermille)
	checkRange("watch_s", c.WatchSeconds, 1, maxDeadlineSeconds)
	checkRange("lead_ms", c.ExtraLeadMillis, 0, maxLeadMillis)
	return faults
}
