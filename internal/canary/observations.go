package canary

import (
	"strconv"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/policy"
)

// The names of what a process counts, behind "canary" and the canary's mark. Units and gain are in thousandths.
const (
	nameRequested  = "asked"   // units asked
	nameOldOnly    = "old"     // let in by the old rule alone
	nameNewOnly    = "new"     // by the new rule alone
	nameBoth       = "both"    // by both
	nameNeither    = "neither" // by neither
	nameOverLimit  = "beyond"  // let in by the new rule beyond its limit
	nameEstimated  = "blind"   // tasks played without a total
	nameRequests   = "tasks"
	nameMergedKeys = "merged" // keys of the new rule in which several of the old came together, as this process saw
	nameSplitKeys  = "split"  // keys of the old rule that fell into several of the new
	nameCalls      = "calls"
	nameActual     = "real"  // units of the sample's tasks by the version that they were taken under
	nameAdmitted   = "in"    // and how many of them were pushed
	nameBucket     = "cell"  // by cell
	nameClass      = "lane"  // by lane and plan
	prefixWeighted = "gain-" // before the four fates: gain in place of units
	maxTrackedKeys = 20_000  // keys whose merging is followed
)

// Observations are what one process saw of a canary. They only grow.
type Observations struct {
	salt                  uint64
	fingerprint           string
	Calls                 uint64
	counts                map[string]uint64
	buckets               [Buckets]bucketUnits
	mergedFrom, splitInto map[uint64]uint64 // the first key met on the other side; 0: several
	classNames, planNames []string          // names by number
	classWeights          []float64
}

// bucketUnits are a cell's units in thousandths.
type bucketUnits struct{ requested, oldOnly, newOnly, overLimit uint64 }

func newObservations(salt uint64) *Observations {
	return &Observations{salt: salt, fingerprint: Fingerprint(salt), counts: map[string]uint64{}, mergedFrom: map[uint64]uint64{},
		splitInto: map[uint64]uint64{}}
}

// setNames takes the names of lanes and plans by number.
func (o *Observations) setNames(settings policy.Settings) {
	o.classNames, o.classWeights, o.planNames = nil, nil, nil
	for _, class := range settings.Classes {
		o.classNames, o.classWeights = append(o.classNames, class.Name), append(o.classWeights, class.Weight)
	}
	for _, plan := range settings.Plans {
		o.planNames = append(o.planNames, plan.Name)
	}
}

// Fingerprint is a canary's mark in the names of its evidence.
func Fingerprint(salt uint64) string { return strconv.FormatUint(salt, 36) }

func thousandths(v float64) uint64 { return uint64(max(v, 0)*1000 + 0.5) }

// record counts a task that both sides have spoken on.
func (o *Observations) record(bucket int, shadowed *shadowRequest) {
	units, inBucket := thousandths(shadowed.request.Units), &o.buckets[bucket]
	o.counts[nameRequests]++
	inBucket.requested += units
	inBucket.overLimit += thousandths(shadowed.overLimit)
	outcome := nameNeither
	switch {
	case shadowed.admitted[0] && shadowed.admitted[1]:
		outcome = nameBoth
	case shadowed.admitted[0]:
		outcome = nameOldOnly
		inBucket.oldOnly += units
	case shadowed.admitted[1]:
		outcome = nameNewOnly
		inBucket.newOnly += units
	}
	prefix := observation.JoinName(nameClass, o.classNames[shadowed.request.Class], o.planNames[shadowed.request.Plan])
	o.counts[observation.JoinName(prefix, outcome)] += units
	o.counts[observation.JoinName(prefix, prefixWeighted+outcome)] += thousandths(o.classWeights[shadowed.request.Class])
	o.counts[outcome] += units
	if shadowed.estimated {
		o.counts[nameEstimated]++
	}
}

// trackKeys follows which keys came together and which fell apart.
func (o *Observations) trackKeys(old, next uint64) {
	track := func(others map[uint64]uint64, key, other uint64, name string) {
		known, ok := others[key]
		switch {
		case !ok && len(others) < maxTrackedKeys:
			others[key] = other
		case ok && known != 0 && known != other:
			others[key] = 0
			o.counts[name]++
		}
	}
	track(o.mergedFrom, next, old, nameMergedKeys)
	track(o.splitInto, old, next, nameSplitKeys)
}

// RecordActual counts a task of the sample as it went: taken under a version, pushed or not.
func (o *Observations) RecordActual(version uint64, units float64, forwarded bool) {
	prefix := observation.JoinName(nameActual, strconv.FormatUint(version, 10))
	o.counts[observation.JoinName(prefix, nameRequested)] += thousandths(units)
	if forwarded {
		o.counts[observation.JoinName(prefix, nameAdmitted)] += thousandths(units)
	}
}

// Report gives the counts as evidence.
func (o *Observations) Report(add func(name string, n uint64)) {
	for name, n := range o.counts {
		add(observation.JoinName("canary", o.fingerprint, name), n)
	}
	add(observation.JoinName("canary", o.fingerprint, nameCalls), o.Calls)
	for i, inBucket := range o.buckets {
		if inBucket.requested == 0 {
			continue
		}
		for name, n := range map[string]uint64{nameRequested: inBucket.requested, nameOldOnly: inBucket.oldOnly, nameNewOnly: inBucket.newOnly, nameOverLimit: inBucket.overLimit} {
			if n > 0 {
				add(bucketName(o.fingerprint, i, name), n)
			}
		}
	}
}

func bucketName(fingerprint string, bucket int, kind string) string {
	return observation.JoinName("canary", fingerprint, nameBucket, strconv.Itoa(bucket), kind)
}
