package canary

import (
	"maps"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination/observation"
)

// The tests of a trial, by their index in TrialState.Tests.
const (
	testRejected = iota
	testAdmitted
	testOverLimit
	testCount
)

// bounds name the tests by the keys of their bounds in the operators' file.
var bounds = [testCount]string{
	testRejected:  "rejected",
	testAdmitted:  "let_in",
	testOverLimit: "beyond",
}

// TrialState is what a trial has shown so far. It is stored in the table: it must outlive a leader.
type TrialState struct {
	NextBucket int                    `cbor:"1,keyasint"` // the bucket to be tested next
	Tests      [testCount]BettingTest `cbor:"2,keyasint"`
	// Sums are those of the canary's observations over all leaders, without its buckets.
	Sums           map[string]uint64 `cbor:"3,keyasint"`
	Forecast       float64           `cbor:"4,keyasint"` // part of the units, from 0 to 1
	Observed       float64           `cbor:"5,keyasint"` // the part up to the latest check
	Checks         int               `cbor:"6,keyasint"` // since the switch
	Deviations     int               `cbor:"7,keyasint"` // checks in a row off the forecast
	RequestedUnits uint64            `cbor:"8,keyasint"` // thousandths up to the latest check
	AdmittedUnits  uint64            `cbor:"9,keyasint"`
}

// bucketOutcome is what both rules admitted of a bucket's requests over its time, in thousandths of
// a unit.
type bucketOutcome struct{ requested, oldOnly, newOnly, overLimit float64 }

// readBucket gives a bucket's outcome by the observations of a canary.
func readBucket(sums map[string]uint64, fingerprint string, bucket int) bucketOutcome {
	units := func(name string) float64 { return float64(sums[bucketName(fingerprint, bucket, name)]) }
	return bucketOutcome{
		requested: units(nameRequested),
		oldOnly:   units(nameOldOnly),
		newOnly:   units(nameNewOnly),
		overLimit: units(nameOverLimit),
	}
}

// addBucket adds a bucket to the tests, where enough was requested. A key at its limit is admitted
// by turns under either rule: only the difference that remains over the bucket's time counts.
func (s *TrialState) addBucket(canary *countingrule.CanaryConfig, bucket bucketOutcome) {
	if bucket.requested < minBucketUnits {
		return
	}
	s.Tests[testRejected].Add((bucket.oldOnly-bucket.newOnly)/bucket.requested, canary.RejectedBound())
	s.Tests[testAdmitted].Add((bucket.newOnly-bucket.oldOnly)/bucket.requested, canary.AdmittedBound())
	s.Tests[testOverLimit].Add(bucket.overLimit/bucket.requested, canary.OverLimitBound())
}

// exceededBound decides which bound the rule is found to exceed, and false where it is none. Each
// test has its part of the error rate, from 0 to 1, as any of them refuses the rule.
func (s *TrialState) exceededBound(errorRate float64) (test int, exceeded bool) {
	for i := range s.Tests {
		if s.Tests[i].IsAbove(errorRate / testCount) {
			return i, true
		}
	}
	return 0, false
}

// isHarmless decides whether the rule may come into force: each test finds it below its bound, with
// an error rate from 0 to 1, and enough requests were evaluated by a count.
func (s *TrialState) isHarmless(errorRate float64) bool {
	if float64(s.Sums[nameEstimated]) > maxEstimatedPart*float64(s.Sums[nameRequests]) {
		return false
	}
	for i := range s.Tests {
		if !s.Tests[i].IsBelow(errorRate) {
			return false
		}
	}
	return true
}

// forecast is the part of the units, from 0 to 1, that the new rule will admit: what the old rule
// admitted, times what the shadow evaluation admits by the new rule relative to the old.
func (s *TrialState) forecast(old uint64) float64 {
	byOldRule := float64(s.Sums[nameBoth] + s.Sums[nameOldOnly])
	byNewRule := float64(s.Sums[nameBoth] + s.Sums[nameNewOnly])
	requested, admitted := s.actualUnits(old)
	return min(float64(admitted)/float64(max(requested, 1))*byNewRule/max(byOldRule, 1), 1)
}

// actualUnits are the units of the sample's requests that came under a version, in thousandths:
// requested and forwarded.
func (s *TrialState) actualUnits(version uint64) (requested, admitted uint64) {
	prefix := actualPrefix(version)
	return s.Sums[observation.JoinName(prefix, nameRequested)], s.Sums[observation.JoinName(prefix, nameAdmitted)]
}

// observe updates the observed part by what came under a version since the latest check that it
// used, and tells whether enough was requested for that.
func (s *TrialState) observe(version uint64) bool {
	requested, admitted := s.actualUnits(version)
	if requested-s.RequestedUnits < minWatchedUnits {
		return false
	}
	s.Observed = float64(admitted-s.AdmittedUnits) / float64(requested-s.RequestedUnits)
	s.RequestedUnits = requested
	s.AdmittedUnits = admitted
	return true
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
