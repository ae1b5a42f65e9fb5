package canary

import (
	"maps"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination/observation"
)

// TrialState is what a trial has shown so far. It is stored in the table: it must outlive a leader.
type TrialState struct {
	NextBucket     int               `cbor:"1,keyasint"` // the bucket to be tested next
	Tests          [3]BettingTest    `cbor:"2,keyasint"` // in the order of bounds
	Sums           map[string]uint64 `cbor:"3,keyasint"` // of the canary's observations but its buckets, over all leaders
	Forecast       float64           `cbor:"4,keyasint"` // the part of the units that the rule was to admit
	Observed       float64           `cbor:"5,keyasint"` // and the part that it admitted up to the latest check
	Checks         int               `cbor:"6,keyasint"` // since the switch
	Deviations     int               `cbor:"7,keyasint"` // checks in a row that deviated from the forecast
	RequestedUnits uint64            `cbor:"8,keyasint"` // under the new rule up to the latest check
	AdmittedUnits  uint64            `cbor:"9,keyasint"`
}

// addBucket adds a bucket to the tests. What one rule admits at one moment and the other at the next is no difference: a
// key at its limit is admitted by turns, and only what is left of it over the bucket's time counts.
func (s *TrialState) addBucket(canary *countingrule.CanaryConfig, requested, old, next, overLimit float64) {
	s.Tests[0].Add((old-next)/requested, float64(canary.RejectedPermille)/1000)
	s.Tests[1].Add((next-old)/requested, float64(canary.AdmittedPermille)/1000)
	s.Tests[2].Add(overLimit/requested, float64(canary.OverLimitPermille)/1000)
}

// forecast is the part of the units that the new rule will admit: what the old rule admitted, times what the shadow
// evaluation admits by the new beside what it admits by the old.
func (s *TrialState) forecast(old uint64) float64 {
	byOldRule, byNewRule := float64(s.Sums[nameBoth]+s.Sums[nameOldOnly]), float64(s.Sums[nameBoth]+s.Sums[nameNewOnly])
	requested, admitted := s.actualUnits(old)
	return min(float64(admitted)/float64(max(requested, 1))*byNewRule/max(byOldRule, 1), 1)
}

// actualUnits are the units of the sample's requests that came under a version, requested and forwarded.
func (s *TrialState) actualUnits(version uint64) (requested, admitted uint64) {
	prefix := observation.JoinName(nameActual, strconv.FormatUint(version, 10))
	return s.Sums[observation.JoinName(prefix, nameRequested)], s.Sums[observation.JoinName(prefix, nameAdmitted)]
}

// accumulate adds to the sums what was counted since the baseline.
func (s *TrialState) accumulate(fingerprint string, baseline, sums map[string]uint64) {
	prefix := observation.JoinName(nameCanary, fingerprint, "")
	bucketPrefix := observation.JoinName(nameBucket, "")
	accumulated := maps.Clone(s.Sums)
	if accumulated == nil {
		accumulated = map[string]uint64{}
	}
	for name, n := range sums {
		short, ok := strings.CutPrefix(name, prefix)
		if ok && !strings.HasPrefix(short, bucketPrefix) && n > baseline[name] {
			accumulated[short] += n - baseline[name]
		}
	}
	s.Sums = accumulated
}

func decodeTrialState(text []byte) (state TrialState, err error) {
	if len(text) > 0 {
		err = cbor.Unmarshal(text, &state)
	}
	return state, err
}

func (s *TrialState) encode() []byte { return countingrule.Marshal(s) }
