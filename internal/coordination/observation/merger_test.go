package observation

import (
	"maps"
	"math/rand/v2"
	"testing"
)

func newDigest(serial, n uint64) Digest {
	return Digest{
		Process:     "g1",
		Incarnation: 7,
		Serial:      serial,
		Counts:      map[string]uint64{"attempts": n},
		Exact:       map[string]uint64{"owed": n},
	}
}

// Messages between processes are lost, duplicated, late and out of order: the sum is what was
// counted between the first digest that arrives and the last.
func TestMerger_lostDuplicateAndLateDigestsChangeNothing(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var sent []Digest
		for i := range uint64(20) {
			sent = append(sent, newDigest(i+2, 100+10*i))
		}
		rng.Shuffle(len(sent), func(i, k int) { sent[i], sent[k] = sent[k], sent[i] })
		sent = append(sent[:rng.IntN(len(sent))], sent[:rng.IntN(len(sent))]...) // some lost, some duplicated
		merger := NewMerger()
		merger.Add(newDigest(1, 40))
		for _, digest := range sent {
			merger.Add(digest)
		}
		merger.Add(newDigest(99, 500))
		if got := merger.Sums()["attempts"]; got != 460 {
			t.Fatalf("seed %d: %d attempts, not 460", seed, got)
		}
		if exact := merger.ExactCounts(); len(exact) != 1 || exact[0].Exact["owed"] != 500 {
			t.Fatalf("seed %d: exact counts %v", seed, exact)
		}
	}
}

// A process that crashed and restarted counts from 0; digests of its earlier incarnation that still
// arrive are ignored.
func TestMerger_earlierIncarnationIsIgnored(t *testing.T) {
	merger := NewMerger()
	merger.Add(newDigest(1, 100))
	merger.Add(newDigest(2, 130))
	again := newDigest(1, 5)
	again.Incarnation = 8
	if !merger.Add(again) || merger.Add(newDigest(3, 900)) {
		t.Error("the later incarnation does not take precedence")
	}
	again.Serial = 2
	again.Counts = map[string]uint64{"attempts": 9}
	merger.Add(again)
	if want := map[string]uint64{"attempts": 34}; !maps.Equal(merger.Sums(), want) {
		t.Errorf("sums %v, want %v", merger.Sums(), want)
	}
}

// A process that switches to another voter and back is counted twice at neither of them: what it
// counted in between is lost.
func TestMerger_processThatSwitchesVoterCountsOnce(t *testing.T) {
	one := NewMerger()
	other := NewMerger()
	for i, to := range []*Merger{one, one, other, other, one, one} {
		digest := newDigest(uint64(i+1), 10*uint64(i))
		digest.Session = uint64(i / 2)
		to.Add(digest)
	}
	if a, b := one.Sums()["attempts"], other.Sums()["attempts"]; a != 20 || b != 10 {
		t.Errorf("%d and %d attempts, not 20 and 10", a, b)
	}
	if exact := one.ExactCounts(); exact[0].Exact["owed"] != 50 {
		t.Errorf("exact counts %v", exact)
	}
}

func TestSplitName_returnsTheJoinedParts(t *testing.T) {
	if parts := SplitName(JoinName("attempt", "zone-a/1", "")); len(parts) != 3 || parts[1] != "zone-a/1" {
		t.Errorf("got %q", parts)
	}
}

// A process restarts before the log has the exact counts of its earlier incarnation, and that
// incarnation's last digest arrives later still: exact counts of every incarnation count.
func TestMerger_exactCountsOfAnEarlierIncarnationAreRetained(t *testing.T) {
	merger := NewMerger()
	merger.Add(newDigest(1, 100))
	again := newDigest(1, 5)
	again.Incarnation = 8
	merger.Add(again)
	if exact := merger.ExactCounts(); len(exact) != 2 || exact[0].Exact["owed"] != 100 {
		t.Errorf("exact counts %+v", exact)
	}
	merger.Add(newDigest(3, 130)) // late, of the earlier incarnation
	merger.Add(newDigest(2, 120)) // later still
	exact := merger.ExactCounts()
	if len(exact) != 2 || exact[0].Incarnation != 7 || exact[0].Exact["owed"] != 130 || exact[1].Exact["owed"] != 5 {
		t.Errorf("exact counts %+v", exact)
	}
	if merger.Sums()["attempts"] != 0 {
		t.Errorf("sums %v", merger.Sums())
	}
}
