package countingrule

import "time"

// Limits of a canary's configuration.
const (
	maxSamplePermille  = 80      // permille
	minCallsPerSample  = 3       // permille of calls for each permille of the sample
	maxCallsPermille   = 250     // permille of all gateways' calls
	minDeadlineSeconds = 120     // seconds: time to examine all buckets one after the other
	maxDeadlineSeconds = 86_400  // seconds, a day
	maxErrorPermille   = 200     // permille
	maxBoundPermille   = 500     // permille
	maxLeadMillis      = 600_000 // milliseconds
)

// PermilleScale is how many permille make one. What is counted in thousandths of a unit has it,
// too.
const PermilleScale = 1000

// CanaryConfig says how a new rule is tried beside the one in force, and when it is refused. It is
// stored in the table under the keys of its cbor tags; its methods convert what is stored.
type CanaryConfig struct {
	SamplePermille  uint64 `toml:"sample" cbor:"Sample"`        // of the keys, evaluated by both rules
	CallsPermille   uint64 `toml:"calls" cbor:"Calls"`          // of all gateways' calls to the counter
	DeadlineSeconds uint64 `toml:"deadline_s" cbor:"DeadlineS"` // what is undecided by then is refused
	// ErrorPermille is the chance that a harmful rule is taken, and the chance that a harmless one
	// is refused by its figures, at whatever times they are examined.
	ErrorPermille uint64 `toml:"wrong" cbor:"WrongThousandths"`

	// The bounds, each a part of the units requested by a key, in the mean over keys.

	RejectedPermille  uint64 `toml:"rejected" cbor:"Rejected"` // admitted by the old rule alone
	AdmittedPermille  uint64 `toml:"let_in" cbor:"LetIn"`      // admitted by the new rule alone
	OverLimitPermille uint64 `toml:"beyond" cbor:"Beyond"`     // admitted by the new rule beyond its own limit

	DeviationPermille uint64 `toml:"leave" cbor:"Leave"`    // by which the admitted part may differ from its forecast
	WatchSeconds      uint64 `toml:"watch_s" cbor:"WatchS"` // after a switch in which a deviation rolls it back
	LeadMillis        uint64 `toml:"lead_ms" cbor:"LeadMS"` // from the entry to the switch, beside lease and waits
}

// Deadline is the longest that a trial lasts.
func (c *CanaryConfig) Deadline() time.Duration {
	return time.Duration(c.DeadlineSeconds) * time.Second
}

// WatchDuration is how long the outcome is watched after a switch.
func (c *CanaryConfig) WatchDuration() time.Duration {
	return time.Duration(c.WatchSeconds) * time.Second
}

// ExtraLead is what the operators add to the time between a decision and its switch.
func (c *CanaryConfig) ExtraLead() time.Duration {
	return time.Duration(c.LeadMillis) * time.Millisecond
}

// ErrorRate is the chance, from 0 to 1, that a verdict may be wrong.
func (c *CanaryConfig) ErrorRate() float64 { return PermilleFraction(c.ErrorPermille) }

// RejectedBound is the part of the units, from 0 to 1, that the new rule alone may reject.
func (c *CanaryConfig) RejectedBound() float64 { return PermilleFraction(c.RejectedPermille) }

// AdmittedBound is the part of the units, from 0 to 1, that the new rule alone may admit.
func (c *CanaryConfig) AdmittedBound() float64 { return PermilleFraction(c.AdmittedPermille) }

// OverLimitBound is the part of the units, from 0 to 1, that may be admitted beyond the new limit.
func (c *CanaryConfig) OverLimitBound() float64 { return PermilleFraction(c.OverLimitPermille) }

// MatchesForecast decides whether the observed part of the units that was admitted is as forecast,
// within the configured deviation. Both parts are from 0 to 1.
func (c *CanaryConfig) MatchesForecast(observed, forecast float64) bool {
	deviation := observed - forecast
	return max(deviation, -deviation)*PermilleScale <= float64(c.DeviationPermille)
}

// PermilleFraction converts permille to a part from 0 to 1.
func PermilleFraction(permille uint64) float64 { return float64(permille) / PermilleScale }

// validate gives what is wrong with a canary's configuration, each key under the file's table.
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
	checkRange("rejected", c.RejectedPermille, 1, maxBoundPermille)
	checkRange("let_in", c.AdmittedPermille, 1, maxBoundPermille)
	checkRange("beyond", c.OverLimitPermille, 1, maxBoundPermille)
	checkRange("leave", c.DeviationPermille, 1, maxBoundPermille)
	checkRange("watch_s", c.WatchSeconds, 1, maxDeadlineSeconds)
	checkRange("lead_ms", c.LeadMillis, 0, maxLeadMillis)
	return faults
}
