// Package canary decides whether a new counting rule comes into force. It evaluates the new rule
// alongside the current one on a sample of keys, and then refuses or schedules it. After the switch
// it keeps the rule or rolls it back. Package enforce calls Shadow for the sampled requests of a
// gateway. The leading voter calls Controller. The evaluation never changes the decision on a
// request. The package does no I/O and reads no clock.
package canary

import (
	"errors"
	"maps"
	"math"
	"math/bits"
	"slices"

	"harrierhoist/internal/control/countingrule"
)

// BucketCount is the number of buckets into which the sampled keys are hashed. A trial tests the
// buckets in sequence, each once.
const BucketCount = 256

// minSharedBits is the minimum number of bits that the masks of two rules must share. With fewer,
// there are too few components to sample from.
const minSharedBits = 5

// Errors for two rules that cannot be sampled. Their texts are stored in the table as the reason of
// a refusal and must not change.
var (
	ErrGroupsAndMask = errors.New("one rule's groups are listed and the other's made by a mask: what" +
		" hangs together cannot be told")
	ErrTooFewSharedBits = errors.New("the masks of both rules have fewer than 5 bits in common: too much" +
		" hangs together to sample")
)

// Sample decides which customers are sampled. Customers that share a count under either rule,
// directly or through other customers, form a component. A component is sampled as a whole or not
// at all. A Sample is immutable and safe for concurrent use.
type Sample struct {
	seed          uint64
	hashThreshold uint64            // components with a lower hash are sampled
	mask          uint64            // bits of the customer that identify a component; all ones if no rule has a mask
	parents       map[uint64]uint64 // by customer of a listed group: lowest customer of the component
}

// NewSample returns the sample for two rules, with the given permille of the components. All
// processes that pass the same seed get the same sample. The error is ErrGroupsAndMask or
// ErrTooFewSharedBits if the rules' components cannot be determined or are too few.
func NewSample(oldRule, newRule countingrule.Rule, seed, permille uint64) (*Sample, error) {
	sample := &Sample{
		seed:          seed,
		hashThreshold: math.MaxUint64 / countingrule.PermilleScale * permille,
		mask:          math.MaxUint64,
		parents:       map[uint64]uint64{},
	}
	hasListedGroups := false
	for _, rule := range []countingrule.Rule{oldRule, newRule} {
		if rule.IsPerCustomer() {
			continue
		}
		if rule.Mask != 0 {
			// Customers that differ only in bits outside the common mask are connected through
			// other customers.
			sample.mask &= rule.Mask
			continue
		}
		hasListedGroups = true
		for _, group := range rule.Groups {
			for _, customer := range group.Customers {
				sample.union(group.Customers[0], customer)
			}
		}
	}
	if hasListedGroups && sample.mask != math.MaxUint64 {
		return nil, ErrGroupsAndMask
	}
	if bits.OnesCount64(sample.mask) < minSharedBits {
		return nil, ErrTooFewSharedBits
	}
	for _, customer := range slices.Sorted(maps.Keys(sample.parents)) {
		sample.parents[customer] = sample.find(customer)
	}
	return sample, nil
}

// union merges the components of two customers. The lower root becomes the root of both, so that
// the result does not depend on the order of calls.
func (s *Sample) union(a, b uint64) {
	rootA := s.find(a)
	rootB := s.find(b)
	root := min(rootA, rootB)
	s.parents[max(rootA, rootB)] = root
	s.parents[root] = root
}

// find returns the root of a customer's component.
func (s *Sample) find(customer uint64) uint64 {
	for {
		parent, ok := s.parents[customer]
		if !ok || parent == customer {
			return customer
		}
		customer = parent
	}
}

// ComponentKey returns the identifier of a customer's component. Customers that share a count under
// either rule have the same one.
func (s *Sample) ComponentKey(customer uint64) uint64 {
	if root, ok := s.parents[customer]; ok {
		return root
	}
	return customer & s.mask
}

// Bucket returns the bucket of a customer, from 0 to BucketCount-1, and whether the customer is
// sampled.
func (s *Sample) Bucket(customer uint64) (bucket int, sampled bool) {
	hash := countingrule.Hash(s.seed, s.ComponentKey(customer))
	return int(countingrule.Hash(hash, 1) % BucketCount), hash < s.hashThreshold
}
