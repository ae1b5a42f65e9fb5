package simulation

import (
	"math"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// erlangC is the chance that a task waits at c cores kept busy by a part rho, and so the mean wait over the mean
// work: C / (c (1 - rho)).
func erlangC(c int, rho float64) (waits, mean float64) {
	a := float64(c) * rho
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / float64(c) / (1 - rho)
	waits = last / (sum + last)
	return waits, waits / (float64(c) * (1 - rho))
}

// open is a world without limits of any kind: tasks come by chance to servers of so many cores.
func openScenario(servers, cores int, rho float64, length time.Duration) *scenario.Scenario {
	w := scenario.Default()
	w.Length = scenario.Span(length)
	w.Gateways.Count, w.Gateways.Zones = 1, 1
	w.Servers.Count, w.Servers.Cores, w.Servers.QueueLimit = servers, cores, 1e6
	w.Servers.Speed = [2]float64{1, 1}
	w.Servers.HandshakeWork, w.Servers.MaxConnections = 0, 1e6
	w.Network.SameZone, w.Network.CrossZone, w.Network.Jitter = 0, 0, 0
	work := 20 * time.Millisecond
	w.Classes = []scenario.TrafficClass{{
		Name: "only", Share: 1, Work: scenario.Span(work), Distribution: "exponential",
		LatencyObjective: scenario.Span(time.Hour), Timeout: scenario.Span(time.Hour), Weight: 1, Effect: "pure",
	}}
	w.Plans = []scenario.Plan{{Name: "free", Share: 1, Customers: 10, Price: 1}}
	w.Counter.Rate = 0
	w.Clients.Retries = 0
	w.Load.Rate = rho * float64(servers*cores) / work.Seconds()
	return &w
}

func TestServer_waitsMatchErlangC(t *testing.T) {
	for _, s := range []struct {
		cores int
		rho   float64
	}{{1, 0.5}, {2, 0.5}, {4, 0.7}, {16, 0.9}} {
		tasks := 100000.0
		if s.rho > 0.8 {
			tasks *= 2
		}
		spec := openScenario(1, s.cores, s.rho, 0)
		spec.Length = scenario.Span(time.Duration(tasks / spec.Load.Rate * float64(time.Second)))
		r, err := Run(spec, 11, baseline.Random)
		if err != nil {
			t.Fatal(err)
		}
		_, wait := erlangC(s.cores, s.rho)
		want := (1 + wait) * 20 // ms: work and wait
		got := r.AnswerTimes(0).Mean()/1000 - 0.5
		// The way to the gateway is in the time. A mean within 3% needs some 200,000 tasks at 0.9.
		if off := math.Abs(got/want - 1); off > 0.03 {
			t.Errorf("%d cores at %.0f%%: %.2f ms, theory says %.2f (%.1f%% off)", s.cores, s.rho*100, got, want, off*100)
		} else {
			t.Logf("%d cores at %.0f%%: %.2f ms, theory %.2f (%.1f%% off), %d tasks", s.cores, s.rho*100, got, want, off*100, r.Offered)
		}
	}
}

func TestServers_twoChoicesMatchTheory(t *testing.T) {
	// With many servers of one core, the part that holds k tasks or more tends to rho^k with one random choice
	// and to rho^(2^k - 1) with two (Vvedenskaya, Dobrushin, Karpelevich 1996). By Little's law the mean time in
	// the system over the mean work is the sum of those parts over k, by rho.
	rho := 0.8
	mean := func(made baseline.Constructor) float64 {
		r, err := Run(openScenario(200, 1, rho, 12*time.Second), 5, made)
		if err != nil {
			t.Fatal(err)
		}
		return (r.AnswerTimes(0).Mean()/1000 - 0.5) / 20
	}
	one, two := 1/(1-rho), 0.0
	for k := 1; k < 12; k++ {
		two += math.Pow(rho, math.Pow(2, float64(k))-1) / rho
	}
	if got := mean(baseline.Random); math.Abs(got/one-1) > 0.05 {
		t.Errorf("one choice: %.2f, theory %.2f", got, one)
	}
	// One gateway sees all tasks, so its own counts are the servers' true ones.
	if got := mean(baseline.Bucket); math.Abs(got/two-1) > 0.05 {
		t.Errorf("two choices: %.2f, theory %.2f", got, two)
	}
}
