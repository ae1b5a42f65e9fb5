package canary

import (
	"strconv"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/policy"
)

// Parts of the names of observations. Each name starts with nameCanary and the canary's
// fingerprint. The names are sent between processes and matched by the leader, so they must not
// change. Units and weights are in thousandths.
const (
	nameCanary     = "canary"
	nameRequested  = "asked"   // units requested
	nameOldOnly    = "old"     // units admitted only by the old rule
	nameNewOnly    = "new"     // units admitted only by the new rule
	nameBoth       = "both"    // units admitted by both rules
	nameNeither    = "neither" // units admitted by neither rule
	nameOverLimit  = "beyond"  // units admitted by the new rule beyond its limit
	nameEstimated  = "blind"   // requests that a side decided without a count
	nameRequests   = "tasks"   // requests evaluated
	nameMergedKeys = "merged"  // keys of the new rule that combine several keys of the old rule
	nameSplitKeys  = "split"   // keys of the old rule that are split into several keys of the new rule
	nameCalls      = "calls"   // calls to the counter
	nameActual     = "real"    // prefix of the actual outcome by version
	nameAdmitted   = "in"      // units actually forwarded
	nameBucket     = "cell"    // prefix of units by bucket
	nameClass      = "lane"    // prefix of outcomes by class and plan
	prefixWeighted = "gain-"   // prefix of an outcome that counts class weights instead of units
)

// maxTrackedKeys is the number of keys of each rule that are tracked to count merged and split
// keys.
const maxTrackedKeys = 20_000

// Format of numbers in observations and in their names.
const (
	fingerprintBase = 36
	versionBase     = 10
	roundingOffset  = 0.5 // in thousandths
)

// severalKeys marks a key for which several keys of the other rule were seen.
const severalKeys = 0

// observations holds the counts of a canary in one process. They never decrease.
type observations struct {
	fingerprint           string
	calls                 uint64            // calls to the counter
	counts                map[string]uint64 // by name without the canary's prefix; excludes calls and buckets
	buckets               [BucketCount]bucketUnits
	oldKeyByNew           map[uint64]uint64 // first key under the old rule, by key under the new rule, or severalKeys
	newKeyByOld           map[uint64]uint64 // first key under the new rule, by key under the old rule, or severalKeys
	classNames, planNames []string          // by index
	classWeights          []float64         // by index
}

// bucketUnits holds the units of a bucket's requests, in thousandths.
type bucketUnits struct{ requested, oldOnly, newOnly, overLimit uint64 }

func newObservations(fingerprint string) *observations {
	return &observations{
		fingerprint: fingerprint,
		counts:      map[string]uint64{},
		oldKeyByNew: map[uint64]uint64{},
		newKeyByOld: map[uint64]uint64{},
	}
}

// setNames replaces the names of classes and plans and the weights of classes.
func (o *observations) setNames(settings policy.Settings) {
	o.classNames = nil
	o.classWeights = nil
	o.planNames = nil
	for _, class := range settings.Classes {
		o.classNames = append(o.classNames, class.Name)
		o.classWeights = append(o.classWeights, class.Weight)
	}
	for _, plan := range settings.Plans {
		o.planNames = append(o.planNames, plan.Name)
	}
}

// Fingerprint returns the part that identifies a canary in the names of its observations.
func Fingerprint(seed uint64) string { return strconv.FormatUint(seed, fingerprintBase) }

// thousandths converts units or a weight to thousandths, rounded to the nearest. Negative values
// become 0.
func thousandths(v float64) uint64 {
	return uint64(max(v, 0)*countingrule.PermilleScale + roundingOffset)
}

// record counts a request on which both sides have decided.
func (o *observations) record(bucket int, shadowed *shadowRequest) {
	request := &shadowed.request
	inBucket := &o.buckets[bucket]
	units := thousandths(request.Units)
	o.counts[nameRequests]++
	inBucket.requested += units
	inBucket.overLimit += thousandths(shadowed.overLimit)
	outcome := nameNeither
	switch {
	case shadowed.admitted[oldSide] && shadowed.admitted[newSide]:
		outcome = nameBoth
	case shadowed.admitted[oldSide]:
		outcome = nameOldOnly
		inBucket.oldOnly += units
	case shadowed.admitted[newSide]:
		outcome = nameNewOnly
		inBucket.newOnly += units
	}
	prefix := observation.JoinName(nameClass, o.classNames[request.Class], o.planNames[request.Plan])
	o.counts[observation.JoinName(prefix, outcome)] += units
	o.counts[observation.JoinName(prefix, prefixWeighted+outcome)] += thousandths(o.classWeights[request.Class])
	o.counts[outcome] += units
	if shadowed.estimated {
		o.counts[nameEstimated]++
	}
}

// trackKeys updates the counts of merged and split keys, given the keys of a request under both
// rules.
func (o *observations) trackKeys(oldKey, newKey uint64) {
	track := func(firstOther map[uint64]uint64, key, other uint64, name string) {
		known, ok := firstOther[key]
		switch {
		case !ok && len(firstOther) < maxTrackedKeys:
			firstOther[key] = other
		case ok && known != severalKeys && known != other:
			firstOther[key] = severalKeys
			o.counts[name]++
		}
	}
	track(o.oldKeyByNew, newKey, oldKey, nameMergedKeys)
	track(o.newKeyByOld, oldKey, newKey, nameSplitKeys)
}

// actualPrefix returns the prefix of the observations of the actual outcome under a version.
func actualPrefix(version uint64) string {
	return observation.JoinName(nameActual, strconv.FormatUint(version, versionBase))
}

// recordActual counts the actual outcome of a sampled request.
func (o *observations) recordActual(version uint64, units float64, forwarded bool) {
	prefix := actualPrefix(version)
	o.counts[observation.JoinName(prefix, nameRequested)] += thousandths(units)
	if forwarded {
		o.counts[observation.JoinName(prefix, nameAdmitted)] += thousandths(units)
	}
}

// report calls add with the full name and the value of each observation.
func (o *observations) report(add func(name string, n uint64)) {
	for name, n := range o.counts {
		add(observation.JoinName(nameCanary, o.fingerprint, name), n)
	}
	add(observation.JoinName(nameCanary, o.fingerprint, nameCalls), o.calls)
	for i, inBucket := range o.buckets {
		if inBucket.requested == 0 {
			continue
		}
		for _, count := range []struct {
			name  string
			units uint64
		}{
			{nameRequested, inBucket.requested},
			{nameOldOnly, inBucket.oldOnly},
			{nameNewOnly, inBucket.newOnly},
			{nameOverLimit, inBucket.overLimit},
		} {
			if count.units > 0 {
				add(bucketName(o.fingerprint, i, count.name), count.units)
			}
		}
	}
}

// bucketName returns the full name of an observation of a bucket.
func bucketName(fingerprint string, bucket int, name string) string {
	return observation.JoinName(nameCanary, fingerprint, nameBucket, strconv.Itoa(bucket), name)
}
