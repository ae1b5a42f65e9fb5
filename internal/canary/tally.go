package canary

import (
	"strconv"

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/policy"
)

// The names of what a process counts, behind "canary" and the canary's mark. Units and gain are in thousandths.
const (
	asks    = "asked"   // units asked
	oldOnly = "old"     // let in by the old rule alone
	newOnly = "new"     // by the new rule alone
	both    = "both"    // by both
	neither = "neither" // by neither
	beyonds = "beyond"  // let in by the new rule beyond its limit
	blinds  = "blind"   // tasks played without a total
	tasks   = "tasks"
	merged  = "merged" // keys of the new rule in which several of the old came together, as this process saw
	splits  = "split"  // keys of the old rule that fell into several of the new
	called  = "calls"
	real    = "real"  // units of the sample's tasks by the version that they were taken under
	letIn   = "in"    // and how many of them were pushed
	inCell  = "cell"  // by cell
	inLane  = "lane"  // by lane and plan
	gains   = "gain-" // before the four fates: gain in place of units
	keysCap = 20_000  // keys whose merging is followed
)

// Tallies are what one process saw of a canary. They only grow.
type Tallies struct {
	salt      uint64
	mark      string
	Calls     uint64
	counts    map[string]uint64
	cells     [Cells]shares
	from, to  map[uint64]uint64 // the first key met on the other side; 0: several
	lane, way []string          // names by number
	gain      []float64
}

// shares are a cell's units in thousandths.
type shares struct{ asked, old, new, beyond uint64 }

func newTallies(salt uint64) *Tallies {
	return &Tallies{salt: salt, mark: Mark(salt), counts: map[string]uint64{}, from: map[uint64]uint64{},
		to: map[uint64]uint64{}}
}

// named takes the names of lanes and plans by number.
func (t *Tallies) named(site policy.Deployment) {
	t.lane, t.gain, t.way = nil, nil, nil
	for _, l := range site.Lanes {
		t.lane, t.gain = append(t.lane, l.Name), append(t.gain, l.Gain)
	}
	for _, p := range site.Plans {
		t.way = append(t.way, p.Name)
	}
}

// Mark is a canary's mark in the names of its evidence.
func Mark(salt uint64) string { return strconv.FormatUint(salt, 36) }

func thousandths(v float64) uint64 { return uint64(max(v, 0)*1000 + 0.5) }

// done counts a task that both sides have spoken on.
func (t *Tallies) done(cell int, y *try) {
	units, s := thousandths(y.task.Units), &t.cells[cell]
	t.counts[tasks]++
	s.asked += units
	s.beyond += thousandths(y.beyond)
	fate := neither
	switch {
	case y.letIn[0] && y.letIn[1]:
		fate = both
	case y.letIn[0]:
		fate = oldOnly
		s.old += units
	case y.letIn[1]:
		fate = newOnly
		s.new += units
	}
	at := evidence.Name(inLane, t.lane[y.task.Lane], t.way[y.task.Plan])
	t.counts[evidence.Name(at, fate)] += units
	t.counts[evidence.Name(at, gains+fate)] += thousandths(t.gain[y.task.Lane])
	t.counts[fate] += units
	if y.blind {
		t.counts[blinds]++
	}
}

// keys follows which keys came together and which fell apart.
func (t *Tallies) keys(old, next uint64) {
	note := func(seen map[uint64]uint64, of, other uint64, name string) {
		was, ok := seen[of]
		switch {
		case !ok && len(seen) < keysCap:
			seen[of] = other
		case ok && was != 0 && was != other:
			seen[of] = 0
			t.counts[name]++
		}
	}
	note(t.from, next, old, merged)
	note(t.to, old, next, splits)
}

// Real counts a task of the sample as it went: taken under a version, pushed or not.
func (t *Tallies) Real(version uint64, units float64, pushed bool) {
	at := evidence.Name(real, strconv.FormatUint(version, 10))
	t.counts[evidence.Name(at, asks)] += thousandths(units)
	if pushed {
		t.counts[evidence.Name(at, letIn)] += thousandths(units)
	}
}

// Witness gives the counts as evidence.
func (t *Tallies) Witness(add func(name string, n uint64)) {
	for name, n := range t.counts {
		add(evidence.Name("canary", t.mark, name), n)
	}
	add(evidence.Name("canary", t.mark, called), t.Calls)
	for i, s := range t.cells {
		if s.asked == 0 {
			continue
		}
		for name, n := range map[string]uint64{asks: s.asked, oldOnly: s.old, newOnly: s.new, beyonds: s.beyond} {
			if n > 0 {
				add(cellName(t.mark, i, name), n)
			}
		}
	}
}

func cellName(mark string, cell int, what string) string {
	return evidence.Name("canary", mark, inCell, strconv.Itoa(cell), what)
}
