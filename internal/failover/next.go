package failover

import (
	"math"
	"slices"
	"time"

	"harrierhoist/internal/witness"
)

// situation is what a plan is made for: all by the places of halls.
type situation struct {
	*Decider
	now      time.Duration
	bears    []float64 // units a second; 0: lost
	quarters []float64
	demand   []float64
	shut     [][]bool
	share    [][]float64 // of the plan that stands, less what is shed
	bad      [][]bool    // of these, what is to be fled from: lost, shut, or pushed over
	gone     [][]bool    // of these, what is lost or shut
	before   [][]float64 // the most that anybody may still push by earlier plans
}

// fleeAt is the part of what a hall bears from which what goes there flees without a rest: halfway from the most that is
// planned there to all.
func (s *situation) fleeAt() float64 { return (s.terms.UtilisationMost + 1) / 2 }

// next gives the next plan; nil: the one that stands is to stay.
func (d *Decider) next(now time.Duration) *Plan {
	s := d.situation(now)
	rows, shed, moved := s.lay()
	any := slices.Contains(moved, true)
	resting := []string{}
	for f, hall := range d.halls {
		if moved[f] || d.rest[f] > now {
			resting = append(resting, hall)
		}
	}
	p := s.write(rows, shed, moved)
	p.Resting = resting
	if any {
		p.Before = s.old()
	} else {
		if p.Before = d.plan.Before; now >= d.until && len(resting) == 0 {
			p.Before = nil
		}
	}
	if any || d.none || s.stale(p) {
		return p
	}
	return nil
}

// stale tells that what a plan says beside its rows is to be written anew. This alone moves no task between halls; it
// happens at most once a lease, and the figures of use to gateways without a plan at most once a stay.
func (s *situation) stale(p *Plan) bool {
	old := s.plan
	if s.now < s.wrote+s.lease {
		return false
	}
	if len(p.Resting) == 0 && (len(old.Resting) > 0 || old.Before != nil) || !slices.Equal(p.Shut, old.Shut) {
		return true
	}
	for _, h := range s.halls {
		if math.Abs(float64(p.Sound[h]-old.Sound[h])) >= whole/witness.Sound {
			return true
		}
		if s.now < s.wrote+s.terms.stay() {
			continue
		}
		for _, to := range s.halls {
			a, b := float64(p.Alone[h][to]), float64(old.Alone[h][to])
			if a < b*(1-aloneSlack)-aloneLeast || a*(1-aloneSlack)-aloneLeast > b {
				return true
			}
		}
	}
	return false
}

// aloneSlack and aloneLeast are by how much, as a part and in thousandths, shares for those without a plan may be off
// before they are written anew.
const (
	aloneSlack = 0.3
	aloneLeast = 20
)

func (d *Decider) situation(now time.Duration) *situation {
	s := &situation{Decider: d, now: now}
	n := len(d.halls)
	for f, hall := range d.halls {
		units, quarters := d.view.bears(f, hall)
		if d.rest[f] > now {
			if sound, ok := d.plan.Sound[hall]; ok && sound == 0 {
				units, quarters = 0, 0 // a hall that was lost stays so for a least stay
			}
		}
		s.bears, s.quarters = append(s.bears, units), append(s.quarters, quarters)
		s.demand = append(s.demand, max(d.view.demand[f], tinyDemand))
	}
	load := make([]float64, n)
	for f, from := range d.halls {
		shut, share, before := make([]bool, n), make([]float64, n), make([]float64, n)
		for t, to := range d.halls {
			shut[t] = d.view.shut(f, t)
			pair := [2]string{from, to}
			shut[t] = shut[t] || d.rest[f] > now && slices.Contains(d.plan.Shut, pair)
			share[t] = float64(d.cur[f][t]) / whole
			if t == f {
				share[t] -= float64(d.plan.Shed[from]) / whole
			}
			most := d.cur[f][t]
			if now < d.until {
				most = max(most, d.plan.Before[from][to])
			}
			before[t] = float64(most) / whole * s.demand[f]
			load[t] += share[t] * s.demand[f]
		}
		s.shut, s.share, s.before = append(s.shut, shut), append(s.share, share), append(s.before, before)
	}
	for f := range n {
		d.view.easy[f] = load[f] < d.terms.UtilisationMost*s.bears[f] && s.share[f][f] == 1
		bad, gone := make([]bool, n), make([]bool, n)
		for t := range n {
			if s.share[f][t] > 0 && (t != f || s.share[f][t] > s.trial(f)+rounding) {
				gone[t] = s.bears[t] <= 0 || s.shut[f][t]
				bad[t] = gone[t] || d.view.settled(f) && load[t] > s.fleeAt()*s.bears[t]
			}
		}
		s.bad, s.gone = append(s.bad, bad), append(s.gone, gone)
	}
	return s
}

const (
	// tinyDemand is the demand of a hall that nothing is known to come in at, in units a second: a row needs some.
	tinyDemand = 0.001
	// rounding is what whole thousandths may be off, for all halls of a row together.
	rounding = 0.02
	// partLeast is how many servers a gateway is handed at the least, and by how many each is at the least in the mean
	// (package pool): the trial must be at least one server at some gateways.
	partLeast = 8
)

// trial is the part of a hall's tasks that tries it while it is lost: what the terms say, and in a small fleet so much that
// half as many gateways again as must speak are handed one of its servers. 0: nothing is listed there.
func (s *situation) trial(f int) float64 {
	if s.bears[f] > 0 && !s.shut[f][f] || s.view.strength[f] <= 0 {
		return 0
	}
	servers, gateways := 0.0, 1.0
	for t := range s.halls {
		servers, gateways = servers+s.view.strength[t], gateways+s.view.many[t]
	}
	part := max(partLeast, min(servers, partLeast*servers/gateways))
	least := 1.5 * float64(s.terms.GatewaysLeast) / part / max(s.view.many[f], 1)
	return max(s.terms.Trial, min(least, 1.0/partLeast))
}

// old is by pair the most that anybody may push by the plan that stands or by one before it.
func (s *situation) old() map[string]map[string]int {
	all := map[string]map[string]int{}
	for f, from := range s.halls {
		row := map[string]int{}
		for t, to := range s.halls {
			most := s.cur[f][t]
			if s.now < s.until {
				most = max(most, s.plan.Before[from][to])
			}
			if most > 0 {
				row[to] = most
			}
		}
		all[from] = row
	}
	return all
}
