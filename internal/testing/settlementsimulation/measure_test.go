package settlementsimulation

import (
	"flag"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "print the tables of docs/debts.md")

const measuredSeeds = 5

var measuredScenarios = []struct {
	name                             string
	maxShare, maxLendFraction        float64
	serversPerZone, firstZoneServers int
	ignoreQueues                     bool
}{
	{"careful", 0.25, 0.2, 9, 0, false},
	{"as it is", 0.5, 0.3, 9, 0, false},
	{"eager", 0.9, 1, 9, 0, false},
	{"as it is, 67 %", 0.5, 0.3, 6, 0, false},
	{"as it is, 80 %", 0.5, 0.3, 5, 0, false},
	{"debtor at 80 %", 0.5, 0.3, 9, 5, false},
	{"blind", 0.5, 0.3, 9, 0, true},
	{"blind, debtor at 67 %", 0.5, 0.3, 9, 6, true},
	{"blind, debtor at 80 %", 0.5, 0.3, 9, 5, true},
	{"blind, 80 %", 0.5, 0.3, 5, 0, true},
}

// measurement sums up the runs of a scenario.
type measurement struct {
	settledTime       time.Duration // in all, of the runs that settled
	unsettled, moved  int
	maxMovedPerSecond int
	maxLoss           float64 // of any partner's requests on time
}

func (m *measurement) add(with, without Result) {
	if with.SettledAfter < 0 {
		m.unsettled++
	} else {
		m.settledTime += with.SettledAfter
	}
	m.moved += with.Moved
	m.maxMovedPerSecond = max(m.maxMovedPerSecond, with.MaxMovedPerSecond)
	for i := range with.OnTime {
		m.maxLoss = max(m.maxLoss, without.OnTime[i]-with.OnTime[i])
	}
}

// The tables of docs/debts.md.
func TestMeasure_settlementTable(t *testing.T) {
	if !*measure {
		t.Skip("with -measure")
	}
	for _, test := range measuredScenarios {
		measured := &measurement{}
		for seed := range uint64(measuredSeeds) {
			scenario := testScenario(seed)
			scenario.IgnoreQueues, scenario.AfterOutage = test.ignoreQueues, 900*time.Second
			scenario.ServersPerZone, scenario.FirstZoneServers = test.serversPerZone, test.firstZoneServers
			scenario.Terms.MaxShare, scenario.Terms.MaxLendFraction = test.maxShare, test.maxLendFraction
			with, without := runBoth(scenario)
			measured.add(with, without)
			if len(with.Violations) > 0 {
				t.Errorf("%s, seed %d: %v", test.name, seed, with.Violations)
			}
		}
		settled := time.Duration(max(measuredSeeds-measured.unsettled, 1))
		t.Logf("%-22s settled after %v, never %d of %d, moved %d (most %d/s), in time lost at most %.4f", test.name,
			(measured.settledTime / settled).Round(time.Second), measured.unsettled, measuredSeeds,
			measured.moved/measuredSeeds, measured.maxMovedPerSecond, measured.maxLoss)
	}
}

// The same with more gateways, each with a smaller part of the requests: one seed.
func TestMeasure_gatewayCounts(t *testing.T) {
	if !*measure {
		t.Skip("with -measure")
	}
	for _, gateways := range []int{10, 100, 333} {
		scenario := testScenario(1)
		scenario.GatewaysPerZone = gateways
		r := Run(scenario)
		t.Logf("%d gateways: settled after %v, moved %d (most %d/s), in time %.4f, wrong %v",
			3*gateways, r.SettledAfter, r.Moved, r.MaxMovedPerSecond, r.OnTime, r.Violations)
	}
}
