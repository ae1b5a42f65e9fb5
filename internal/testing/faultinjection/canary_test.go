package faultinjection

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/testing/fakes"
)

// harmfulRuleTerms has a rule under which a customer has a hundredth of today's rate, and tries it
// on 80 of 1000 customers.
var harmfulRuleTerms = strings.NewReplacer("try = 0", "try = 1", `key = ["group"]`, `key = ["customer"]`,
	`group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]`, "",
	"rate = 30.0, burst = 30.0", "rate = 0.1, burst = 0.5",
	"sample = 20", "sample = 80", "calls = 60", "calls = 250").Replace(groupRuleTerms)

const (
	customerCount  = 600              // some 48 in the sample, each with 0.4 units a second
	maxVerdictTime = 80 * time.Second // of the canary's 120: it is refused by figures and not by the deadline
	maxRevertTime  = 60 * time.Second // after the switch: two checks of 10 s, 10 s after it
)

// lightRequests draws requests of one unit of many customers, whatever the zone.
func lightRequests(int) func(*rand.Rand) Request {
	return func(r *rand.Rand) Request {
		return Request{
			Class: IdempotentClass, Plan: smallPlan, Customer: 1 + r.Uint64N(customerCount), Units: 1,
			Timeout: 2 * time.Second,
		}
	}
}

// 11. A rule that would reject most of what customers ask for is tried, and refused by what
// gateways observe. No request is affected: all are admitted, but those that come before a gateway
// knows which rule is in force.
func TestCountingRule_harmfulCanaryIsRefused(t *testing.T) {
	t.Parallel()
	s := startEnvironment(t, harmfulRuleTerms, harmfulRuleTerms, lightRequests)
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"counting: version in force certain"`, 1)
	}
	s.waitForServed(200)
	before := s.Recorder.ResultCounts()
	startedAt := time.Now()
	table := func() countingrule.Table {
		v, err := countingrule.Decode(s.Read(countingrule.TableName).Value)
		must(t, err)
		return v
	}
	if current := table(); current.Phase != countingrule.PhaseCanary || current.ToVersion != 1 {
		t.Fatalf("the table: %+v", current)
	}
	for len(table().RefusedVersions) == 0 && time.Since(startedAt) < maxVerdictTime {
		s.waitForServed(100)
	}
	current := table()
	if len(current.RefusedVersions) != 1 || current.RefusedVersions[0] != 1 ||
		current.Phase != countingrule.PhaseIdle ||
		current.FromVersion != 0 {
		t.Errorf("after %v the table: %+v", time.Since(startedAt), current)
	}
	t.Logf("refused after %v: %s", time.Since(startedAt).Round(time.Second), current.Reason)
	s.waitForServed(100)
	s.finish()
	if after := s.Recorder.ResultCounts(); after[Rejected]+after[Terminated] > before[Rejected]+before[Terminated] {
		t.Errorf("results %v before and %v after", before, after)
	}
}

// 13. A rule was taken after a canary that forecast far more than it admits. Once that is seen
// under load it is reverted at a switch of its own, without an operator, and requests are admitted
// as before.
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
			fraction := float64(n) / float64(requestRate*len(s.Gateways))
			return fraction >= minFraction && fraction <= maxFraction
		})
	}
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"counting: version in force certain"`, 1)
	}
	waitForAdmitted(0.8, 1.2, "requests admitted by today's rule")
	now := time.Now()
	edge := now.Add(activationLead).Truncate(time.Second)
	rule := countingrule.Rule{
		Version: 1, Key: []string{"customer"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: 0.1, Burst: 0.5}},
	}
	s.Write(countingrule.TableName, countingrule.Table{
		Phase: countingrule.PhaseScheduled, ToVersion: 1, SwitchAt: time.Duration(edge.UnixNano()), SampleSeed: 7,
		Rules: []countingrule.Rule{rule}, PhaseStart: time.Duration(now.UnixNano()),
		TrialState: countingrule.Marshal(canary.TrialState{ForecastFraction: 0.9}),
		Canary: countingrule.CanaryConfig{
			SamplePermille: 80, CallsPermille: 250, DeadlineSeconds: 120, ErrorPermille: 50, RejectedBoundPermille: 30,
			AdmittedBoundPermille: 100, OverLimitBoundPermille: 50, MaxDeviationPermille: 100, WatchSeconds: 600,
		},
	}.Encode())
	waitForAdmitted(0, 0.5, "requests rejected by the rule in force")
	for time.Since(edge) < maxRevertTime && s.Gateways[0].Log.Count(`"phase":3`) == 0 {
		time.Sleep(100 * time.Millisecond) // longer than fakes.Eventually waits; the check below tells whether it came
	}
	for _, g := range s.Gateways {
		s.waitForLog(g.Process, `"phase":3`, 1)
	}
	waitForAdmitted(0.8, 1.2, "requests admitted by the earlier rule")
	s.finish()
}

// doubleRequests draws lightRequests of two units: enough in the sample to check what came of the
// rule.
func doubleRequests(int) func(*rand.Rand) Request {
	draw := lightRequests(0)
	return func(r *rand.Rand) Request {
		request := draw(r)
		request.Units = 2
		return request
	}
}
