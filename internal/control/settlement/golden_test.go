package settlement

import (
	"bytes"
	"testing"

	"harrierhoist/internal/testing/golden"
)

// goldenDecisions is the SHA-256 of all values of the table in TestGolden_decisions, as of commit
// 8c168ca.
const goldenDecisions = "fed885dda790ede434d8e45879e52563ffdd3bb74dd0646bc00b671aa216d954"

// goldenState sets every field of the stored table.
var goldenState = State{
	Clock:          123_456_789,
	Shares:         []Share{{Pair{"north", "south"}, 250_000}, {Pair{"west", "south"}, 1}},
	NetDebts:       []Amount{{Pair{"north", "south"}, 1_234_567}, {Pair{"left.long-ago", "west"}, 1 << 40}},
	Lots:           []Lot{{Amount{Pair{"north", "south"}, 1_234_567}, 123_000_000}},
	Forgiven:       []Amount{{Pair{"north", "south"}, 42}},
	ForgivenessLog: []Forgiveness{{Amount{Pair{"north", "south"}, 42}, 7, 3_600_000}},
	Partners: []PartnerState{
		{
			Partner: "north", Pace: 62_500, HoldUntil: 123_486_789,
			BaselineRequests: 1000.5, BaselineLate: 2.25, BaselineSlow: 30.125, MaxPace: 125_000,
		},
		{Partner: "south", Pace: PartsPerMillion},
	},
	StartedAt:   123_400_000,
	PausedUntil: 123_300_000,
}

// A table that the previous version stored decodes, and its state encodes as the same bytes.
func TestGolden_storedState(t *testing.T) {
	for name, want := range map[string]State{"table.cbor": goldenState, "table-empty.cbor": {}} {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.Read(t, name), want, State.Encode, DecodeState)
		})
	}
}

// Names that are sent between processes or stored in the log must not change.
func TestGolden_names(t *testing.T) {
	for want, got := range map[string]string{
		"debts":                             TableName,
		"exact":                             ExactTable,
		"debts\x1ftasks\x1fnorth":           MetricName(MetricRequests, "north"),
		"debts\x1flate\x1fnorth":            MetricName(MetricLate, "north"),
		"debts\x1fslow\x1fnorth":            MetricName(MetricSlow, "north"),
		"debts\x1fpure\x1fnorth":            MetricName(MetricIdempotentUnits, "north"),
		"debts\x1fpures\x1fnorth":           MetricName(MetricIdempotentRequests, "north"),
		"debts\x1fserved\x1fnorth":          MetricName(MetricServedUnits, "north"),
		"debts\x1fasked\x1fnorth":           MetricName(MetricElectiveAttempts, "north"),
		"debts\x1fwent\x1fnorth":            MetricName(MetricElectivePlaced, "north"),
		"owe\x1f1k2j3\x1fnorth\x1fsouth":    DebtCountName("1k2j3", Pair{"north", "south"}),
		"owe\x1f1k2j3+\x1fa.b-c_d\x1fsouth": DebtCountName("1k2j3+", Pair{"a.b-c_d", "south"}),
	} {
		if got != want {
			t.Errorf("name %q, want %q", got, want)
		}
	}
	if MetricCount != 8 {
		t.Errorf("%d metrics, want 8", MetricCount)
	}
	totals := map[string]uint64{
		"g1\x1f3\x1fowe\x1flife\x1fnorth\x1fsouth": 700,
		"g1\x1f4\x1fowe\x1flife\x1fnorth\x1fsouth": 900,
	}
	if got := ReadLedger(totals); len(got) != 1 || got[Pair{"north", "south"}] != 900 {
		t.Errorf("ledger %v, want one entry of 900", got)
	}
}

// Every byte that the controller writes must stay the same over a long scenario with debts, a
// change of leader, late requests, pauses and failover.
func TestGolden_decisions(t *testing.T) {
	terms := testTerms()
	terms.ForgiveAfter = 600
	terms.Partners[1].Weight = 2
	f := newControllerFixture(terms)
	digest := golden.NewDigest()
	advance := func(seconds int) {
		for range seconds {
			f.advance(1)
			stored := f.state.Table(TableName)
			_, _ = digest.Write(append(bytes.Clone(stored.Value), byte(stored.Epoch)))
		}
	}
	f.addDebt("a", "b", 50_000)
	f.addDebt("c", "b", 700)
	f.addDebt("a", "c", 90_000)
	advance(60)
	f.zoneStatus["hall-b"] = ZoneStatus{FailingOver: true}
	advance(5)
	f.zoneStatus["hall-b"] = ZoneStatus{Headroom: 0.1}
	advance(5)
	clear(f.zoneStatus)
	advance(60)
	f.late["a"] = 30
	advance(25)
	f.late["a"] = 0
	f.late["b"] = 4
	advance(150)
	f.elective["a"] = 100
	advance(30)
	f.changeLeader(terms)
	advance(90)
	f.addDebt("b", "a", 49_990)
	advance(700)
	digest.Check(t, goldenDecisions)
	if state := f.storedState(); len(state.ForgivenessLog) == 0 || state.StartedAt == 0 || state.PausedUntil == 0 {
		t.Errorf("the scenario has no forgiveness, settlement or pause: %+v", state)
	}
}
