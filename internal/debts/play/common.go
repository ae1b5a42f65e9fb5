package play

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/debts/till"
)

// The planted bugs.
const (
	LostWithLeader = "debt lost with a leader"   // what is owed is read from the leader's memory
	SettledTwice   = "settlement applied twice"  // what shares moved is struck off too, though the totals have it
	LateTwice      = "late digest counted twice" // each digest adds
)

// memory is a disk that is written at once.
type memory struct {
	life string
	kept []till.Kept
}

func (m *memory) Write(life string, kept []till.Kept) error {
	m.life, m.kept = life, slices.Clone(kept)
	return nil
}

func (m *memory) Life() (string, []till.Kept) { return m.life, m.kept }

// digest has a gateway tell what it counted, and hear what all hold in common.
func (t *table) digest(g *gateway) {
	d := t.told(g)
	delays := []time.Duration{2 * time.Millisecond}
	if t.Faults {
		switch lot := t.chance.Float64(); {
		case lot < 0.1:
			delays = nil
		case lot < 0.2:
			delays = append(delays, time.Duration(t.chance.IntN(4000))*time.Millisecond)
		case lot < 0.3:
			delays[0] = time.Duration(t.chance.IntN(4000)) * time.Millisecond
		}
	}
	for _, late := range delays {
		t.at(t.now+late, func() { t.hear(d) })
	}
	v, err := debts.Decode(t.state.Table(debts.Table).Value)
	if err != nil {
		t.wrong("a table that cannot be read")
	}
	if t.now >= t.away { // a majority confirms the read
		g.till.Take(v, t.now+leaseFor)
	}
}

func (t *table) told(g *gateway) evidence.Digest {
	g.serial++
	d := evidence.Digest{Process: g.name, Incarnation: g.incarnation, Serial: g.serial, Session: uint64(t.since),
		Counts: map[string]uint64{}, Exact: map[string]uint64{}}
	g.till.Counts(func(name string, n uint64) { d.Counts[name] = n })
	g.till.ExactCounts(func(name string, n uint64) { d.Exact[name] = n })
	return d
}

func (t *table) hear(d evidence.Digest) {
	if t.now < t.away {
		return // nobody leads: the message is lost
	}
	t.book.Take(d)
	if t.Planted == LateTwice {
		for name, n := range d.Exact { // adds what is more than the last one heard, which a late one resets
			key := evidence.Name(d.Process, fmt.Sprint(d.Incarnation), name)
			if last := t.heard["last"+key]; n > last {
				t.heard[key] += n - last
			}
			t.heard["last"+key] = n
		}
	}
}

// exact are the counts in the form of the log's totals.
func exact(b *evidence.Book) map[string]uint64 {
	all := map[string]uint64{}
	for _, d := range b.Exact() {
		for name, n := range d.Exact {
			all[evidence.Name(d.Process, fmt.Sprint(d.Incarnation), name)] = n
		}
	}
	return all
}

// lead begins a leader's time: its book and its decider know nothing.
func (t *table) lead() {
	t.book, t.since = evidence.NewBook(), max(t.now, 1)
	t.decider = debts.New(t.Terms, func(cluster.Seen) map[string]debts.Hall {
		return map[string]debts.Hall{t.site.Halls[0]: {Out: t.now >= t.Calm && t.now < t.Calm+t.Out+5*time.Second, Left: -1}}
	})
}

func (t *table) commit() {
	if t.now < t.away {
		return
	}
	t.index++
	t.state.Apply(t.index, tables.Command{Kind: tables.Raise, Table: debts.Exact, Totals: exact(t.book)})
}

func (t *table) totals(table string) map[string]uint64 {
	switch {
	case t.Planted == LostWithLeader:
		return exact(t.book)
	case t.Planted == LateTwice:
		all := maps.Clone(t.heard)
		maps.DeleteFunc(all, func(name string, _ uint64) bool { return strings.HasPrefix(name, "last") })
		return all
	}
	return t.state.Totals(table)
}

func (t *table) decide() {
	if t.now < t.away || t.now >= t.end() {
		return
	}
	entry := t.state.Table(debts.Table)
	held := entry
	value, write := t.decider.Decide(t.now, cluster.Seen{Sums: t.book.Sums(), Totals: t.totals, Since: t.since,
		Held: func(string) tables.Entry { return held }})
	if !write || t.Faults && t.chance.Float64() < 0.1 { // lost against another write, or with the leader
		return
	}
	if t.Planted == SettledTwice {
		value = t.strike(entry, value)
	}
	t.index++
	t.state.Apply(t.index, tables.Command{Kind: tables.Write, Table: debts.Table, Epoch: entry.Epoch, Value: value})
}

// strike is the planted bug: what the shares that stood have moved since is taken off the debts.
func (t *table) strike(entry tables.Entry, value []byte) []byte {
	was, _ := debts.Decode(entry.Value)
	next, _ := debts.Decode(value)
	for _, s := range was.Shares {
		moved := float64(s.Part) / debts.Whole * t.Rate * t.Pure * meanUnits * float64(next.Clock-was.Clock)
		i := slices.IndexFunc(next.Forgiven, func(a debts.Amount) bool { return a.Pair == s.Pair })
		if i < 0 {
			i = len(next.Forgiven)
			next.Forgiven = append(next.Forgiven, debts.Amount{Pair: s.Pair})
		}
		next.Forgiven[i].Sum += uint64(moved)
	}
	b, _ := next.Encode()
	return b
}

// faults draws when leaders are lost and processes die.
func (t *table) faults() {
	for at := 5 * time.Second; t.Faults && at < t.end(); at += time.Duration(5+t.chance.IntN(25)) * time.Second {
		t.at(at, func() { t.away = t.now + leaderLost })
		t.at(at+leaderLost, t.lead)
	}
	for at := 5 * time.Second; t.Deaths && at < t.end(); at += time.Duration(5+t.chance.IntN(20)) * time.Second {
		t.at(at, func() {
			t.deaths++
			t.start(t.gateways[t.chance.IntN(len(t.gateways))])
		})
	}
}

// look checks each second what must always hold.
func (t *table) look() {
	v, _ := debts.Decode(t.state.Table(debts.Table).Value)
	has := debts.Read(t.totals(debts.Exact))
	nets := has.Nets(v.Forgiven)
	for p, owed := range t.had {
		if has[p] < owed {
			t.wrong("%v: %d owed, and %d a second before", p, has[p], owed)
		}
	}
	t.had = has
	sum, open := int64(0), uint64(0)
	for _, b := range debts.Balances(nets) {
		sum += b
	}
	for _, n := range nets {
		open += n.Sum
	}
	if sum != 0 {
		t.wrong("balances sum to %d", sum)
	}
	t.result.Peak, t.result.Open = max(t.result.Peak, open), open
	if after := t.now - t.Calm - t.Out; after > 5*time.Second && t.result.Settled < 0 && open*20 <= t.result.Peak {
		t.result.Settled = after
	}
	t.result.Moved += t.moved
	t.result.MovedMost = max(t.result.MovedMost, t.moved)
	t.moved = 0
}

// finish compares the ledger with what truly ran, once all that was counted has been told.
func (t *table) finish() {
	for _, g := range t.gateways {
		t.hear(t.told(g))
	}
	t.away = 0
	t.commit()
	t.look()
	v, _ := debts.Decode(t.state.Table(debts.Table).Value)
	has := debts.Read(t.totals(debts.Exact))
	for p, owed := range t.truth {
		switch told := has[p]; {
		case told > owed:
			t.wrong("%v: %d owed, %d in the ledger", p, owed, told)
		default:
			t.result.Lost += owed - told
		}
	}
	// A process that dies without a disk loses what it counted since its latest digest that came, and what is out.
	each := t.Rate / float64(t.Gateways) * meanUnits * 1000 * lostOver.Seconds()
	if most := float64(t.deaths) * each; t.Disks && t.result.Lost > 0 || float64(t.result.Lost) > most {
		t.wrong("%d lost in %d deaths", t.result.Lost, t.deaths)
	}
	truth := debts.Ledger(t.truth).Nets(nil)
	if shown := has.Nets(v.Forgiven); t.Terms.ForgiveAfter == 0 && t.result.Lost == 0 && !slices.Equal(truth, shown) {
		t.wrong("open: %v, truly %v", shown, truth)
	}
	for of := range t.Partners {
		t.result.InTime = append(t.result.InTime, float64(t.tries[1][of])/float64(max(t.tries[0][of], 1)))
	}
}

func (t *table) wrong(format string, a ...any) {
	t.result.Wrong = append(t.result.Wrong, fmt.Sprintf(format, a...))
}
