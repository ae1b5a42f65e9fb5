package evidence

import (
	"maps"
	"math/rand/v2"
	"testing"
)

func digest(serial, n uint64) Digest {
	return Digest{Process: "g1", Incarnation: 7, Serial: serial, Counts: map[string]uint64{"pushes": n},
		Exact: map[string]uint64{"owed": n}}
}

// Messages between processes are lost, doubled, late and out of order: whatever comes between the first digest and
// the last, the sum is what was counted between them.
func TestLostDoubledAndLateDigestsChangeNothing(t *testing.T) {
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 1))
		var sent []Digest
		for i := range uint64(20) {
			sent = append(sent, digest(i+2, 100+10*i))
		}
		chance.Shuffle(len(sent), func(i, k int) { sent[i], sent[k] = sent[k], sent[i] })
		sent = append(sent[:chance.IntN(len(sent))], sent[:chance.IntN(len(sent))]...) // some lost, some doubled
		b := NewBook()
		b.Take(digest(1, 40))
		for _, d := range sent {
			b.Take(d)
		}
		b.Take(digest(99, 500))
		if got := b.Sums()["pushes"]; got != 460 {
			t.Fatalf("seed %d: %d pushes, not 460", seed, got)
		}
		if e := b.Exact(); len(e) != 1 || e[0].Exact["owed"] != 500 {
			t.Fatalf("seed %d: exact %v", seed, e)
		}
	}
}

// A process that died and came back begins its counts anew; what an earlier life still sends is late.
func TestEarlierLifeIsNotHeard(t *testing.T) {
	b := NewBook()
	b.Take(digest(1, 100))
	b.Take(digest(2, 130))
	again := digest(1, 5)
	again.Incarnation = 8
	if !b.Take(again) || b.Take(digest(3, 900)) {
		t.Error("the later life is not the one that counts")
	}
	again.Serial, again.Counts = 2, map[string]uint64{"pushes": 9}
	b.Take(again)
	if want := map[string]uint64{"pushes": 34}; !maps.Equal(b.Sums(), want) {
		t.Errorf("sums %v, want %v", b.Sums(), want)
	}
}

// A process that goes over to another voter and back is counted at neither twice: what it counted on the way is lost.
func TestProcessThatChangesVoterCountsOnce(t *testing.T) {
	one, other := NewBook(), NewBook()
	for i, to := range []*Book{one, one, other, other, one, one} {
		d := digest(uint64(i+1), 10*uint64(i))
		d.Session = uint64(i / 2)
		to.Take(d)
	}
	if a, b := one.Sums()["pushes"], other.Sums()["pushes"]; a != 20 || b != 10 {
		t.Errorf("%d and %d pushes, not 20 and 10", a, b)
	}
	if e := one.Exact(); e[0].Exact["owed"] != 50 {
		t.Errorf("exact %v", e)
	}
}

func TestNameKeepsItsParts(t *testing.T) {
	if p := Parts(Name("push", "hall-a/1", "")); len(p) != 3 || p[1] != "hall-a/1" {
		t.Errorf("got %q", p)
	}
}

// A process died and was back before the log had what its earlier life owed; and that life's last digest came later
// still. Both were dropped: what is exact counts in every life.
func TestWhatIsExactInAnEarlierLifeIsKept(t *testing.T) {
	b := NewBook()
	b.Take(digest(1, 100))
	again := digest(1, 5)
	again.Incarnation = 8
	b.Take(again)
	if e := b.Exact(); len(e) != 2 || e[0].Exact["owed"] != 100 {
		t.Errorf("exact %+v", e)
	}
	b.Take(digest(3, 130)) // late, of the life before
	b.Take(digest(2, 120)) // later still
	e := b.Exact()
	if len(e) != 2 || e[0].Incarnation != 7 || e[0].Exact["owed"] != 130 || e[1].Exact["owed"] != 5 {
		t.Errorf("exact %+v", e)
	}
	if b.Sums()["pushes"] != 0 {
		t.Errorf("sums %v", b.Sums())
	}
}
