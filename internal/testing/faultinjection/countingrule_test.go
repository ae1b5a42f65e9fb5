package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/testing/fakes"
)

// groupRuleTerms has, beside failover's terms, a rule under which eight customers share one count,
// with three times the rate that today's rule gives each of them. Voters have none of it where a
// scenario writes the table itself.
const groupRuleTerms = `[counting]
try = 0
[[counting.rule]]
version = 1
key = ["group"]
group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]
limit = [{plan = "*", rate = 30.0, burst = 30.0}]
[counting.canary]
sample = 20
calls = 60
deadline_s = 120
wrong = 50
rejected = 30
let_in = 100
beyond = 50
leave = 100
watch_s = 600
` + failoverTerms

const (
	groupRate      = 30 // units per second: a quarter of what is asked for
	groupBurst     = 30
	groupSize      = 8                       // of the group: the customers 1 to 8
	extraBursts    = 1                       // above the limit around a switch; docs/counting-rules.md allows two
	activationLead = 5000 * time.Millisecond // from the write to the switch: a lease, two waits and a second are needed
)

// groupRequests draws requests of the group's customers, who ask for four times their limit, and as
// many others.
func groupRequests(zone int) func(*rand.Rand) Request {
	others := mixedRequests(zone)
	return func(r *rand.Rand) Request {
		if request := others(r); r.IntN(2) == 0 {
			request.Customer += groupSize + 1
			return request
		}
		return Request{
			Class: IdempotentClass, Plan: smallPlan, Customer: 1 + r.Uint64N(groupSize), Units: 1,
			Timeout: 2 * time.Second,
		}
	}
}

// checkGroupLimit fails where in a span of three seconds from a time on the group has more units
// above its rate than maxExcess. Over longer spans it would show what the policy admits above a
// limit in every window.
func (s *scenario) checkGroupLimit(since time.Time, maxExcess float64) {
	s.t.Helper()
	worst, all := 0.0, s.groupAttempts(since)
	for i := range all {
		units := 0.0
		for j := i; j < len(all) && all[j].ReceivedAt.Sub(all[i].ReceivedAt) <= loadWindowSeconds*time.Second; j++ {
			units += all[j].Units
			worst = max(worst, units-groupRate*all[j].ReceivedAt.Sub(all[i].ReceivedAt).Seconds())
		}
	}
	s.t.Logf("%.0f units above the rate, and %.0f are allowed", worst, maxExcess)
	if worst > maxExcess || len(all) == 0 {
		s.t.Errorf("%d attempts, %.0f units above the rate, and %.0f are allowed", len(all), worst, maxExcess)
	}
}

// activateRule writes when gateways are to switch to the rule, and returns that.
func (s *scenario) activateRule() time.Time {
	s.t.Helper()
	edge := time.Now().Add(activationLead).Truncate(time.Second)
	rule := countingrule.Rule{
		Version: 1, Key: []string{"group"},
		Groups: []countingrule.Group{{Name: "one", Customers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		Limits: []countingrule.Limit{{Plan: "*", Rate: groupRate, Burst: groupBurst}},
	}
	s.Write(countingrule.TableName, countingrule.Table{
		Phase: countingrule.PhaseScheduled, ToVersion: 1, SwitchAt: time.Duration(edge.UnixNano()),
		Rules:      []countingrule.Rule{rule},
		PhaseStart: time.Duration(time.Now().UnixNano()),
	}.Encode())
	return edge
}

// waitUntil waits for a time.
func (s *scenario) waitUntil(when time.Time) {
	s.t.Helper()
	fakes.Eventually(s.t, "its time", func() bool { return time.Now().After(when) })
}

// 12. A rule comes into force while one gateway is paused, three are partitioned and one is killed
// and started again, partitioned too. By what servers record, none of them lets the count exceed
// its limit.
func TestCountingRule_activationWithPausedPartitionedRestartedGateways(t *testing.T) {
	s := startEnvironment(t, groupRuleTerms, failoverTerms, groupRequests)
	s.waitForServed(100)
	paused, restarted := s.Gateways[0], s.Gateways[4]
	paused.Pause()
	for _, g := range s.Gateways[1:5] {
		s.SetFault([]string{g.Name}, nil, dropRequests)
	}
	edge := s.activateRule()
	restarted.Kill()
	s.waitUntil(edge.Add(-time.Second / 2))
	s.Environment.Start(restarted)
	s.waitUntil(edge.Add(2 * time.Second))
	paused.Resume()
	s.waitUntil(edge.Add(5 * time.Second))
	s.ClearFaults()
	s.waitUntil(edge.Add(7 * time.Second))
	s.finish()
	s.checkGroupLimit(edge, groupBurst*(1+extraBursts))
	if n := len(s.groupAttempts(edge)); n < 4*groupRate {
		t.Errorf("%d attempts in seven seconds under a limit of %d per second", n, groupRate)
	}
	for _, g := range s.Gateways {
		if g.Log.Count(`"phase":2`) == 0 {
			t.Errorf("%s logged no activation", g.Name)
		}
	}
}

// 14. A zone is lost between the write that sets the switch and the switch, and a voter with it.
// Both are dealt with.
func TestCountingRule_failoverDuringActivation(t *testing.T) {
	s := startEnvironment(t, groupRuleTerms, failoverTerms, groupRequests)
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, "routing: plan in force", 1)
	}
	edge := s.activateRule()
	s.SetZoneBehavior("hall-a", Down)
	s.Leader().Signal(syscall.SIGKILL)
	for _, g := range s.GatewaysIn("hall-a") {
		s.waitForLog(g.Process, "hall-a is lost", 1)
	}
	s.waitUntil(edge.Add(5 * time.Second))
	s.finish()
	s.checkGroupLimit(edge, groupBurst*(1+extraBursts))
	zones := map[string]int{}
	for _, attempt := range s.groupAttempts(edge) {
		zones[attempt.Zone]++
	}
	if zones["hall-a"] > 0 || zones["hall-b"] == 0 || zones["hall-c"] == 0 {
		t.Errorf("attempts after the switch by zone: %v", zones)
	}
}

// groupAttempts returns the attempts of the group's requests after a time.
func (s *scenario) groupAttempts(since time.Time) (all []Attempt) {
	for _, attempt := range s.Recorder.Attempts() {
		if attempt.ReceivedAt.After(since) && attempt.Customer <= fmt.Sprintf("%016x", groupSize) {
			all = append(all, attempt)
		}
	}
	return all
}
