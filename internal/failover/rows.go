package failover

import (
	"math"
	"slices"
	"strings"

	"harrierhoist/internal/witness"
)

// must tells that a hall's tasks flee from somewhere: this needs no rest.
func (s *situation) must(f int) bool { return slices.Contains(s.bad[f], true) }

// may tells that a hall's tasks may move for any reason. Those of a hall whose gateways tell nothing stay: nobody knows
// what they do.
func (s *situation) may(f int) bool {
	return s.view.settled(f) && s.view.heard[f] && s.rest[f] <= s.now
}

// lay gives the rows of the next plan, what they shed and which of them moved. A row that it is not worth to move stays;
// then the others are laid out anew around it.
func (s *situation) lay() (rows [][]int, shed []int, moved []bool) {
	n := len(s.halls)
	moved, shed = make([]bool, n), make([]int, n)
	rows = make([][]int, n)
	for f, hall := range s.halls {
		moved[f] = s.must(f) || s.may(f)
		rows[f], shed[f] = s.cur[f], s.plan.Shed[hall]
	}
	for again := true; again; {
		again = false
		k := s.task(moved)
		out, left := k.lay()
		for f := range n {
			if !moved[f] {
				continue
			}
			row, over := thousandths(out[f], left[f], f)
			others := k.loads[f] - out[f][f]
			if s.bears[f] > 0 && !s.shut[f][f] && k.loads[f] >= k.most*k.bears[f]*(1-rounding) && others < tinyDemand {
				over = s.full(f, row[f]) // the hall is full, no more, and of its own tasks alone: the module sheds
			}
			if s.worth(f, row, over) {
				rows[f], shed[f] = row, over
				continue
			}
			moved[f], again = false, true
			rows[f], shed[f] = s.cur[f], s.plan.Shed[s.halls[f]]
		}
	}
	return rows, shed, moved
}

// full is what of a full hall's share of its own tasks is rejected at once all the same: what comes back by more than a
// step.
func (s *situation) full(f, share int) int {
	return max(share-int((s.share[f][f]+s.terms.Step)*whole), 0)
}

// task is what is to be laid out, with the rows that are not to move fixed.
func (s *situation) task(moves []bool) *task {
	n := len(s.halls)
	k := &task{region: s.region, demand: s.demand, bears: s.bears, most: s.terms.UtilisationMost, shut: s.shut,
		before: s.before, fixed: make([][]float64, n), trial: make([]float64, n), lift: make([]bool, n)}
	for f := range n {
		low, high := make([]float64, n), make([]float64, n)
		k.trial[f] = s.trial(f) * s.demand[f]
		k.lift[f] = s.plan.Shed[s.halls[f]] == 0
		for t := range n {
			is, flee := s.share[f][t]*s.demand[f], s.bad[f][t]
			step := is + s.terms.Step*s.demand[f]
			switch {
			case !s.must(f):
				high[t] = step
			case s.may(f) && t == f && !flee:
				high[t] = step // coming back goes by steps, whatever else moves
			case s.may(f):
				high[t] = math.Inf(1)
			case flee: // a resting hall flees from what is bad, and nothing else changes
				high[t] = is
			case t == f:
				low[t], high[t] = is, step
			default:
				low[t], high[t] = is, math.Inf(1)
			}
		}
		if !moves[f] {
			k.fixed[f] = make([]float64, n)
			for t := range n {
				k.fixed[f][t] = s.share[f][t] * s.demand[f]
			}
		}
		k.low, k.high = append(k.low, low), append(k.high, high)
	}
	return k
}

// fleeLeast is the thousandths of a hall's tasks that are worth a move from another hall that is pushed over.
const fleeLeast = 5

// worth tells that a row is to move: it flees from what is lost or pushed over, a trial begins, or enough tasks move.
func (s *situation) worth(f int, row []int, shed int) bool {
	most := 0.0
	for t, share := range row {
		is := s.share[f][t] * whole
		to := float64(share)
		if t == f {
			to -= float64(shed)
			if trial := s.trial(f) * whole; is < trial/2 && to >= trial/2 {
				return true
			}
		}
		if s.gone[f][t] && to < is-0.5 || t != f && s.bad[f][t] && to < is-fleeLeast {
			return true
		}
		most = max(most, math.Abs(to-is))
	}
	return most >= s.terms.Worth*whole
}

// write makes the plan of the rows.
func (s *situation) write(rows [][]int, shed []int, moved []bool) *Plan {
	p := &Plan{Rows: map[string]map[string]int{}, Sound: map[string]int{}, Shed: map[string]int{},
		Alone: s.alone(), Why: map[string]string{}, Demand: map[string]uint64{}}
	for f, from := range s.halls {
		row := map[string]int{}
		for t, to := range s.halls {
			if rows[f][t] > 0 {
				row[to] = rows[f][t]
			}
			if s.shut[f][t] {
				p.Shut = append(p.Shut, [2]string{from, to})
			}
		}
		p.Rows[from], p.Demand[from] = row, uint64(s.demand[f]*1000)
		p.Sound[from] = int(math.Round(s.quarters[f] * whole / witness.Sound))
		if shed[f] > 0 {
			p.Shed[from] = shed[f]
		}
		if moved[f] {
			p.Why[from] = s.why(f)
		} else if s.plan.Why[from] != "" {
			p.Why[from] = s.plan.Why[from]
		}
	}
	return p
}

// ordinary is why a row moves that flees from nothing.
const ordinary = "nearer, or as room allows"

// why says what moved a row.
func (s *situation) why(f int) string {
	var all []string
	for t, to := range s.halls {
		switch {
		case !s.bad[f][t]:
		case s.shut[f][t]:
			all = append(all, to+" is out of reach, though not of others")
		case s.bears[t] <= 0:
			all = append(all, to+" is lost")
		default:
			all = append(all, to+" is pushed over")
		}
	}
	if len(all) == 0 {
		return ordinary
	}
	return strings.Join(all, ", ")
}

// alone shares out what lies between the most that is planned in a hall and all that it bears: to every other hall alike,
// so that whichever of them hear no plan, by whichever plan they heard last, all together stay below what it bears. It
// goes to the nearest first.
func (s *situation) alone() map[string]map[string]int {
	n := len(s.halls)
	all := map[string]map[string]int{}
	for f, from := range s.halls {
		row, left := map[string]int{}, whole
		for near := 1; near <= 2; near++ {
			for t, to := range s.halls {
				kind := 2
				if s.region[f] == s.region[t] {
					kind = 1
				}
				if t == f || kind != near || s.shut[f][t] {
					continue
				}
				reserve := (1 - s.terms.UtilisationMost) * s.bears[t] / float64(n-1)
				if share := min(int(reserve/s.demand[f]*whole), left); share > 0 {
					row[to], left = share, left-share
				}
			}
		}
		all[from] = row
	}
	return all
}
