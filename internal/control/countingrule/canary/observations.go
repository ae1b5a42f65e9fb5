package canary

import (
	"strconv"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/policy"
)

// The names of observations, behind nameCanary and the canary's fingerprint. They go between
// processes, and the leader matches them: they never change. Units and weights are in thousandths.
const (
	nameCanary     = "canary"
	nameRequested  = "asked"   // units requested
	nameOldOnly    = "old"     // admitted by the old rule alone
	nameNewOnly    = "new"     // by the new rule alone
	nameBoth       = "both"    // by both
	nameNeither    = "neither" // by neither
	nameOverLimit  = "beyond"  // admitted by the new rule beyond its limit
	nameEstimated  = "blind"   // requests decided without a count
	nameRequests   = "tasks"
	nameMergedKeys = "merged" // keys of the new rule that joined several of the old
	nameSplitKeys  = "split"  // keys of the old rule that were split into several of the new
	nameCalls      = "calls"
	nameActual     = "real"  // units by the version that they were admitted under
	nameAdmitted   = "in"    // and how many of them were forwarded
	nameBucket     = "cell"  // by bucket
	nameClass      = "lane"  // by class and plan
	prefixWeighted = "gain-" // before the four outcomes: priority weight in place of units
)

// maxTrackedKeys is how many keys of either rule are tracked to count which merge and which are
// split.
const maxTrackedKeys = 20_000

// The form of numbers in observations and their names.
const (
	fingerprintBase = 36
	versionBase     = 10
	roundingOffset  = 0.5 // thousandths
)

// severalKeys stands for a key that met several keys of the other rule.
const severalKeys = 0

// observations are what one process counted of a canary. The counts only grow.
type observations struct {
	fingerprint           string
	calls                 uint64
	counts                map[string]uint64
	buckets               [Buckets]bucketUnits
	mergedFrom, splitInto map[uint64]uint64 // the first key met under the other rule, or severalKeys
	classNames, planNames []string          // by index
	classWeights          []float64
}

// bucketUnits are a bucket's units in thousandths.
type bucketUnits struct{ requested, oldOnly, newOnly, overLimit uint64 }

func newObservations(fingerprint string) *observations {
	return &observations{
		fingerprint: fingerprint,
		counts:      map[string]uint64{},
		mergedFrom:  map[uint64]uint64{},
		splitInto:   map[uint64]uint64{},
	}
}

// setNames takes the names of classes and plans by their indexes.
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

// Fingerprint is a canary's part of the names of its observations.
func Fingerprint(seed uint64) string { return strconv.FormatUint(seed, fingerprintBase) }

// thousandths converts units or a weight to the thousandths that are sent, rounded to the nearest.
func thousandths(v float64) uint64 {
	return uint64(max(v, 0)*countingrule.PermilleScale + roundingOffset)
}

// record counts a request that both sides have decided.
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

// trackKeys counts the keys that the new rule merges and splits.
func (o *observations) trackKeys(old, next uint64) {
	track := func(others map[uint64]uint64, key, other uint64, name string) {
		known, ok := others[key]
		switch {
		case !ok && len(others) < maxTrackedKeys:
			others[key] = other
		case ok && known != severalKeys && known != other:
			others[key] = severalKeys
			o.counts[name]++
		}
	}
	track(o.mergedFrom, next, old, nameMergedKeys)
	track(o.splitInto, old, next, nameSplitKeys)
}

// actualPrefix begins the names of what became of requests that were admitted under a version.
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

// report gives each observation by its full name.
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

func bucketName(fingerprint string, bucket int, name string) string {
	return observation.JoinName(nameCanary, fingerprint, nameBucket, strconv.Itoa(bucket), name)
}
