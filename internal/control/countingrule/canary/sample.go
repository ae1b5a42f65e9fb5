// Package canary decides whether a new counting rule comes into force: it evaluates the rule beside
// the one in force on a sample of whole keys, judges it, schedules it, and rolls it back. Package
// enforce calls its Shadow for the sampled requests of a gateway; the leading voter calls its
// Controller. It changes no request's decision and is free of I/O and clocks.
package canary

import (
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"

	"harrierhoist/internal/control/countingrule"
)

// Buckets is how many parts the sampled keys fall into by hash. Each part is tested once, one after
// the other.
const Buckets = 256

// minSharedBits is how many bits two masks must have in common, so that there are enough components
// to draw from.
const minSharedBits = 5

// Why two rules cannot be sampled. The texts are stored in the table as the reason of a refusal.
var (
	ErrMixedGroups = errors.New("one rule's groups are listed and the other's made by a mask: what" +
		" hangs together cannot be told")
	ErrMasksApart = errors.New("the masks of both rules have fewer than 5 bits in common: too much" +
		" hangs together to sample")
)

// Sample decides which customers are sampled. Customers that share a count under either rule, or
// through others, are one component: all of them are in the sample or none. A sample does not
// change and may be used by several goroutines.
type Sample struct {
	seed      uint64
	threshold uint64            // of a component's hash: those below it are sampled
	mask      uint64            // of the customer's number; all ones: by whole customers
	parents   map[uint64]uint64 // of customers in listed groups: the least customer of their component
}

// NewSample makes the sample of two rules, with so many permille of the components. All processes
// with the same seed make the same sample. Its error is ErrMixedGroups or ErrMasksApart: too much
// is connected to take a part of it.
func NewSample(old, next countingrule.Rule, seed, permille uint64) (*Sample, error) {
	sample := &Sample{
		seed:      seed,
		threshold: math.MaxUint64 / countingrule.PermilleScale * permille,
		mask:      math.MaxUint64,
		parents:   map[uint64]uint64{},
	}
	listed := false
	for _, rule := range []countingrule.Rule{old, next} {
		if rule.IsPerCustomer() {
			continue
		}
		if rule.Mask != 0 {
			// Customers that differ only outside of either mask are connected through others.
			sample.mask &= rule.Mask
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
		return nil, ErrMixedGroups
	}
	if bits.OnesCount64(sample.mask) < minSharedBits {
		return nil, ErrMasksApart
	}
	for _, customer := range slices.Sorted(maps.Keys(sample.parents)) {
		sample.parents[customer] = sample.find(customer)
	}
	return sample, nil
}

// union connects two customers. Of two roots the lesser is kept, so that the order does not matter.
func (s *Sample) union(a, b uint64) {
	rootA := s.find(a)
	rootB := s.find(b)
	root := min(rootA, rootB)
	s.parents[max(rootA, rootB)] = root
	s.parents[root] = root
}

// find gives the root of a customer's component.
func (s *Sample) find(customer uint64) uint64 {
	for {
		parent, ok := s.parents[customer]
		if !ok || parent == customer {
			return customer
		}
		customer = parent
	}
}

// ComponentKey is the same for two customers that share a count under either rule.
func (s *Sample) ComponentKey(customer uint64) uint64 {
	if root, ok := s.parents[customer]; ok {
		return root
	}
	return customer & s.mask
}

// Bucket decides which bucket a customer is in, and whether it is sampled at all.
func (s *Sample) Bucket(customer uint64) (bucket int, sampled bool) {
	hash := countingrule.Hash(s.seed, s.ComponentKey(customer))
	return int(countingrule.Hash(hash, 1) % Buckets), hash < s.threshold
}
