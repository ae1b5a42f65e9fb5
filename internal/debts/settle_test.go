package debts

import (
	"maps"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// scene is a log, and the evidence that its leader has: three partners with 1,000 tasks a second each.
type scene struct {
	now, since time.Duration
	sums       map[string]uint64
	state      *tables.State
	index      uint64
	halls      map[string]Hall
	late       map[string]uint64 // a second, by partner
	asked      map[string]uint64
	decider    *Decider
}

func terms() Terms {
	t := Default()
	t.On = true
	for _, name := range []string{"a", "b", "c"} {
		t.Partners = append(t.Partners, Partner{Name: name, Halls: []string{"hall-" + name}, Plans: []string{name}})
	}
	return t
}

func begin(t Terms) *scene {
	s := &scene{now: time.Hour, since: time.Hour, sums: map[string]uint64{}, state: tables.New(), halls: map[string]Hall{},
		late: map[string]uint64{}, asked: map[string]uint64{}}
	s.lead(t)
	return s
}

// lead has another process lead: it has seen nothing, and its clock is another.
func (s *scene) lead(t Terms) {
	s.now += 1000 * time.Hour
	s.since, s.sums = s.now, map[string]uint64{}
	s.decider = New(t, func(cluster.Seen) map[string]Hall { return s.halls })
}

func (s *scene) owes(debtor, creditor string, units uint64) {
	s.index++
	s.state.Apply(s.index, tables.Command{Kind: tables.Raise, Table: Exact, Totals: map[string]uint64{
		evidence.Name("g", "1", Name("x", Pair{debtor, creditor})): units * 1000}})
}

// pass lets seconds pass, each with what the gateways count in it.
func (s *scene) pass(seconds int) {
	for range seconds {
		s.now += time.Second
		for _, p := range []string{"a", "b", "c"} {
			for what, n := range map[What]uint64{Tasks: 1000, Late: s.late[p], Pure: 600_000, Pures: 500, Served: 1_000_000,
				Asked: s.asked[p], Went: s.asked[p] / 4} {
				s.sums[Count(what, p)] += n
			}
		}
		s.decide()
	}
}

func (s *scene) decide() {
	entry := s.state.Table(Table)
	value, write := s.decider.Decide(s.now, cluster.Seen{Sums: maps.Clone(s.sums), Totals: s.state.Totals, Since: s.since,
		Held: s.state.Table})
	if write {
		s.index++
		s.state.Apply(s.index, tables.Command{Kind: tables.Write, Table: Table, Epoch: entry.Epoch, Value: value})
	}
}

func (s *scene) value() Value {
	v, err := Decode(s.state.Table(Table).Value)
	if err != nil {
		panic(err)
	}
	return v
}

// steers gives the shares that stand, in words.
func (s *scene) steers() (all []string) {
	for _, x := range s.value().Shares {
		all = append(all, x.Creditor+" to "+x.Debtor)
	}
	return all
}

func TestWhoIsSteered(t *testing.T) {
	no := false
	stories := []struct {
		name string
		do   func(*scene, *Terms)
		want []string
	}{
		{"debtors serve their creditors' tasks", func(s *scene, _ *Terms) { s.owes("a", "b", 900); s.owes("c", "b", 500) },
			[]string{"b to a", "b to c"}},
		{"what is owed both ways nets out", func(s *scene, _ *Terms) { s.owes("a", "b", 900); s.owes("b", "a", 899) }, nil},
		{"a small debt is left alone", func(s *scene, _ *Terms) { s.owes("a", "b", 4) }, nil},
		{"a partner that has left is not steered to", func(s *scene, _ *Terms) { s.owes("gone", "b", 900) }, nil},
		{"a rule says that a pair does not settle", func(s *scene, t *Terms) {
			s.owes("a", "b", 900)
			t.Rules = []Rule{{Between: []string{"b", "a"}, Settle: &no}}
		}, nil},
		{"failover needs the debtor's hall", func(s *scene, _ *Terms) {
			s.owes("a", "b", 900)
			s.halls["hall-a"] = Hall{Out: true}
		}, nil},
		{"the creditor's hall is nearly full", func(s *scene, _ *Terms) {
			s.owes("a", "b", 900)
			s.halls["hall-b"] = Hall{Left: 0.1}
		}, nil},
		{"a debtor that is served badly as it is", func(s *scene, _ *Terms) {
			s.owes("a", "b", 900)
			s.late["a"] = 200
		}, nil},
		{"off", func(s *scene, t *Terms) { s.owes("a", "b", 900); t.On = false }, nil},
	}
	for _, c := range stories {
		rules := terms()
		s := begin(rules)
		c.do(s, &rules)
		s.decider.terms = rules
		s.pass(40)
		if got := s.steers(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A partner that fares worse by more than the stated part while debts are settled: all is steered back within seconds.
// One whose servers hardly have room is taken less from.
func TestSteeredBackWhenAPartnerIsWorseOff(t *testing.T) {
	s := begin(terms())
	s.owes("a", "b", 50_000)
	s.pass(60)
	before := s.value()
	if before.share(Pair{"a", "b"}) == 0 || before.standing("a").Pace != Whole {
		t.Fatalf("not settling: %+v", before)
	}
	s.halls["hall-b"] = Hall{Out: true}
	s.pass(2)
	if len(s.value().Shares) > 0 {
		t.Error("goes on while failover needs a hall")
	}
	clear(s.halls)
	s.pass(60)
	s.late["a"] = 30 // of 1,000: six times what may be
	s.pass(25)
	if v := s.value(); len(v.Shares) > 0 || v.standing("a").Hold <= v.Clock {
		t.Errorf("still steers: %+v", v)
	}
	s.late["a"] = 0
	s.pass(150)
	if s.value().share(Pair{"a", "b"}) == 0 {
		t.Errorf("does not settle any more: %+v", s.value())
	}
	pace := s.value().standing("a").Pace
	s.asked["a"] = 100 // of which a quarter finds room
	s.pass(15)
	if v := s.value(); v.standing("a").Pace >= pace/2 {
		t.Errorf("goes on at pace %d", v.standing("a").Pace)
	}
}

// A leader is lost in mid-settlement, and with it all that it saw: the next keeps the shares that stand, and the debts;
// and a leader whose file has no debts ends what stands.
func TestNewLeaderGoesOnFromTheLog(t *testing.T) {
	s := begin(terms())
	s.owes("a", "b", 50_000)
	s.pass(60)
	was := s.value()
	s.lead(terms())
	s.pass(1)
	now, p := s.value(), Pair{"a", "b"}
	if now.share(p) != was.share(p) || now.Clock < was.Clock || now.Clock > was.Clock+70_000 {
		t.Errorf("%+v, then %+v", was, now)
	}
	s.pass(30)
	if s.value().share(Pair{"a", "b"}) == 0 {
		t.Error("does not settle any more")
	}
	off := terms()
	off.On = false
	s.lead(off)
	s.pass(2)
	if len(s.value().Shares) > 0 {
		t.Error("shares stand that nobody decides")
	}
}

// It rests now and then, and sees anew how all fare without.
func TestSettlementRests(t *testing.T) {
	s := begin(terms())
	s.owes("a", "b", 5_000_000)
	rests := 0
	for range 700 {
		s.pass(1)
		if v := s.value(); v.Began > 0 && len(v.Shares) == 0 {
			rests++
		}
	}
	if rests < 10 || rests > 60 {
		t.Errorf("rested %d s in 700", rests)
	}
}

func TestHallsThatFailoverNeedsAreLeftAlone(t *testing.T) {
	got := HallsOf(map[string]map[string]int{"a": {"a": 500, "b": 500}, "b": {"b": 1000}, "c": {"c": 1000, "a": 0},
		"d": {"d": 1000}},
		map[string]int{"c": 1000, "d": 400})
	if !got["a"].Out || !got["b"].Out || got["c"].Out || !got["d"].Out {
		t.Errorf("%+v", got)
	}
}
