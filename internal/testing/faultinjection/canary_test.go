package faultinjection

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/testing/fakes"
)

// harmfulRuleTerms names a rule under which a customer has a hundredth of today's rate, and has it tried on 80 of 1000
// customers.
var harmfulRuleTerms = strings.NewReplacer("try = 0", "try = 1", `key = ["group"]`, `key = ["customer"]`,
	`group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]`, "",
	"rate = 30.0, burst = 30.0", "rate = 0.1, burst = 0.5",
	"sample = 20", "sample = 80", "calls = 60", "calls = 250").Replace(groupRuleTerms)

const (
	customerCount  = 600              // some 48 in the sample, each with 0.4 units a second
	maxVerdictTime = 80 * time.Second // of the canary's 120: figures refuse it, not the deadline
	maxRevertTime  = 60 * time.Second // after the edge: two looks of 10 s, 10 s after it
)

func lightRequests(int) func(*rand.Rand) Request {
	return func(r *rand.Rand) Request {
		return Request{Class: "look", Plan: "thin", Customer: 1 + r.Uint64N(customerCount), Units: 1, Timeout: 2 * time.Second}
	}
}

// 11. A rule that would reject most of what customers ask for is tried and refused by what gateways saw. No task is
// touched: all are let in, but those that come before a gateway has heard which rule holds.
func TestCountingRule_harmfulCanaryIsRefused(t *testing.T) {
	t.Parallel()
	s := startEnvironment(t, harmfulRuleTerms, harmfulRuleTerms, lightRequests)
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"counting: version in force certain"`, 1)
	}
	s.waitForServed(200)
	before := s.Recorder.ResultCounts()
	began := time.Now()
	table := func() countingrule.Table {
		v, err := countingrule.Decode(s.Read(countingrule.TableName).Value)
		must(t, err)
		return v
	}
	if current := table(); current.Phase != countingrule.PhaseCanary || current.To != 1 {
		t.Fatalf("the table: %+v", current)
	}
	for len(table().Refused) == 0 && time.Since(began) < maxVerdictTime {
		s.waitForServed(100)
	}
	current := table()
	if len(current.Refused) != 1 || current.Refused[0] != 1 || current.Phase != countingrule.PhaseIdle || current.From != 0 {
		t.Errorf("after %v the table: %+v", time.Since(began), current)
	}
	t.Logf("refused after %v: %s", time.Since(began).Round(time.Second), current.Reason)
	s.waitForServed(100)
	s.finish()
	if ends := s.Recorder.ResultCounts(); ends[Rejected]+ends[Terminated] > before[Rejected]+before[Terminated] {
		t.Errorf("ends before %v and after %v", before, ends)
	}
}

// 13. A rule was taken by a canary that foretold far more than it lets in. Once that is seen under load it is undone
// at an edge of its own, nobody asked, and tasks are let in as before.
func TestCountingRule_revertedUnderLoad(t *testing.T) {
	t.Parallel()
	s := startEnvironment(t, harmfulRuleTerms, harmfulRuleTerms, doubleRequests)
	waitForAdmitted := func(minFraction, maxFraction float64, what string) {
		t.Helper()
		fakes.Eventually(t, what, func() bool {
			n := 0
			for _, units := range s.Recorder.AttemptsByRoute(time.Now().Add(-time.Second)) {
				n += units
			}
			part := float64(n) / float64(requestRate*len(s.Gateways))
			return part >= minFraction && part <= maxFraction
		})
	}
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"counting: version in force certain"`, 1)
	}
	waitForAdmitted(0.8, 1.2, "tasks let in by today's rule")
	now := time.Now()
	edge := now.Add(activationLead).Truncate(time.Second)
	rule := countingrule.Rule{Version: 1, Key: []string{"customer"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 0.1, Burst: 0.5}}}
	s.Write(countingrule.TableName, countingrule.Table{Phase: countingrule.PhaseScheduled, To: 1, SwitchAt: time.Duration(edge.UnixNano()), Seed: 7,
		Rules: []countingrule.Rule{rule}, Since: time.Duration(now.UnixNano()),
		TrialState: countingrule.Marshal(canary.TrialState{Forecast: 0.9}),
		Canary: countingrule.CanaryConfig{SamplePermille: 80, CallsPermille: 250, DeadlineSeconds: 120, ErrorPermille: 50, RejectedPermille: 30,
			AdmittedPermille: 100, OverLimitPermille: 50, DeviationPermille: 100, WatchSeconds: 600}}.Encode())
	waitForAdmitted(0, 0.5, "tasks rejected by the rule in force")
	for time.Since(edge) < maxRevertTime && s.Gateways[0].Log.Count(`"phase":3`) == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"phase":3`, 1)
	}
	waitForAdmitted(0.8, 1.2, "tasks let in by the earlier rule")
	s.finish()
}

// doubleRequests is many with two units a task: enough in the sample for a look at what came of the rule.
func doubleRequests(int) func(*rand.Rand) Request {
	draw := lightRequests(0)
	return func(r *rand.Rand) Request {
		request := draw(r)
		request.Units = 2
		return request
	}
}
