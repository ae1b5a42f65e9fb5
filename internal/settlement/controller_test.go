package settlement

import (
	"maps"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// controllerFixture is a log, and the evidence that its leader has: three partners with 1,000 tasks a second each.
type controllerFixture struct {
	now, since time.Duration
	counts     map[string]uint64
	state      *statemachine.State
	index      uint64
	zoneStatus map[string]ZoneStatus
	late       map[string]uint64 // a second, by partner
	elective   map[string]uint64
	controller *Controller
}

func testTerms() Terms {
	terms := DefaultTerms()
	terms.On = true
	for _, name := range []string{"a", "b", "c"} {
		terms.Partners = append(terms.Partners, Partner{Name: name, Zones: []string{"hall-" + name}, Plans: []string{name}})
	}
	return terms
}

func newControllerFixture(terms Terms) *controllerFixture {
	f := &controllerFixture{now: time.Hour, since: time.Hour, counts: map[string]uint64{}, state: statemachine.New(), zoneStatus: map[string]ZoneStatus{},
		late: map[string]uint64{}, elective: map[string]uint64{}}
	f.changeLeader(terms)
	return f
}

// changeLeader has another process lead: it has seen nothing, and its clock is another.
func (f *controllerFixture) changeLeader(terms Terms) {
	f.now += 1000 * time.Hour
	f.since, f.counts = f.now, map[string]uint64{}
	f.controller = NewController(terms, func(coordination.ControllerInput) map[string]ZoneStatus { return f.zoneStatus })
}

func (f *controllerFixture) addDebt(debtor, creditor string, units uint64) {
	f.index++
	f.state.Apply(f.index, statemachine.Command{Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: map[string]uint64{
		observation.JoinName("g", "1", DebtCountName("x", Pair{debtor, creditor})): units * 1000}})
}

// advance lets seconds pass, each with what the gateways count in it.
func (f *controllerFixture) advance(seconds int) {
	for range seconds {
		f.now += time.Second
		for _, p := range []string{"a", "b", "c"} {
			for metric, n := range map[Metric]uint64{MetricRequests: 1000, MetricLate: f.late[p], MetricIdempotentUnits: 600_000, MetricIdempotentRequests: 500, MetricServedUnits: 1_000_000,
				MetricElective: f.elective[p], MetricElectivePlaced: f.elective[p] / 4} {
				f.counts[MetricName(metric, p)] += n
			}
		}
		f.decide()
	}
}

func (f *controllerFixture) decide() {
	entry := f.state.Table(TableName)
	value, write := f.controller.Decide(f.now, coordination.ControllerInput{Sums: maps.Clone(f.counts), Totals: f.state.Totals, LeadingSince: f.since,
		Table: f.state.Table})
	if write {
		f.index++
		f.state.Apply(f.index, statemachine.Command{Kind: statemachine.Write, Table: TableName, Epoch: entry.Epoch, Value: value})
	}
}

func (f *controllerFixture) storedState() State {
	state, err := DecodeState(f.state.Table(TableName).Value)
	if err != nil {
		panic(err)
	}
	return state
}

// shareNames gives the shares that stand, in words.
func (f *controllerFixture) shareNames() (all []string) {
	for _, x := range f.storedState().Shares {
		all = append(all, x.Creditor+" to "+x.Debtor)
	}
	return all
}

func TestController_choosesPairsToSettle(t *testing.T) {
	no := false
	stories := []struct {
		name string
		do   func(*controllerFixture, *Terms)
		want []string
	}{
		{"debtors serve their creditors' tasks", func(f *controllerFixture, _ *Terms) { f.addDebt("a", "b", 900); f.addDebt("c", "b", 500) },
			[]string{"b to a", "b to c"}},
		{"what is owed both ways nets out", func(f *controllerFixture, _ *Terms) { f.addDebt("a", "b", 900); f.addDebt("b", "a", 899) }, nil},
		{"a small debt is left alone", func(f *controllerFixture, _ *Terms) { f.addDebt("a", "b", 4) }, nil},
		{"a partner that has left is not steered to", func(f *controllerFixture, _ *Terms) { f.addDebt("gone", "b", 900) }, nil},
		{"a rule says that a pair does not settle", func(f *controllerFixture, t *Terms) {
			f.addDebt("a", "b", 900)
			t.Rules = []PairRule{{Between: []string{"b", "a"}, Settle: &no}}
		}, nil},
		{"failover needs the debtor's hall", func(f *controllerFixture, _ *Terms) {
			f.addDebt("a", "b", 900)
			f.zoneStatus["hall-a"] = ZoneStatus{FailingOver: true}
		}, nil},
		{"the creditor's hall is nearly full", func(f *controllerFixture, _ *Terms) {
			f.addDebt("a", "b", 900)
			f.zoneStatus["hall-b"] = ZoneStatus{Headroom: 0.1}
		}, nil},
		{"a debtor that is served badly as it is", func(f *controllerFixture, _ *Terms) {
			f.addDebt("a", "b", 900)
			f.late["a"] = 200
		}, nil},
		{"off", func(f *controllerFixture, t *Terms) { f.addDebt("a", "b", 900); t.On = false }, nil},
	}
	for _, c := range stories {
		terms := testTerms()
		f := newControllerFixture(terms)
		c.do(f, &terms)
		f.controller.terms = terms
		f.advance(40)
		if got := f.shareNames(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A partner that fares worse by more than the stated part while debts are settled: all is steered back within seconds.
// One whose servers hardly have room is taken less from.
func TestController_stopsAndSlowsWhenPartnerIsHarmed(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 50_000)
	f.advance(60)
	before := f.storedState()
	if before.sharePPM(Pair{"a", "b"}) == 0 || before.partnerState("a").Pace != PartsPerMillion {
		t.Fatalf("not settling: %+v", before)
	}
	f.zoneStatus["hall-b"] = ZoneStatus{FailingOver: true}
	f.advance(2)
	if len(f.storedState().Shares) > 0 {
		t.Error("goes on while failover needs a hall")
	}
	clear(f.zoneStatus)
	f.advance(60)
	f.late["a"] = 30 // of 1,000: six times what may be
	f.advance(25)
	if state := f.storedState(); len(state.Shares) > 0 || state.partnerState("a").HoldUntil <= state.Clock {
		t.Errorf("still steers: %+v", state)
	}
	f.late["a"] = 0
	f.advance(150)
	if f.storedState().sharePPM(Pair{"a", "b"}) == 0 {
		t.Errorf("does not settle any more: %+v", f.storedState())
	}
	pace := f.storedState().partnerState("a").Pace
	f.elective["a"] = 100 // of which a quarter finds room
	f.advance(15)
	if state := f.storedState(); state.partnerState("a").Pace >= pace/2 {
		t.Errorf("goes on at pace %d", state.partnerState("a").Pace)
	}
}

// A leader is lost in mid-settlement, and with it all that it saw: the next keeps the shares that stand, and the debts;
// and a leader whose file has no debts ends what stands.
func TestController_newLeaderContinuesFromStoredState(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 50_000)
	f.advance(60)
	current := f.storedState()
	f.changeLeader(testTerms())
	f.advance(1)
	now, pair := f.storedState(), Pair{"a", "b"}
	if now.sharePPM(pair) != current.sharePPM(pair) || now.Clock < current.Clock || now.Clock > current.Clock+70_000 {
		t.Errorf("%+v, then %+v", current, now)
	}
	f.advance(30)
	if f.storedState().sharePPM(Pair{"a", "b"}) == 0 {
		t.Error("does not settle any more")
	}
	off := testTerms()
	off.On = false
	f.changeLeader(off)
	f.advance(2)
	if len(f.storedState().Shares) > 0 {
		t.Error("shares stand that nobody decides")
	}
}

// It rests now and then, and sees anew how all fare without.
func TestController_pausesSettlementPeriodically(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 5_000_000)
	rests := 0
	for range 700 {
		f.advance(1)
		if state := f.storedState(); state.StartedAt > 0 && len(state.Shares) == 0 {
			rests++
		}
	}
	if rests < 10 || rests > 60 {
		t.Errorf("rested %d s in 700", rests)
	}
}

func TestZoneStatusOfPlan_marksZonesThatFailoverUses(t *testing.T) {
	got := ZoneStatusOfPlan(map[string]map[string]int{"a": {"a": 500, "b": 500}, "b": {"b": 1000}, "c": {"c": 1000, "a": 0},
		"d": {"d": 1000}},
		map[string]int{"c": 1000, "d": 400})
	if !got["a"].FailingOver || !got["b"].FailingOver || got["c"].FailingOver || !got["d"].FailingOver {
		t.Errorf("%+v", got)
	}
}
