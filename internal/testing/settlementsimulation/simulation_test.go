package settlementsimulation

import (
	"fmt"
	"testing"
	"time"

	"harrierhoist/internal/control/settlement"
)

// testScenario is three partners with a zone each, of which the first is lost for a minute.
func testScenario(seed uint64) Scenario {
	terms := settlement.DefaultTerms()
	terms.On = true
	for i := range 3 {
		first := uint64(i+1) << 16
		terms.Partners = append(terms.Partners, settlement.Partner{
			Name:      string(rune('a' + i)),
			Zones:     []string{fmt.Sprintf("hall-%d", i)},
			Customers: []string{fmt.Sprintf("%016x-%016x", first, first+0xffff)},
		})
	}
	return Scenario{
		Seed: seed, Terms: terms, Partners: 3, GatewaysPerZone: 2, RequestRate: 100, IdempotentFraction: 0.6,
		ServersPerZone: 9, BeforeOutage: 30 * time.Second, Outage: 60 * time.Second, AfterOutage: 240 * time.Second,
		WithController: true,
	}
}

// faultScenario is the same with message faults and crashes, and stores where the seed is even.
func faultScenario(seed uint64, afterOutage time.Duration) Scenario {
	scenario := testScenario(seed)
	scenario.MessageFaults, scenario.GatewayCrashes, scenario.WithStores = true, true, seed%2 == 0
	scenario.AfterOutage = afterOutage
	return scenario
}

// runBoth runs a scenario with a controller and without.
func runBoth(scenario Scenario) (with, without Result) {
	with = Run(scenario)
	scenario.WithController = false
	return with, Run(scenario)
}

// A zone is lost for a minute; after it what its partner owes is settled, and nobody is served
// worse for it.
func TestRun_debtsOfOutageAreSettled(t *testing.T) {
	for seed := range uint64(2) {
		scenario := testScenario(seed)
		with, without := runBoth(scenario)
		if with.SettledAfter < 0 || with.SettledAfter > 200*time.Second || len(with.Violations) > 0 ||
			without.SettledAfter >= 0 {
			t.Errorf("seed %d: with %+v, without %+v", seed, with, without)
		}
		if with.MaxMovedPerSecond > int(scenario.Terms.MaxMovedRate) {
			t.Errorf("seed %d: %d moved in a second", seed, with.MaxMovedPerSecond)
		}
		for i := range with.OnTime {
			if with.OnTime[i] < without.OnTime[i]-scenario.Terms.MaxLossFraction {
				t.Errorf("seed %d, partner %d: %.4f on time, %.4f without", seed, i, with.OnTime[i], without.OnTime[i])
			}
		}
	}
}

// The debtor's zone comes back with capacity for little more than its own requests: what it can't
// lend is not taken.
func TestRun_debtorWithoutCapacityIsNotOverloaded(t *testing.T) {
	for seed := range uint64(2) {
		scenario := testScenario(seed)
		scenario.FirstZoneServers, scenario.AfterOutage = 5, 180*time.Second
		with, without := runBoth(scenario)
		if with.OnTime[0] < without.OnTime[0]-scenario.Terms.MaxLossFraction || with.Moved == 0 {
			t.Errorf("seed %d: %.4f on time, %.4f without; %d moved",
				seed, with.OnTime[0], without.OnTime[0], with.Moved)
		}
	}
}

// Guards against a settlement that overloads a debtor's zone where gateways ignore queues.
func TestRun_controllerAloneBoundsLoss(t *testing.T) {
	for seed := range uint64(3) {
		scenario := testScenario(seed)
		scenario.FirstZoneServers, scenario.IgnoreQueues, scenario.AfterOutage = 5, true, 600*time.Second
		r := Run(scenario)
		if r.OnTime[0] < 0.985 || r.OnTime[1] < 0.995 || r.OnTime[2] < 0.995 || r.Moved < 1000 {
			t.Errorf("seed %d: on time %.4f, %d moved", seed, r.OnTime, r.Moved)
		}
	}
}

// Digests are lost, duplicated and late, leaders are lost during a settlement, gateways crash: the
// ledger is exact all the same, and balances sum to zero.
func TestRun_ledgerStaysExactUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		if r := Run(faultScenario(seed, 200*time.Second)); len(r.Violations) > 0 || r.SettledAfter < 0 {
			t.Errorf("seed %d: %+v", seed, r)
		}
	}
}

// The checks of the test before find each planted bug in ten runs.
func TestRun_findsPlantedBugs(t *testing.T) {
	const runs = 10
	for _, bug := range []PlantedBug{DebtLostWithLeader, SettlementAppliedTwice, LateDigestCountedTwice} {
		t.Run(string(bug), func(t *testing.T) {
			for seed := range uint64(runs) {
				scenario := faultScenario(seed, 120*time.Second)
				scenario.PlantedBug = bug
				if r := Run(scenario); len(r.Violations) > 0 {
					t.Logf("run %d: %s", seed+1, r.Violations[0])
					return
				}
			}
			t.Errorf("not found in %d runs", runs)
		})
	}
}

// Equal scenarios give equal results, or no failing one could be examined.
func TestRun_isDeterministic(t *testing.T) {
	scenario := testScenario(7)
	scenario.MessageFaults, scenario.GatewayCrashes, scenario.AfterOutage = true, true, 60*time.Second
	if a, b := fmt.Sprint(Run(scenario)), fmt.Sprint(Run(scenario)); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}
