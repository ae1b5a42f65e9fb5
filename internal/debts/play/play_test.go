package play

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/debts"
)

var measure = flag.Bool("measure", false, "print the tables of docs/debts.md")

// world is three partners with a hall each, of which the first is lost for a minute.
func world(seed uint64) World {
	terms := debts.Default()
	terms.On = true
	for i := range 3 {
		from := uint64(i+1) << 16
		terms.Partners = append(terms.Partners, debts.Partner{Name: string(rune('a' + i)),
			Halls: []string{fmt.Sprintf("hall-%d", i)}, Customers: []string{fmt.Sprintf("%016x-%016x", from, from+0xffff)}})
	}
	return World{Seed: seed, Terms: terms, Partners: 3, Gateways: 2, Rate: 100, Pure: 0.6, Servers: 9,
		Calm: 30 * time.Second, Out: 60 * time.Second, After: 240 * time.Second, Settle: true}
}

// A hall is lost for a minute; after it what its partner owes is settled, and nobody is served worse for it.
func TestDebtsOfAMinuteAreSettled(t *testing.T) {
	for seed := range uint64(2) {
		w := world(seed)
		with := Play(w)
		w.Settle = false
		without := Play(w)
		if with.Settled < 0 || with.Settled > 200*time.Second || len(with.Wrong) > 0 || without.Settled >= 0 {
			t.Errorf("seed %d: with %+v, without %+v", seed, with, without)
		}
		if with.MovedMost > int(w.Terms.MovedMost) {
			t.Errorf("seed %d: %d moved in a second", seed, with.MovedMost)
		}
		for i := range with.InTime {
			if with.InTime[i] < without.InTime[i]-w.Terms.LossMost {
				t.Errorf("seed %d, partner %d: %.4f in time, %.4f without", seed, i, with.InTime[i], without.InTime[i])
			}
		}
	}
}

// The debtor's hall comes back with room for hardly more than its own tasks: what it can't lend is not taken.
func TestDebtorWithoutRoomIsNotPushedOver(t *testing.T) {
	for seed := range uint64(2) {
		w := world(seed)
		w.Weak, w.After = 5, 180*time.Second
		with := Play(w)
		w.Settle = false
		if without := Play(w); with.InTime[0] < without.InTime[0]-w.Terms.LossMost || with.Moved == 0 {
			t.Errorf("seed %d: %.4f in time, %.4f without; %d moved", seed, with.InTime[0], without.InTime[0], with.Moved)
		}
	}
}

// Gateways that don't see the queues push to a debtor's hall at 80 %: the decider alone bounds what partners lose.
// Without its hold and its bound on the pace, one in fourteen of the debtor's tasks was late over ten minutes.
func TestDeciderAloneKeepsTheLossSmall(t *testing.T) {
	for seed := range uint64(3) {
		w := world(seed)
		w.Weak, w.Blind, w.After = 5, true, 600*time.Second
		if r := Play(w); r.InTime[0] < 0.985 || r.InTime[1] < 0.995 || r.InTime[2] < 0.995 || r.Moved < 1000 {
			t.Errorf("seed %d: in time %.4f, %d moved", seed, r.InTime, r.Moved)
		}
	}
}

// Digests lost, doubled and late, leaders lost in mid-settlement, gateways that die: the ledger is the truth all the
// same, and balances sum to zero.
func TestFaultsLeaveTheLedgerTrue(t *testing.T) {
	for seed := range uint64(6) {
		w := world(seed)
		w.Faults, w.Deaths, w.Disks, w.After = true, true, seed%2 == 0, 200*time.Second
		if r := Play(w); len(r.Wrong) > 0 || r.Settled < 0 {
			t.Errorf("seed %d: %+v", seed, r)
		}
	}
}

// Each planted bug must be found, by what the faults above check.
func TestPlantedBugsAreFound(t *testing.T) {
	for _, bug := range []string{LostWithLeader, SettledTwice, LateTwice} {
		found := false
		for seed := uint64(0); seed < 10 && !found; seed++ {
			w := world(seed)
			w.Planted, w.Faults, w.Deaths, w.Disks, w.After = bug, true, true, seed%2 == 0, 120*time.Second
			if r := Play(w); len(r.Wrong) > 0 {
				found = true
				t.Logf("%s: run %d: %s", bug, seed+1, r.Wrong[0])
			}
		}
		if !found {
			t.Errorf("%s is not found in 10 runs", bug)
		}
	}
}

// The same seed plays the same, or no failing one could be looked into.
func TestASeedPlaysTheSame(t *testing.T) {
	w := world(7)
	w.Faults, w.Deaths, w.After = true, true, 60*time.Second
	if a, b := fmt.Sprint(Play(w)), fmt.Sprint(Play(w)); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// The tables of docs/debts.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("with -measure")
	}
	for _, c := range []struct {
		name          string
		share, lend   float64
		servers, weak int
		blind         bool
	}{
		{"careful", 0.25, 0.2, 9, 0, false}, {"as it is", 0.5, 0.3, 9, 0, false}, {"eager", 0.9, 1, 9, 0, false},
		{"as it is, 67 %", 0.5, 0.3, 6, 0, false}, {"as it is, 80 %", 0.5, 0.3, 5, 0, false},
		{"debtor at 80 %", 0.5, 0.3, 9, 5, false}, {"blind", 0.5, 0.3, 9, 0, true},
		{"blind, debtor at 67 %", 0.5, 0.3, 9, 6, true},
		{"blind, debtor at 80 %", 0.5, 0.3, 9, 5, true}, {"blind, 80 %", 0.5, 0.3, 5, 0, true},
	} {
		var settled time.Duration
		never, moved, most, lost := 0, 0, 0, 0.0
		const seeds = 5
		for seed := range uint64(seeds) {
			w := world(seed)
			w.Blind = c.blind
			w.After, w.Servers, w.Weak, w.Terms.ShareMost, w.Terms.LendMost = 900*time.Second, c.servers, c.weak, c.share, c.lend
			with := Play(w)
			w.Settle = false
			without := Play(w)
			if with.Settled < 0 {
				never++
			} else {
				settled += with.Settled
			}
			moved, most = moved+with.Moved, max(most, with.MovedMost)
			for i := range with.InTime {
				lost = max(lost, without.InTime[i]-with.InTime[i])
			}
			if len(with.Wrong) > 0 {
				t.Errorf("%s, seed %d: %v", c.name, seed, with.Wrong)
			}
		}
		t.Logf("%-22s settled after %v, never %d of %d, moved %d (most %d/s), in time lost at most %.4f", c.name,
			(settled / time.Duration(max(seeds-never, 1))).Round(time.Second), never, seeds, moved/seeds, most, lost)
	}
}

// The same with more gateways, each with less: one seed.
func TestMeasureGateways(t *testing.T) {
	if !*measure {
		t.Skip("with -measure")
	}
	for _, gateways := range []int{10, 100, 333} {
		w := world(1)
		w.Gateways = gateways
		r := Play(w)
		t.Logf("%d gateways: settled after %v, moved %d (most %d/s), in time %.4f, wrong %v", 3*gateways, r.Settled, r.Moved,
			r.MovedMost, r.InTime, r.Wrong)
	}
}
