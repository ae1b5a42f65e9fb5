package canary

import (
	"maps"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/countingrule"
)

// TrialState is what a canary has shown so far, in the table: it must not be lost with a leader.
type TrialState struct {
	NextBucket     int               `cbor:"1,keyasint"` // the cell to be looked at next
	Tests          [3]BettingTest    `cbor:"2,keyasint"` // rejected, let in, beyond
	Sums           map[string]uint64 `cbor:"3,keyasint"` // of the canary's evidence but its cells, over all leaders
	Forecast       float64           `cbor:"4,keyasint"` // the part let in that the canary foretold
	Observed       float64           `cbor:"5,keyasint"` // and the one seen at the latest look
	Checks         int               `cbor:"6,keyasint"`
	Deviations     int               `cbor:"7,keyasint"` // looks in a row that left it
	RequestedUnits uint64            `cbor:"8,keyasint"` // units by the new rule up to the latest look
	AdmittedUnits  uint64            `cbor:"9,keyasint"`
}

// addBucket takes a cell. What one rule lets in at one moment and the other at the next is no difference: a key at its limit
// is let in by turns, and only what is left of it over the cell's time counts.
func (s *TrialState) addBucket(canary *countingrule.CanaryConfig, requested, old, next, overLimit float64) {
	s.Tests[0].Add((old-next)/requested, float64(canary.RejectedPermille)/1000)
	s.Tests[1].Add((next-old)/requested, float64(canary.AdmittedPermille)/1000)
	s.Tests[2].Add(overLimit/requested, float64(canary.OverLimitPermille)/1000)
}

// forecast is the part that would be let in: what was let in by the old rule, times what the play lets in by the new
// beside what it lets in by the old.
func (s *TrialState) forecast(old uint64) float64 {
	byOldRule, byNewRule := float64(s.Sums[nameBoth]+s.Sums[nameOldOnly]), float64(s.Sums[nameBoth]+s.Sums[nameNewOnly])
	requested, admitted := s.actualUnits(old)
	return min(float64(admitted)/float64(max(requested, 1))*byNewRule/max(byOldRule, 1), 1)
}

// actualUnits are the units of the sample's tasks that were taken under a version, asked and let in.
func (s *TrialState) actualUnits(version uint64) (requested, admitted uint64) {
	prefix := observation.JoinName(nameActual, strconv.FormatUint(version, 10))
	return s.Sums[observation.JoinName(prefix, nameRequested)], s.Sums[observation.JoinName(prefix, nameAdmitted)]
}

// accumulate adds to the sums what came since they were last written.
func (s *TrialState) accumulate(fingerprint string, baseline, sums map[string]uint64) {
	prefix := observation.JoinName("canary", fingerprint, "")
	accumulated := maps.Clone(s.Sums)
	if accumulated == nil {
		accumulated = map[string]uint64{}
	}
	bucketPrefix := observation.JoinName(nameBucket, "")
	for name, n := range sums {
		kind, ok := strings.CutPrefix(name, prefix)
		if ok && !strings.HasPrefix(kind, bucketPrefix) && n > baseline[name] {
			accumulated[kind] += n - baseline[name]
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
