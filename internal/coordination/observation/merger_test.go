package observation

import (
	"maps"
	"math/rand/v2"
	"testing"
)

func newDigest(serial, n uint64) Digest {
	return Digest{Process: "g1", Incarnation: 7, Serial: serial, Counts: map[string]uint64{"pushes": n},
		Exact: map[string]uint64{"owed": n}}
}

// Messages between processes are lost, doubled, late and out of order: whatever comes between the first digest and
// the last, the sum is what was counted between them.
func TestMerger_lostDuplicateAndLateDigestsChangeNothing(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var sent []Digest
		for i := range uint64(20) {
			sent = append(sent, newDigest(i+2, 100+10*i))
		}
		rng.Shuffle(len(sent), func(i, k int) { sent[i], sent[k] = sent[k], sent[i] })
		sent = append(sent[:rng.IntN(len(sent))], sent[:rng.IntN(len(sent))]...) // some lost, some doubled
		m := NewMerger()
		m.Add(newDigest(1, 40))
		for _, digest := range sent {
			m.Add(digest)
		}
		m.Add(newDigest(99, 500))
		if got := m.Sums()["pushes"]; got != 460 {
			t.Fatalf("seed %d: %d pushes, not 460", seed, got)
		}
		if e := m.ExactCounts(); len(e) != 1 || e[0].Exact["owed"] != 500 {
			t.Fatalf("seed %d: exact %v", seed, e)
		}
	}
}

// A process that died and came back begins its counts anew; what an earlier life still sends is late.
func TestMerger_earlierIncarnationIsIgnored(t *testing.T) {
	m := NewMerger()
	m.Add(newDigest(1, 100))
	m.Add(newDigest(2, 130))
	again := newDigest(1, 5)
	again.Incarnation = 8
	if !m.Add(again) || m.Add(newDigest(3, 900)) {
		t.Error("the later life is not the one that counts")
	}
	again.Serial, again.Counts = 2, map[string]uint64{"pushes": 9}
	m.Add(again)
	if want := map[string]uint64{"pushes": 34}; !maps.Equal(m.Sums(), want) {
		t.Errorf("sums %v, want %v", m.Sums(), want)
	}
}

// A process that goes over to another voter and back is counted at neither twice: what it counted on the way is lost.
func TestMerger_processThatSwitchesVoterCountsOnce(t *testing.T) {
	one, other := NewMerger(), NewMerger()
	for i, to := range []*Merger{one, one, other, other, one, one} {
		digest := newDigest(uint64(i+1), 10*uint64(i))
		digest.Session = uint64(i / 2)
		to.Add(digest)
	}
	if a, b := one.Sums()["pushes"], other.Sums()["pushes"]; a != 20 || b != 10 {
		t.Errorf("%d and %d pushes, not 20 and 10", a, b)
	}
	if e := one.ExactCounts(); e[0].Exact["owed"] != 50 {
		t.Errorf("exact %v", e)
	}
}

func TestSplitName_returnsTheJoinedParts(t *testing.T) {
	if p := SplitName(JoinName("push", "hall-a/1", "")); len(p) != 3 || p[1] != "hall-a/1" {
		t.Errorf("got %q", p)
	}
}

// A process died and was back before the log had what its earlier life owed; and that life's last digest came later
// still. Both were dropped: what is exact counts in every life.
func TestMerger_exactCountsOfAnEarlierIncarnationAreKept(t *testing.T) {
	m := NewMerger()
	m.Add(newDigest(1, 100))
	again := newDigest(1, 5)
	again.Incarnation = 8
	m.Add(again)
	if e := m.ExactCounts(); len(e) != 2 || e[0].Exact["owed"] != 100 {
		t.Errorf("exact %+v", e)
	}
	m.Add(newDigest(3, 130)) // late, of the life before
	m.Add(newDigest(2, 120)) // later still
	e := m.ExactCounts()
	if len(e) != 2 || e[0].Incarnation != 7 || e[0].Exact["owed"] != 130 || e[1].Exact["owed"] != 5 {
		t.Errorf("exact %+v", e)
	}
	if m.Sums()["pushes"] != 0 {
		t.Errorf("sums %v", m.Sums())
	}
}
