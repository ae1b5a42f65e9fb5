// Package canary plays a new counting rule beside the old one on a sample of whole keys and judges it: which keys are
// in, what either rule would have let in by counts of its own at the counter, and a verdict that holds whenever it is
// looked at. It touches no task and is free of I/O and clocks.
package canary

import (
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"

	"harrierhoist/internal/countingrule"
)

// Buckets are the parts that the sampled keys fall into by hash; each is looked at once, one after the other. A bound of
// 2% needs about 210 of them where nothing is out of order (docs/counting-rules.md).
const Buckets = 256

// Sample says which customers are played. A customer is in or out together with all that share a count with it under
// either rule.
type Sample struct {
	seed, threshold uint64
	mask            uint64            // of the customer's number; all ones: by whole customers
	parents         map[uint64]uint64 // of customers in listed groups: the least customer that they hang together with
}

// NewSample makes the sample of two rules, of a share in thousandths. All processes with the same seed make the same.
// An error tells that too much hangs together to take a part of it.
func NewSample(old, next countingrule.Rule, seed, permille uint64) (*Sample, error) {
	sample := &Sample{seed: seed, threshold: math.MaxUint64 / 1000 * permille, mask: math.MaxUint64, parents: map[uint64]uint64{}}
	listed := false
	for _, rule := range []countingrule.Rule{old, next} {
		if rule.Version == 0 || slices.Contains(rule.Key, "customer") {
			continue // each of its counts is one customer's
		}
		if rule.Mask != 0 {
			sample.mask &= rule.Mask // customers that differ only outside of either mask hang together through others
			continue
		}
		listed = true
		for _, group := range rule.Groups {
			for _, customer := range group.Customers {
				sample.union(group.Customers[0], customer)
			}
		}
	}
	if listed && sample.mask != math.MaxUint64 {
		return nil, errors.New("one rule's groups are listed and the other's made by a mask: what" +
			" hangs together cannot be told")
	}
	if bits.OnesCount64(sample.mask) < 5 {
		return nil, errors.New("the masks of both rules have fewer than 5 bits in common: too much hangs together to sample")
	}
	for _, customer := range slices.Sorted(maps.Keys(sample.parents)) {
		sample.parents[customer] = sample.find(customer)
	}
	return sample, nil
}

// union and root are union and find: of two roots the lesser is kept, so that the order does not matter.
func (sample *Sample) union(a, b uint64) {
	a, b = sample.find(a), sample.find(b)
	sample.parents[max(a, b)] = min(a, b)
	sample.parents[min(a, b)] = min(a, b)
}

func (sample *Sample) find(customer uint64) uint64 {
	for {
		parent, ok := sample.parents[customer]
		if !ok || parent == customer {
			return customer
		}
		customer = parent
	}
}

// ComponentKey is what a customer hangs together with: two customers that share a count under either rule have the same.
func (sample *Sample) ComponentKey(customer uint64) uint64 {
	if root, ok := sample.parents[customer]; ok {
		return root
	}
	return customer & sample.mask
}

// Bucket gives a customer's cell, and whether it is played at all.
func (sample *Sample) Bucket(customer uint64) (bucket int, admitted bool) {
	hash := countingrule.Hash(sample.seed, sample.ComponentKey(customer))
	return int(countingrule.Hash(hash, 1) % Buckets), hash < sample.threshold
}
