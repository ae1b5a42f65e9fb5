package rulesimulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// minForwarded is how many requests a run must forward to show anything.
const minForwarded = 500

// Forwarded is how many requests were forwarded.
func (s *Simulation) Forwarded() (n int) {
	for _, request := range s.requests {
		if request.forwarded {
			n++
		}
	}
	return n
}

// CheckAnswers tells of a request that had no final answer, or two. One whose gateway died may have
// none.
func (s *Simulation) CheckAnswers() error {
	for _, request := range s.requests {
		isUnanswered := request.lost && request.answers == 0
		if request.answers != 1 && !isUnanswered {
			return fmt.Errorf("request %d, accepted at %v, has %d final answers", request.id, request.acceptedAt-epoch,
				request.answers)
		}
	}
	return nil
}

// quotaUse is what was used of a count's limit up to a time.
type quotaUse struct {
	used float64
	at   time.Duration
}

// versionInForce is the version that RunSwitch's table truly has in force at a time.
func versionInForce(now time.Duration) uint64 {
	if now >= epoch+switchScheduled+switchLead && now < epoch+switchRollback+switchLead {
		return 1
	}
	return 0
}

// WorstOverrun is by how much a count's forwarded weighted units exceeded its limit, in bursts: by
// the servers' record, and the rule that was truly in force when each request was accepted.
func (s *Simulation) WorstOverrun() (worst float64) {
	quotas := map[uint64]quotaUse{}
	byTime := slices.SortedFunc(slices.Values(s.requests), func(a, b *request) int {
		return cmp.Compare(a.forwardedAt, b.forwardedAt)
	})
	for _, request := range byTime {
		if !request.forwarded {
			continue
		}
		assignment := s.resolved[versionInForce(request.acceptedAt)].Assign(request.customer, request.class, 0)
		plan := s.settings.Plans[assignment.Plan]
		quota := quotas[assignment.Key]
		quota.used = max(quota.used-plan.Rate*(request.forwardedAt-quota.at).Seconds(), 0) + assignment.Weight
		quota.at = request.forwardedAt
		quotas[assignment.Key] = quota
		worst = max(worst, (quota.used-plan.Burst)/plan.Burst)
	}
	return worst
}

// CheckCharges checks by the counter's record that each count was charged what was forwarded under
// it, no more and no less. The plan holds few requests, so charges go alone and at once.
func CheckCharges(seed uint64, bug Bug) error {
	settings := baseSettings()
	settings.Plans = []policy.Plan{{Name: "small", Rate: 100, Burst: 7}}
	rule := countingrule.Rule{
		Version: 1,
		Key:     []string{"customer", "lane"},
		Weights: []countingrule.Weight{{Class: "pay", Permille: 3000}, {Class: "look", Permille: 2000}},
	}
	s := RunSwitch(seed, settings, rule, bug, true)
	if n := s.Forwarded(); n < minForwarded {
		return fmt.Errorf("%d forwarded requests show nothing", n)
	}
	forwarded := map[uint64]float64{}
	keys := map[uint64]uint64{}
	for _, request := range s.requests {
		if !request.forwarded {
			continue
		}
		key := request.assignment.Key
		if _, known := forwarded[key]; !known {
			s.addNames(keys, &request.assignment)
		}
		forwarded[key] += request.weight
	}
	charged := map[uint64]float64{}
	for name, units := range s.charged {
		charged[keys[name]] += units
	}
	for key, units := range forwarded {
		if off := charged[key] - units; max(off, -off) > 0.01 {
			return fmt.Errorf("count %x: %v charged, %v forwarded", key, charged[key], units)
		}
	}
	return nil
}

// addNames adds the counter's names of a key, in all windows of the simulation.
func (s *Simulation) addNames(keys map[uint64]uint64, assignment *countingrule.Assignment) {
	plan := &s.settings.Plans[assignment.Plan]
	for at := epoch; at < s.clock.Now(); at += time.Second / 2 {
		keys[countingrule.WindowAt(assignment.Key, plan, at).Name] = assignment.Key
	}
}
