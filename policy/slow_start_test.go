package policy_test

import (
	"math"
	"testing"
	"time"
)

// The simulation runs many gateways, each with its own module and subset of the servers, on one
// virtual clock (slow_start_simulation_test.go).
const (
	warmRate     = 25.0            // requests of mean work per second that a warm server serves
	restartAt    = 3 * time.Second // time at which some servers restart
	watchTime    = 4 * time.Second // default time simulated after restartAt
	steadyLoad   = 0.7             // default load, as a fraction of all servers' warm capacity
	networkDelay = 5 * time.Millisecond
)

// warmUpCase is a test case. Times are relative to the start of the simulation, unless stated. A
// field with its zero value means a steady, even load and no such event.
type warmUpCase struct {
	name              string
	restartedFraction float64                                    // fraction of servers that restart at restartAt
	load              func(t time.Duration) float64              // factor of steadyLoad
	gatewayShare      func(t time.Duration, gateway int) float64 // factor of a gateway's mean load
	notifyDelay       func(gateway int) time.Duration            // delay of a gateway's notification
	gatewayRestartAt  time.Duration                              // time at which all gateways restart
	failingFraction   float64                                    // fraction of servers that fail half their attempts
	silentBefore      bool                                       // restarted servers were silent for 2 s before
	units             func(random float64) float64               // units of a request, by a number from 0 to 1
	meanUnits         float64                                    // mean of units; 0: 1
	watchTime         time.Duration                              // time simulated after restartAt; 0: 4 s
	warmServersLeave  time.Duration                              // time from notification until other servers leave
	minShare          float64                                    // least permitted workShare; 0: not checked
}

// loadStep returns a load that changes from before to after at a time.
func loadStep(before, after float64, from time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < from {
			return before
		}
		return after
	}
}

// uneven is a gatewayShare that is below the mean for most gateways and above twice the mean for
// every fifth.
func uneven(_ time.Duration, gateway int) float64 {
	return []float64{0.6, 0.6, 0.8, 0.6, 2.4}[gateway%5]
}

var warmUpCases = []warmUpCase{
	{name: "steady", restartedFraction: 0.2, minShare: 0.5},
	{name: "uneven gateways", restartedFraction: 0.2, gatewayShare: uneven, minShare: 0.5},
	{name: "idle, then a burst", restartedFraction: 0.2, load: loadStep(0.2, 1, restartAt+2*time.Second)},
	// Guards against a burst of all gateways, after an idle period, at the only servers left.
	{
		name: "idle, then a burst on the warming servers only", restartedFraction: 0.05, watchTime: 20 * time.Second,
		warmServersLeave: 18 * time.Second, load: func(t time.Duration) float64 {
			switch {
			case t < restartAt+4*time.Second:
				return 1
			case t < restartAt+18*time.Second:
				return 0
			}
			return 4
		},
	},
	{name: "a burst beyond all servers", restartedFraction: 0.2, load: loadStep(0.4, 2, restartAt+time.Second)},
	{name: "all gateways restarted", restartedFraction: 0.2, gatewayRestartAt: restartAt + 1500*time.Millisecond},
	{name: "notified within six seconds", restartedFraction: 0.2, notifyDelay: func(g int) time.Duration {
		return time.Duration(g) * 2654435761 % (6 * time.Second) // a multiplicative hash spreads the delays
	}},
	{name: "half of the servers", restartedFraction: 0.5, load: loadStep(0.7, 0.7, 0)},
	{name: "half of the servers, more load than the rest can serve", restartedFraction: 0.5},
	{name: "retries", restartedFraction: 0.2, load: loadStep(0.7, 0.7, 0), failingFraction: 0.3, minShare: 0.5},
	{
		name: "requests of several times the mean", restartedFraction: 0.2, meanUnits: 1.7,
		units: func(random float64) float64 { return map[bool]float64{true: 8, false: 1}[random < 0.1] },
	},
	{name: "a shift of traffic", restartedFraction: 0.2, gatewayShare: func(t time.Duration, gateway int) float64 {
		switch {
		case t < restartAt-3*time.Second:
			return 1
		case (t < restartAt+2*time.Second) == (gateway%2 == 0):
			return 1.96
		}
		return 0.04
	}},
	{
		name: "a zone returns", restartedFraction: 0.33, load: loadStep(0.7, 0.7, 0), silentBefore: true,
		notifyDelay: func(g int) time.Duration { return time.Duration(g) * 2654435761 % time.Second },
	},
}

// arrival is an attempt that a server received.
type arrival struct {
	at       time.Duration
	work     float64 // relative to the mean work of a request
	notified bool    // the gateway knew of the server's restart
}

// restarted returns the servers that restart at restartAt.
func (sim *simulation) restarted() []*server {
	return sim.servers[:int(sim.restartedFraction*float64(len(sim.servers)))]
}

// warmUpFraction returns the fraction of its capacity that a server has at a time.
func (sim *simulation) warmUpFraction(s *server, at time.Duration) float64 {
	if s.startedAt == 0 {
		return 1
	}
	return min(1, sim.settings.WarmUpStart+
		(1-sim.settings.WarmUpStart)*float64(at-s.startedAt)/float64(sim.settings.WarmUpTime))
}

// worstOverload returns the greatest work that a warming server received within OverloadSpan, as a
// fraction of its budget N plus a deviation of 2 sqrt(N) + 2. It also returns that budget. A span
// in which gateways that were not notified of the restart sent a third of the work or more does
// not count.
func (sim *simulation) worstOverload() (fraction, budget float64) {
	for _, warming := range sim.restarted() {
		sum, notifiedWork, first := 0.0, 0.0, 0
		for _, latest := range warming.received {
			if latest.at < warming.startedAt {
				first++
				continue
			}
			sum += latest.work
			if latest.notified {
				notifiedWork += latest.work
			}
			for ; warming.received[first].at <= latest.at-sim.settings.OverloadSpan; first++ {
				if sum -= warming.received[first].work; warming.received[first].notified {
					notifiedWork -= warming.received[first].work
				}
			}
			warmUpFraction := sim.warmUpFraction(warming, latest.at)
			n := sim.settings.OverloadFactor * warmUpFraction * warmRate * sim.settings.OverloadSpan.Seconds()
			if ratio := sum / (n + 2*math.Sqrt(n) + 2); ratio > fraction && notifiedWork > sum*2/3 {
				fraction, budget = ratio, n
			}
		}
	}
	return fraction, budget
}

// workShare returns the work that the warming servers received, as a fraction of the work due to
// them: the work of the same number of warm servers, times the mean warm-up fraction.
func (sim *simulation) workShare() float64 {
	warming, warm := 0.0, 0.0
	for _, s := range sim.servers {
		for _, a := range s.received {
			switch {
			case a.at < time.Hour+restartAt:
			case s.startedAt > 0:
				warming += a.work
			default:
				warm += a.work
			}
		}
	}
	n := len(sim.restarted())
	due := warm / float64(len(sim.servers)-n) * float64(n) *
		sim.warmUpFraction(sim.servers[0], (time.Hour+restartAt+sim.end)/2)
	return warming / due
}

// Guards against a warming server that all gateways together overload.
func TestSlowStart_overAllGateways(t *testing.T) {
	for _, test := range warmUpCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, gateways := range []int{2, 20, 30, 300} {
				meanShare := 0.0
				const seeds = 2
				for seed := range int64(seeds) {
					sim := simulate(test, gateways, seed+1)
					fraction, budget := sim.worstOverload()
					meanShare += sim.workShare() / seeds
					t.Logf("%d gateways: %.2f of a budget of %.1f plus deviation, work share %.2f",
						gateways, fraction, budget, sim.workShare())
					if fraction > 1 {
						t.Errorf("%d gateways, seed %d: a warming server got %.2f of its budget of %.1f plus deviation",
							gateways,
							seed+1, fraction, budget)
					}
				}
				if meanShare < test.minShare || test.minShare > 0 && meanShare > 1.2 {
					t.Errorf("%d gateways: the warming servers got %.2f of the work due to them, want %.2f to 1.2",
						gateways, meanShare, test.minShare)
				}
			}
		})
	}
}
