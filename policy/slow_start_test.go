package policy_test

import (
	"math"
	"testing"
	"time"
)

// The cases run many gateways, each with its own module and subset of the servers, under one clock
// (slow_start_simulation_test.go).
const (
	warmRate     = 25.0            // requests of mean work that a warm server serves in a second
	restartAt    = 3 * time.Second // when some servers start
	watchTime    = 4 * time.Second // how long they are watched from then on
	steadyLoad   = 0.7             // part of what all servers can do, were they warm, that is asked
	networkDelay = 5 * time.Millisecond
)

// warmUpCase is a row: what comes when, and what happens to whom. What is left out is steady.
type warmUpCase struct {
	name              string
	restartedFraction float64                              // part of the servers that start
	load              func(t time.Duration) float64        // times the steady one
	gatewayShare      func(t time.Duration, g int) float64 // of a gateway, times the mean one's
	notifiedAfter     func(g int) time.Duration            // how long after a start a gateway is notified
	restart           time.Duration                        // of all gateways
	failing           float64                              // part of the servers that fail half of the requests
	silentBefore      bool                                 // those that start were silent for two seconds before
	units             func(lot float64) float64            // of a request, by a random number
	meanUnits         float64                              // of these; 0: 1
	watchTime         time.Duration                        // from the start on; 0: watchTime
	warmServersLeave  time.Duration                        // after the start, when the warm servers do; 0: they stay
	minShare          float64                              // the least part of their due that the warming ones must get
}

// burst is a load that is low until a time, and high from then on.
func burst(low, high float64, from time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t < from {
			return low
		}
		return high
	}
}

// uneven gives most gateways less than the mean, and some several times that.
func uneven(_ time.Duration, gateway int) float64 {
	return []float64{0.6, 0.6, 0.8, 0.6, 2.4}[gateway%5]
}

var warmUpCases = []warmUpCase{
	{name: "steady", restartedFraction: 0.2, minShare: 0.5},
	{name: "uneven gateways", restartedFraction: 0.2, gatewayShare: uneven, minShare: 0.5},
	{name: "idle, then a burst", restartedFraction: 0.2, load: burst(0.2, 1, restartAt+2*time.Second)},
	// Guards against gateways that all send at once, after a rest, to the only servers left.
	{
		name: "at rest, then all at once on the warming one", restartedFraction: 0.05, watchTime: 20 * time.Second,
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
	{name: "a burst beyond all servers", restartedFraction: 0.2, load: burst(0.4, 2, restartAt+time.Second)},
	{name: "all gateways restarted", restartedFraction: 0.2, restart: restartAt + 1500*time.Millisecond},
	{name: "notified within six seconds", restartedFraction: 0.2, notifiedAfter: func(g int) time.Duration {
		return time.Duration(g) * 2654435761 % (6 * time.Second)
	}},
	{name: "half of the servers", restartedFraction: 0.5, load: burst(0.7, 0.7, 0)},
	{name: "half of the servers, too much for the rest", restartedFraction: 0.5},
	{name: "retries", restartedFraction: 0.2, load: burst(0.7, 0.7, 0), failing: 0.3, minShare: 0.5},
	{
		name: "requests of several times the mean", restartedFraction: 0.2, meanUnits: 1.7,
		units: func(lot float64) float64 { return map[bool]float64{true: 8, false: 1}[lot < 0.1] },
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
		name: "a zone back", restartedFraction: 0.33, load: burst(0.7, 0.7, 0), silentBefore: true,
		notifiedAfter: func(g int) time.Duration { return time.Duration(g) * 2654435761 % time.Second },
	},
}

type arrival struct {
	at       time.Duration
	work     float64
	notified bool // its gateway had been notified of the start
}

func (f *simulation) restarted() []*server {
	return f.servers[:int(f.restartedFraction*float64(len(f.servers)))]
}

func (f *simulation) warmUpFraction(s *server, at time.Duration) float64 {
	if s.since == 0 {
		return 1
	}
	return min(1, f.settings.WarmUpStart+(1-f.settings.WarmUpStart)*float64(at-s.since)/float64(f.settings.WarmUpTime))
}

// worstOverload is the most that a warming server got of all gateways in the span that the settings
// name, as a part of its budget N with a deviation of 2 sqrt(N) + 2, and that budget. Like the
// rule, it passes over what gateways sent that had not been notified of the start, if it was a
// third.
func (f *simulation) worstOverload() (part, budget float64) {
	for _, warming := range f.restarted() {
		sum, known, first := 0.0, 0.0, 0
		for _, one := range warming.sent {
			if one.at < warming.since {
				first++
				continue
			}
			sum += one.work
			if one.notified {
				known += one.work
			}
			for ; warming.sent[first].at <= one.at-f.settings.OverloadSpan; first++ {
				if sum -= warming.sent[first].work; warming.sent[first].notified {
					known -= warming.sent[first].work
				}
			}
			fraction := f.warmUpFraction(warming, one.at)
			n := f.settings.OverloadFactor * fraction * warmRate * f.settings.OverloadSpan.Seconds()
			if p := sum / (n + 2*math.Sqrt(n) + 2); p > part && known > sum*2/3 {
				part, budget = p, n
			}
		}
	}
	return part, budget
}

// shareOfDue is what the warming servers got, as a part of their warm-up fraction of a warm one's
// work.
func (f *simulation) shareOfDue() float64 {
	warming, warm := 0.0, 0.0
	for _, s := range f.servers {
		for _, a := range s.sent {
			switch {
			case a.at < time.Hour+restartAt:
			case s.since > 0:
				warming += a.work
			default:
				warm += a.work
			}
		}
	}
	n := len(f.restarted())
	all := warm / float64(len(f.servers)-n) * float64(n) * f.warmUpFraction(f.servers[0], (time.Hour+restartAt+f.end)/2)
	return warming / all
}

// Guards against a warming server that is overloaded by all gateways together.
func TestSlowStart_overAllGateways(t *testing.T) {
	for _, test := range warmUpCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, gateways := range []int{2, 20, 30, 300} {
				got := 0.0
				const seeds = 2
				for seed := range int64(seeds) {
					f := simulate(test, gateways, seed+1)
					part, n := f.worstOverload()
					got += f.shareOfDue() / seeds
					t.Logf("%d gateways: %.2f of a budget of %.1f and its deviation; share %.2f",
						gateways, part, n, f.shareOfDue())
					if part > 1 {
						t.Errorf("%d gateways, seed %d: a warming server got %.2f of its budget of %.1f and deviation",
							gateways,
							seed+1, part, n)
					}
				}
				if got < test.minShare || test.minShare > 0 && got > 1.2 {
					t.Errorf("%d gateways: the warming servers got %.2f of their due, want %.2f to 1.2",
						gateways, got, test.minShare)
				}
			}
		})
	}
}
