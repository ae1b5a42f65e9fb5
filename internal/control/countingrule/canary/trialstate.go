package canary

import (
	"maps"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination/observation"
)

// Bounds that a trial tests, as indexes into TrialState.Tests.
const (
	boundRejected = iota
	boundAdmitted
	boundOverLimit
	boundCount
)

// boundKeys are the keys of the bounds in the operators' file. They also appear in reasons.
var boundKeys = [boundCount]string{
	boundRejected:  "rejected",
	boundAdmitted:  "let_in",
	boundOverLimit: "beyond",
}

// TrialState is the progress of a trial and of the watch after its switch. It is stored in the
// table, so that a new leader can continue.
type TrialState struct {
	NextBucket int                     `cbor:"1,keyasint"` // index of the bucket to test next
	Tests      [boundCount]BettingTest `cbor:"2,keyasint"`
	// Sums are the canary's observations accumulated over all leaders, except those by bucket.
	// Their names lack the canary's prefix.
	Sums                  map[string]uint64 `cbor:"3,keyasint"`
	ForecastFraction      float64           `cbor:"4,keyasint"` // fraction of units expected to be admitted, 0 to 1
	ObservedFraction      float64           `cbor:"5,keyasint"` // fraction admitted between the latest two measurements
	ElapsedIntervals      int               `cbor:"6,keyasint"` // watch intervals that had passed at the latest check
	ConsecutiveDeviations int               `cbor:"7,keyasint"` // consecutive checks that deviate from the forecast
	RequestedUnits        uint64            `cbor:"8,keyasint"` // total at the latest measurement, in thousandths
	AdmittedUnits         uint64            `cbor:"9,keyasint"` // total at the latest measurement, in thousandths
}

// bucketOutcome is the outcome of a bucket's requests according to the observations that this
// leader has received, in thousandths of a unit.
type bucketOutcome struct{ requested, oldOnly, newOnly, overLimit float64 }

// readBucket returns the outcome of a bucket from the observations of a canary.
func readBucket(sums map[string]uint64, fingerprint string, bucket int) bucketOutcome {
	units := func(name string) float64 { return float64(sums[bucketName(fingerprint, bucket, name)]) }
	return bucketOutcome{
		requested: units(nameRequested),
		oldOnly:   units(nameOldOnly),
		newOnly:   units(nameNewOnly),
		overLimit: units(nameOverLimit),
	}
}

// addBucket adds a bucket to the tests if minBucketUnits or more were requested. At the limit of a
// key the two rules may admit different requests of it, even if they admit the same number. Only
// the net difference over the bucket's requests counts.
func (s *TrialState) addBucket(canary *countingrule.CanaryConfig, bucket bucketOutcome) {
	if bucket.requested < minBucketUnits {
		return
	}
	s.Tests[boundRejected].Add((bucket.oldOnly-bucket.newOnly)/bucket.requested, canary.RejectedBound())
	s.Tests[boundAdmitted].Add((bucket.newOnly-bucket.oldOnly)/bucket.requested, canary.AdmittedBound())
	s.Tests[boundOverLimit].Add(bucket.overLimit/bucket.requested, canary.OverLimitBound())
}

// exceededBound returns the index of the first bound that the rule exceeds, or false if there is
// none. The error rate, from 0 to 1, is divided evenly among the tests because each of them alone
// can refuse the rule.
func (s *TrialState) exceededBound(errorRate float64) (test int, exceeded bool) {
	for i := range s.Tests {
		if s.Tests[i].IsAbove(errorRate / boundCount) {
			return i, true
		}
	}
	return 0, false
}

// isHarmless reports whether the rule may come into force: every test finds it below its bound at
// the error rate, from 0 to 1, and few enough requests were decided without a count. The error
// rate is not divided among the tests because all of them must pass.
func (s *TrialState) isHarmless(errorRate float64) bool {
	if float64(s.Sums[nameEstimated]) > maxEstimatedFraction*float64(s.Sums[nameRequests]) {
		return false
	}
	for i := range s.Tests {
		if !s.Tests[i].IsBelow(errorRate) {
			return false
		}
	}
	return true
}

// forecastAdmitted returns the fraction of units, from 0 to 1, that the new rule is expected to
// admit. It scales the fraction actually admitted under the old rule by the ratio of the units that
// the new and the old rule admit in the shadow evaluation.
func (s *TrialState) forecastAdmitted(oldVersion uint64) float64 {
	byOldRule := float64(s.Sums[nameBoth] + s.Sums[nameOldOnly])
	byNewRule := float64(s.Sums[nameBoth] + s.Sums[nameNewOnly])
	requested, admitted := s.actualUnits(oldVersion)
	return min(float64(admitted)/float64(max(requested, 1))*byNewRule/max(byOldRule, 1), 1)
}

// actualUnits returns the units of sampled requests under a version, in thousandths: all requested
// units, and the units of forwarded requests.
func (s *TrialState) actualUnits(version uint64) (requested, admitted uint64) {
	prefix := actualPrefix(version)
	return s.Sums[observation.JoinName(prefix, nameRequested)], s.Sums[observation.JoinName(prefix, nameAdmitted)]
}

// updateObserved measures the fraction of units admitted under a version since the latest
// measurement. It returns false and changes nothing if fewer than minWatchedUnits were requested.
func (s *TrialState) updateObserved(version uint64) bool {
	requested, admitted := s.actualUnits(version)
	if requested-s.RequestedUnits < minWatchedUnits {
		return false
	}
	s.ObservedFraction = float64(admitted-s.AdmittedUnits) / float64(requested-s.RequestedUnits)
	s.RequestedUnits = requested
	s.AdmittedUnits = admitted
	return true
}

// addSums adds the increase of the canary's sums since the baseline. It replaces the map instead of
// changing it.
func (s *TrialState) addSums(fingerprint string, baseline, sums map[string]uint64) {
	prefix := observation.JoinName(nameCanary, fingerprint, "")
	bucketPrefix := observation.JoinName(nameBucket, "")
	accumulated := maps.Clone(s.Sums)
	if accumulated == nil {
		accumulated = map[string]uint64{}
	}
	for name, n := range sums {
		shortName, ok := strings.CutPrefix(name, prefix)
		if ok && !strings.HasPrefix(shortName, bucketPrefix) && n > baseline[name] {
			accumulated[shortName] += n - baseline[name]
		}
	}
	s.Sums = accumulated
}

// decodeTrialState decodes a trial's state. An empty text stands for the zero state.
func decodeTrialState(text []byte) (state TrialState, err error) {
	if len(text) > 0 {
		err = cbor.Unmarshal(text, &state)
	}
	return state, err
}

func (s *TrialState) encode() []byte { return countingrule.Marshal(s) }
