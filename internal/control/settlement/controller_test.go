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

// controllerFixture runs a Controller on a replicated state and simulated gateway counters. Each of
// three partners sends 1,000 requests per second.
type controllerFixture struct {
	now, leadingSince time.Duration
	counts            map[string]uint64 // sums of the gateways' counters, by name
	state             *statemachine.State
	index             uint64 // of the latest log entry
	zoneStatus        map[string]ZoneStatus
	late              map[string]uint64 // late requests per second, by partner
	elective          map[string]uint64 // elective attempts per second, by partner; a quarter of them is placed
	controller        *Controller
}

func testTerms() Terms {
	terms := DefaultTerms()
	terms.On = true
	for _, name := range []string{"a", "b", "c"} {
		partner := Partner{Name: name, Zones: []string{"hall-" + name}, Plans: []string{name}}
		terms.Partners = append(terms.Partners, partner)
	}
	return terms
}

func newControllerFixture(terms Terms) *controllerFixture {
	f := &controllerFixture{
		now: time.Hour, leadingSince: time.Hour, counts: map[string]uint64{}, state: statemachine.New(),
		zoneStatus: map[string]ZoneStatus{}, late: map[string]uint64{}, elective: map[string]uint64{},
	}
	f.changeLeader(terms)
	return f
}

// changeLeader replaces the leader by a process that has no observations and another monotonic
// clock.
func (f *controllerFixture) changeLeader(terms Terms) {
	f.now += 1000 * time.Hour
	f.leadingSince = f.now
	f.counts = map[string]uint64{}
	zoneStatus := func(coordination.ControllerInput) map[string]ZoneStatus { return f.zoneStatus }
	f.controller = NewController(terms, zoneStatus)
}

// addDebt raises the total that debtor has ever owed creditor to units.
func (f *controllerFixture) addDebt(debtor, creditor string, units uint64) {
	f.index++
	f.state.Apply(f.index, statemachine.Command{
		Kind: statemachine.RaiseTotals, Table: ExactTable, Totals: map[string]uint64{
			observation.JoinName("g", "1", DebtCountName("x", Pair{debtor, creditor})): units * 1000,
		},
	})
}

// advance simulates a number of seconds. In each, the gateways' counters increase and the
// controller decides once.
func (f *controllerFixture) advance(seconds int) {
	for range seconds {
		f.now += time.Second
		for _, p := range []string{"a", "b", "c"} {
			for metric, n := range map[Metric]uint64{
				MetricRequests: 1000, MetricLate: f.late[p],
				MetricIdempotentUnits: 600_000, MetricIdempotentRequests: 500, MetricServedUnits: 1_000_000,
				MetricElectiveAttempts: f.elective[p], MetricElectivePlaced: f.elective[p] / 4,
			} {
				f.counts[MetricName(metric, p)] += n
			}
		}
		f.decide()
	}
}

// decide calls the controller and applies its write, if any, to the replicated state.
func (f *controllerFixture) decide() {
	entry := f.state.Table(TableName)
	value, write := f.controller.Decide(f.now, coordination.ControllerInput{
		Sums: maps.Clone(f.counts), Totals: f.state.Totals, LeadingSince: f.leadingSince, Table: f.state.Table,
	})
	if write {
		f.index++
		f.state.Apply(f.index,
			statemachine.Command{Kind: statemachine.Write, Table: TableName, Epoch: entry.Epoch, Value: value})
	}
}

func (f *controllerFixture) storedState() State {
	state, err := DecodeState(f.state.Table(TableName).Value)
	if err != nil {
		panic(err)
	}
	return state
}

// shareNames returns the shares in force as "creditor to debtor".
func (f *controllerFixture) shareNames() (names []string) {
	for _, share := range f.storedState().Shares {
		names = append(names, share.Creditor+" to "+share.Debtor)
	}
	return names
}

// pairCases are debts and terms, with the shares that are expected after 40 s in want.
var pairCases = []struct {
	name    string
	arrange func(*controllerFixture, *Terms)
	want    []string
}{
	{"debtors serve their creditors' requests", func(f *controllerFixture, _ *Terms) {
		f.addDebt("a", "b", 900)
		f.addDebt("c", "b", 500)
	}, []string{"b to a", "b to c"}},
	{"debts in both directions net out", func(f *controllerFixture, _ *Terms) {
		f.addDebt("a", "b", 900)
		f.addDebt("b", "a", 899)
	}, nil},
	{"a small debt is not settled", func(f *controllerFixture, _ *Terms) { f.addDebt("a", "b", 4) }, nil},
	{"a partner that is not in the file gets no share", func(f *controllerFixture, _ *Terms) {
		f.addDebt("gone", "b", 900)
	}, nil},
	{"a rule excludes the pair", func(f *controllerFixture, terms *Terms) {
		f.addDebt("a", "b", 900)
		terms.Rules = []PairRule{{PartnerNames: []string{"b", "a"}, Settle: new(bool)}}
	}, nil},
	{"failover needs the debtor's zone", func(f *controllerFixture, _ *Terms) {
		f.addDebt("a", "b", 900)
		f.zoneStatus["hall-a"] = ZoneStatus{FailingOver: true}
	}, nil},
	{"the creditor's zone has little headroom", func(f *controllerFixture, _ *Terms) {
		f.addDebt("a", "b", 900)
		f.zoneStatus["hall-b"] = ZoneStatus{Headroom: 0.1}
	}, nil},
	{"too many of the debtor's requests are late without settlement", func(f *controllerFixture, _ *Terms) {
		f.addDebt("a", "b", 900)
		f.late["a"] = 200
	}, nil},
	{"settlement is off", func(f *controllerFixture, terms *Terms) {
		f.addDebt("a", "b", 900)
		terms.On = false
	}, nil},
}

func TestController_choosesPairsToSettle(t *testing.T) {
	for _, test := range pairCases {
		t.Run(test.name, func(t *testing.T) {
			terms := testTerms()
			f := newControllerFixture(terms)
			test.arrange(f, &terms)
			f.controller.terms = terms
			f.advance(40)
			if got := f.shareNames(); !slices.Equal(got, test.want) {
				t.Errorf("shares %q, want %q", got, test.want)
			}
		})
	}
}

// Settlement of a partner's debts stops within seconds if more of the partner's requests are late
// than the terms allow. It slows down if the partner's servers lack capacity.
func TestController_stopsAndSlowsWhenPartnerIsHarmed(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 50_000)
	f.advance(60)
	before := f.storedState()
	if before.sharePPM(Pair{"a", "b"}) == 0 || before.partnerState("a").Pace != PartsPerMillion {
		t.Fatalf("debt is not settled at full pace: %+v", before)
	}
	f.zoneStatus["hall-b"] = ZoneStatus{FailingOver: true}
	f.advance(2)
	if len(f.storedState().Shares) > 0 {
		t.Error("shares are in force while failover needs a zone")
	}
	clear(f.zoneStatus)
	f.advance(60)
	f.late["a"] = 30 // of 1,000; six times the maximum loss of the terms
	f.advance(25)
	if state := f.storedState(); len(state.Shares) > 0 || state.partnerState("a").HoldUntil <= state.Clock {
		t.Errorf("shares in force or partner not on hold despite the late requests: %+v", state)
	}
	f.late["a"] = 0
	f.advance(150)
	if f.storedState().sharePPM(Pair{"a", "b"}) == 0 {
		t.Errorf("settlement does not resume after the hold: %+v", f.storedState())
	}
	pace := f.storedState().partnerState("a").Pace
	f.elective["a"] = 100 // a quarter of them is placed
	f.advance(15)
	if state := f.storedState(); state.partnerState("a").Pace >= pace/2 {
		t.Errorf("pace %d, want less than half of the previous %d", state.partnerState("a").Pace, pace)
	}
}

// A leader fails during a settlement, and its observations are lost. The next leader keeps the
// shares in force, the debts and the clock of the stored state. A leader whose terms are off ends
// the settlement.
func TestController_newLeaderContinuesFromStoredState(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 50_000)
	f.advance(60)
	before := f.storedState()
	f.changeLeader(testTerms())
	f.advance(1)
	after := f.storedState()
	pair := Pair{"a", "b"}
	if after.sharePPM(pair) != before.sharePPM(pair) {
		t.Errorf("share of %d ppm before the change of leader, %d after", before.sharePPM(pair), after.sharePPM(pair))
	}
	if after.Clock < before.Clock || after.Clock > before.Clock+70_000 {
		t.Errorf("clock out of range: state %+v before the change of leader, %+v after", before, after)
	}
	f.advance(30)
	if f.storedState().sharePPM(pair) == 0 {
		t.Error("new leader ends the settlement")
	}
	off := testTerms()
	off.On = false
	f.changeLeader(off)
	f.advance(2)
	if len(f.storedState().Shares) > 0 {
		t.Error("shares are in force though the terms are off")
	}
}

// A long settlement pauses periodically to measure the baseline again.
func TestController_pausesSettlementPeriodically(t *testing.T) {
	f := newControllerFixture(testTerms())
	f.addDebt("a", "b", 5_000_000)
	paused := 0
	for range 700 {
		f.advance(1)
		if state := f.storedState(); state.StartedAt > 0 && len(state.Shares) == 0 {
			paused++
		}
	}
	if paused < 10 || paused > 60 {
		t.Errorf("paused for %d s of 700, want from 10 to 60", paused)
	}
}
