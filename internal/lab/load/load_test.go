package load

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/testing/golden"
)

func defaultScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("the default scenario", nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestGenerator_drawsTheSameRequests holds the requests of a seed.
func TestGenerator_drawsTheSameRequests(t *testing.T) {
	const want = "a9f547538b4f009dd80aa4237b2ecac8fe262720292bb298c1e32cb4908f3a81"
	driver := &Driver{Scenario: defaultScenario(t), Gateways: []string{"a", "b", "c"}, Rate: 100, Seed: 7}
	requests, sum := newGenerator(driver), golden.NewDigest()
	for range 1000 {
		r := requests.next()
		sum.Println(r.due.Nanoseconds(), r.id, r.customer, r.class, r.plan, r.units, r.gateway)
	}
	sum.Check(t, want)
}

func TestRun_needsRateAndGateway(t *testing.T) {
	for name, driver := range map[string]*Driver{
		"no rate":    {Gateways: []string{"127.0.0.1:1"}},
		"no gateway": {Rate: 1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := driver.Run(t.Context()); !errors.Is(err, ErrNothingToDrive) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// A request is counted in the second in which it was due, and is late by its class's objective.
func TestReport_countsOutcomesBySecond(t *testing.T) {
	const objective = time.Second
	report := newReport(1)
	for i, c := range []struct {
		due     time.Duration
		result  outcome
		latency time.Duration
	}{
		{0, served, objective},
		{0, served, objective + 1},
		{time.Second, rejected, 0},
		{time.Second, terminated, 0},
		{2 * time.Second, disconnected, 0},
		{2 * time.Second, wrongAnswer, 0},
	} {
		report.record(request{id: uint64(i), due: c.due}, c.result, time.Millisecond, c.latency, objective)
	}
	want := []Second{{Offered: 2, Served: 2, InTime: 1}, {Offered: 2, Rejected: 1, Failed: 1}, {Offered: 2, Failed: 1}}
	if got := fmt.Sprint(report.Seconds); got != fmt.Sprint(want) {
		t.Errorf("seconds %s, want %v", got, want)
	}
	var table strings.Builder
	if err := report.WriteTable(&table, []scenario.TrafficClass{{Name: "short"}}); err != nil {
		t.Fatal(err)
	}
	const first = "offered 6 in 0.0 s; served 33.3%, in time 16.7%, rejected 16.7%, terminated 16.7%, " +
		"disconnected 16.7%, wrong answers 1\n"
	if !strings.HasPrefix(table.String(), first) {
		t.Errorf("table:\n%s\nwant first:\n%s", table.String(), first)
	}
}
