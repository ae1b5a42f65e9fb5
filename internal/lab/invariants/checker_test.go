package invariants

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/policy"
)

// newTestChecker makes a checker of one plan with a quota of 2 units a second and a ceiling of 4.
func newTestChecker() *Checker {
	return New(Limits{
		AnswerSlack: 10 * time.Millisecond, DrainGrace: time.Second,
		Plans: []policy.Plan{{
			Rate: 2, Burst: 2, CeilingRate: 4, CeilingBurst: 4, CeilingSlack: 1, Price: 3, OverQuotaCost: 0.5,
		}},
	})
}

// accept has gateway 1 accept request 7 of customer 9 at second 1, with a deadline at second 2.
func accept(c *Checker, effect policy.Effect) {
	c.RequestAccepted(Request{
		ID: 7, Key: 8, Customer: 9, Class: policy.TrafficClass{Effect: effect, Weight: 2}, Gateway: 1, Units: 1,
		AcceptedAt: time.Second, Deadline: 2 * time.Second,
	})
}

// observationCase is what is observed after accept, and the violations that are reported.
type observationCase struct {
	name    string
	observe func(c *Checker)
	want    []string
}

func checkObservations(t *testing.T, cases []observationCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := newTestChecker()
			accept(checker, policy.Idempotent)
			c.observe(checker)
			var got []string
			for _, v := range checker.Violations {
				got = append(got, v.String())
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestChecker_reportsViolationsOfAnswers(t *testing.T) {
	checkObservations(t, []observationCase{
		{
			"no answer", func(checker *Checker) { checker.Finish(3 * time.Second) },
			[]string{"no task lost at 3.000s: task 7, gateway 1, server 0, customer 9: " +
				"taken at 1.000s, no answer by 2.000s"},
		},
		{
			"no answer, found when a later request is accepted", func(checker *Checker) {
				checker.RequestAccepted(Request{ID: 10, AcceptedAt: 30 * time.Second, Deadline: 40 * time.Second})
			},
			[]string{"no task lost at 30.000s: task 7, gateway 1, server 0, customer 9: " +
				"taken at 1.000s, no answer by 2.000s"},
		},
		{"answer within the slack", func(checker *Checker) {
			checker.RequestAnswered(2009*time.Millisecond, 7, true)
			checker.Finish(3 * time.Second)
		}, nil},
		{
			"late answer", func(checker *Checker) { checker.RequestAnswered(2011*time.Millisecond, 7, true) },
			[]string{"no task lost at 2.011s: task 7, gateway 1, server 0, customer 9: answered 0.011s after its time"},
		},
		{
			"two answers", func(checker *Checker) {
				checker.RequestAnswered(time.Second, 7, true)
				checker.RequestAnswered(time.Second, 7, true)
			},
			[]string{"no task lost at 1.000s: task 7, gateway 1, server 0, customer 9: answer number 2"},
		},
		{
			"answer that no server made", func(checker *Checker) { checker.RequestAnswered(time.Second, 7, false) },
			[]string{"no task lost at 1.000s: task 7, gateway 1, server 0, customer 9: " +
				"served with what no server made for it"},
		},
		{"gateway died", func(checker *Checker) {
			checker.GatewayDied(time.Second, 1)
			checker.Finish(3 * time.Second)
		}, nil},
		{"gateway paused", func(checker *Checker) {
			checker.GatewayPaused(1500*time.Millisecond, 1, 3*time.Second)
			checker.RequestAnswered(3*time.Second, 7, true)
		}, nil},
	})
}

func TestChecker_reportsViolationsOfServers(t *testing.T) {
	checkObservations(t, []observationCase{
		{
			"attempt after the drain grace", func(checker *Checker) {
				checker.EndpointNotified(time.Second, 1, 4, policy.Draining)
				checker.EndpointNotified(1500*time.Millisecond, 1, 4, policy.Removed)
				checker.AttemptSent(2*time.Second, 1, 4, 7)
				checker.AttemptSent(2100*time.Millisecond, 1, 4, 7)
			},
			[]string{"drains kept at 2.100s: task 7, gateway 1, server 4, customer 0: pushed 1.100s after it was told"},
		},
		{"attempt after a restart of the gateway", func(checker *Checker) {
			checker.EndpointNotified(time.Second, 1, 4, policy.Draining)
			checker.GatewayDied(1500*time.Millisecond, 1)
			checker.AttemptSent(3*time.Second, 1, 4, 7)
		}, nil},
		{
			"server overloaded", func(checker *Checker) { checker.ServerOverloaded(time.Second, 4, 2, 0.5) },
			[]string{"no cold server pushed over at 1.000s: task 0, gateway -1, server 4, customer 0: " +
				"sent 2.00 core-seconds a second, 0.50 is its capacity now"},
		},
	})
}

func TestChecker_reportsRepeatedEffects(t *testing.T) {
	const prefix = "no effect twice at 1.000s: task 7, gateway 1, server 4, customer 9: "
	for _, test := range []struct {
		name   string
		effect policy.Effect
		want   string // empty: no violation
	}{
		{"idempotent", policy.Idempotent, ""},
		{"keyed", policy.Keyed, prefix + "its receipt ran before, at 1.000s"},
		{"not idempotent", policy.NonIdempotent, prefix + "run 2 of an effectful task"},
	} {
		t.Run(test.name, func(t *testing.T) {
			checker := newTestChecker()
			accept(checker, test.effect)
			checker.EffectRan(time.Second, 3, 7)
			if len(checker.Violations) > 0 {
				t.Fatalf("the first effect is a violation: %v", checker.Violations)
			}
			checker.EffectRan(time.Second, 4, 7)
			got := ""
			if len(checker.Violations) > 0 {
				got = checker.Violations[0].String()
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}

func TestChecker_countsQuotasAndCeilings(t *testing.T) {
	checker := newTestChecker()
	for id := range uint64(6) {
		checker.RequestAccepted(Request{
			ID: id, Customer: 9, Class: policy.TrafficClass{Weight: 2}, Units: 1,
			AcceptedAt: time.Second, Deadline: time.Hour,
		})
		checker.AttemptSent(time.Second, 0, 1, id)
		checker.AttemptSent(time.Second, 0, 2, id) // another attempt of a request spends nothing
		if got, want := checker.IsWithinQuota(id), id < 2; got != want {
			t.Errorf("request %d is within quota: %v, want %v", id, got, want)
		}
	}
	// 4 units of ceiling and 1 of slack: the sixth exceeds them.
	if checker.ForwardedUnits != 6 || checker.OverQuotaUnits != 4 || checker.OverQuotaPenalty != 4*2*3*0.5 ||
		checker.Counts[CeilingExceeded] != 1 {
		t.Errorf("%v units forwarded, %v over quota with a penalty of %v, violations %v", checker.ForwardedUnits,
			checker.OverQuotaUnits, checker.OverQuotaPenalty, checker.Violations)
	}
	const want = "ceilings kept at 1.000s: task 5, gateway 0, server 0, customer 9: " +
		"2.0 units beyond the ceiling, 1.0 are allowed"
	if len(checker.Violations) != 1 || checker.Violations[0].String() != want {
		t.Errorf("%v, want %s", checker.Violations, want)
	}
	checker.UnitsSettled(0, 0.25)
	checker.RequestAccepted(Request{ID: 6, Customer: 9, Units: 0.75, AcceptedAt: time.Second, Deadline: time.Hour})
	checker.AttemptSent(time.Second, 0, 1, 6)
	if !checker.IsWithinQuota(6) {
		t.Error("what was declared in excess was not given back")
	}
}

func TestChecker_describesTheFirstViolationsOfARule(t *testing.T) {
	c := newTestChecker()
	for range 2 * maxDescribedViolations {
		c.ServerOverloaded(time.Second, 4, 2, 0.5)
	}
	if len(c.Violations) != maxDescribedViolations || c.Counts[WarmUpOverloaded] != 2*maxDescribedViolations {
		t.Errorf("%d violations described, %d counted", len(c.Violations), c.Counts[WarmUpOverloaded])
	}
}
