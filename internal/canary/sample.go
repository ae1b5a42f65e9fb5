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

	"harrierhoist/internal/counting"
)

// Cells are the parts that the sampled keys fall into by hash; each is looked at once, one after the other. A bound of
// 2% needs about 210 of them where nothing is out of order (docs/counting-rules.md).
const Cells = 256

// Sample says which customers are played. A customer is in or out together with all that share a count with it under
// either rule.
type Sample struct {
	seed, most uint64
	mask       uint64            // of the customer's number; all ones: by whole customers
	roots      map[uint64]uint64 // of customers in listed groups: the least customer that they hang together with
}

// NewSample makes the sample of two rules, of a share in thousandths. All processes with the same seed make the same.
// An error tells that too much hangs together to take a part of it.
func NewSample(old, next counting.Rule, seed, thousandths uint64) (*Sample, error) {
	s := &Sample{seed: seed, most: math.MaxUint64 / 1000 * thousandths, mask: math.MaxUint64, roots: map[uint64]uint64{}}
	listed := false
	for _, r := range []counting.Rule{old, next} {
		if r.Version == 0 || slices.Contains(r.Key, "customer") {
			continue // each of its counts is one customer's
		}
		if r.Mask != 0 {
			s.mask &= r.Mask // customers that differ only outside of either mask hang together through others
			continue
		}
		listed = true
		for _, g := range r.Groups {
			for _, c := range g.Customers {
				s.join(g.Customers[0], c)
			}
		}
	}
	if listed && s.mask != math.MaxUint64 {
		return nil, errors.New("one rule's groups are listed and the other's made by a mask: what" +
			" hangs together cannot be told")
	}
	if bits.OnesCount64(s.mask) < 5 {
		return nil, errors.New("the masks of both rules have fewer than 5 bits in common: too much hangs together to sample")
	}
	for _, c := range slices.Sorted(maps.Keys(s.roots)) {
		s.roots[c] = s.root(c)
	}
	return s, nil
}

// join and root are union and find: of two roots the lesser is kept, so that the order does not matter.
func (s *Sample) join(a, b uint64) {
	a, b = s.root(a), s.root(b)
	s.roots[max(a, b)] = min(a, b)
	s.roots[min(a, b)] = min(a, b)
}

func (s *Sample) root(c uint64) uint64 {
	for {
		up, ok := s.roots[c]
		if !ok || up == c {
			return c
		}
		c = up
	}
}

// Key is what a customer hangs together with: two customers that share a count under either rule have the same.
func (s *Sample) Key(customer uint64) uint64 {
	if r, ok := s.roots[customer]; ok {
		return r
	}
	return customer & s.mask
}

// Cell gives a customer's cell, and whether it is played at all.
func (s *Sample) Cell(customer uint64) (cell int, in bool) {
	h := counting.Mix(s.seed, s.Key(customer))
	return int(counting.Mix(h, 1) % Cells), h < s.most
}
