package rulesimulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

// injectFault has something befall a node for a while, anywhere around a switch.
func (s *Simulation) injectFault(g *gateway) {
	at, duration := s.between(time.Millisecond, 12*time.Second), s.between(time.Second, 9*time.Second)
	switch s.random.IntN(4) {
	case 0:
		s.after(at, func() { g.isolated = true })
		s.after(at+duration, func() { g.isolated = false })
	case 1:
		s.after(at, func() { g.asleep = true })
		s.after(at+duration, func() { g.resume() })
	case 2: // dies and comes back without a word of what held
		s.after(at, func() { g.start(); g.isolated = true })
		s.after(at+duration, func() { g.isolated = false })
	case 3:
		s.after(at, func() { g.start() })
	}
}

// RunSwitch plays a fleet over an activation of a rule and the way back, with faults at two of its gateways if not calm.
func RunSwitch(seed uint64, settings policy.Settings, rule countingrule.Rule, bug Bug, calm bool) *Simulation {
	s := newSimulation(seed, settings, []countingrule.Rule{rule})
	s.bug = bug
	start := s.now
	var arrive func()
	arrive = func() {
		if s.now < start+28*time.Second {
			s.gateways[s.random.IntN(len(s.gateways))].accept(1+s.random.Uint64N(8), s.random.IntN(2))
			s.after(s.between(0, 25*time.Millisecond), arrive)
		}
	}
	s.after(time.Second, arrive)
	s.after(3*time.Second, func() { s.table.Phase, s.table.To = countingrule.PhaseCanary, 1 })
	s.after(6*time.Second, func() { s.table.Phase, s.table.SwitchAt = countingrule.PhaseScheduled, s.now+switchLead })
	s.after(16*time.Second, func() {
		s.table.Phase, s.table.From, s.table.To, s.table.SwitchAt = countingrule.PhaseRollback, 1, 0,
			s.now+switchLead
	})
	for _, g := range s.gateways[:2] { // never a majority of four
		if calm {
			break
		}
		s.after(s.between(4*time.Second, 12*time.Second), func() { s.injectFault(g) })
	}
	s.run(start + 40*time.Second)
	return s
}

// WorstOverrun is by how much a count's forwarded weighted units passed its limit, in bursts: by the servers' record, and
// the rule that was truly in force when each task was taken.
func (s *Simulation) WorstOverrun() (worst float64) {
	type store struct {
		used float64
		at   time.Duration
	}
	quotas := map[uint64]store{}
	schedule := countingrule.Table{Phase: countingrule.PhaseScheduled, From: 0, To: 1, SwitchAt: time.Hour + 10*time.Second}
	for _, request := range slices.SortedFunc(slices.Values(s.requests), func(a, b *request) int {
		return cmp.Compare(a.forwardedAt,
			b.forwardedAt)
	}) {
		if !request.forwarded {
			continue
		}
		version := schedule.InForce(request.acceptedAt)
		if request.acceptedAt >= time.Hour+20*time.Second {
			version = 0
		}
		assignment := s.resolved[version].Assign(request.customer, request.class, 0)
		plan, quota := s.settings.Plans[assignment.Plan], quotas[assignment.Key]
		quota.used = max(quota.used-plan.Rate*(request.forwardedAt-quota.at).Seconds(), 0) + assignment.Weight
		quota.at = request.forwardedAt
		quotas[assignment.Key] = quota
		worst = max(worst, (quota.used-plan.Burst)/plan.Burst)
	}
	return worst
}

// baseSettings is a site of four gateways without plans.
func baseSettings() policy.Settings {
	return policy.Settings{Gateways: 4, Zones: 1, ClockTick: time.Millisecond, HasCounter: true,
		CountTimeout: time.Second, MaxAttempts: 3,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1},
			{Name: "pay", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 2}}}
}

// Forwarded is how many tasks were forwarded.
func (s *Simulation) Forwarded() (n int) {
	for _, request := range s.requests {
		if request.forwarded {
			n++
		}
	}
	return n
}

// CheckAnswers tells of a task that had no final answer, or two. One whose gateway died may have none.
func (s *Simulation) CheckAnswers() error {
	for _, request := range s.requests {
		if request.answers != 1 && !(request.lost && request.answers == 0) {
			return fmt.Errorf("task %d, taken at %v, has %d final answers", request.id, request.acceptedAt-time.Hour, request.answers)
		}
	}
	return nil
}

// TightScenario is a site and a rule under which eight customers, who ask eight times a plan, share one.
func TightScenario() (policy.Settings, countingrule.Rule) {
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 10, Burst: 20}}
	return settings, countingrule.Rule{Version: 1, Key: []string{"group"}, Groups: []countingrule.Group{{Name: "all",
		Customers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 10, Burst: 20}}}
}

// CheckCharges checks by the counter's record that each count was charged what was forwarded under it, no more and no less.
// The plan holds few tasks, so charges go alone and at once.
func CheckCharges(seed uint64, bug Bug) error {
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 100, Burst: 7}}
	s := RunSwitch(seed, settings, countingrule.Rule{Version: 1, Key: []string{"customer", "lane"},
		Weights: []countingrule.Weight{{Class: "pay", Permille: 3000}, {Class: "look", Permille: 2000}}}, bug, true)
	forwardedUnits, chargedUnits, names, forwarded := map[uint64]float64{}, map[uint64]float64{}, map[uint64]uint64{}, 0
	for _, request := range s.requests {
		if request.forwarded {
			forwardedUnits[request.assignment.Key] += request.weight
			forwarded++
			for at := time.Hour; at < s.now && forwardedUnits[request.assignment.Key] == request.weight; at += time.Second / 2 { // a key's first
				names[countingrule.WindowAt(request.assignment.Key, &s.settings.Plans[request.assignment.Plan], at).Name] = request.assignment.Key
			}
		}
	}
	if forwarded < 500 {
		return fmt.Errorf("%d pushes show nothing", forwarded)
	}
	for name, units := range s.charged {
		chargedUnits[names[name]] += units
	}
	for key, units := range forwardedUnits {
		if off := chargedUnits[key] - units; max(off, -off) > 0.01 {
			return fmt.Errorf("count %x: %v charged, %v forwarded", key, chargedUnits[key], units)
		}
	}
	return nil
}
