package simulation

import (
	"math"
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// erlangC is the probability that a request waits at c cores with utilisation rho, and the mean
// wait over the mean work that follows from it: C / (c (1 - rho)).
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

// openScenario is a scenario without limits of any kind: requests come at random to servers of so
// many cores.
func openScenario(servers, cores int, rho float64, length time.Duration) *scenario.Scenario {
	spec := scenario.Default()
	spec.Length = scenario.Span(length)
	spec.Gateways.Count, spec.Gateways.Zones = 1, 1
	spec.Servers.Count, spec.Servers.Cores, spec.Servers.QueueLimit = servers, cores, 1e6
	spec.Servers.Speed = [2]float64{1, 1}
	spec.Servers.HandshakeWork, spec.Servers.MaxConnections = 0, 1e6
	spec.Network.SameZone, spec.Network.CrossZone, spec.Network.Jitter = 0, 0, 0
	work := 20 * time.Millisecond
	spec.Classes = []scenario.TrafficClass{{
		Name: "only", Share: 1, Work: scenario.Span(work), Distribution: scenario.DistributionExponential,
		LatencyObjective: scenario.Span(time.Hour), Timeout: scenario.Span(time.Hour), Weight: 1,
		Effect: scenario.EffectIdempotent,
	}}
	spec.Plans = []scenario.Plan{{Name: "free", Share: 1, Customers: 10, Price: 1}}
	spec.Counter.Rate = 0
	spec.Clients.Retries = 0
	spec.Load.Rate = rho * float64(servers*cores) / work.Seconds()
	return &spec
}

// clientDelayMs is the time from a client to its gateway, in milliseconds; answer times have it in
// them.
const clientDelayMs = 0.5

func TestServer_waitsMatchErlangC(t *testing.T) {
	for _, test := range []struct {
		name     string
		cores    int
		rho      float64
		requests float64 // a mean within 3% needs some 200,000 at 0.9
	}{
		{"one core at 0.5", 1, 0.5, 100_000},
		{"two cores at 0.5", 2, 0.5, 100_000},
		{"four cores at 0.7", 4, 0.7, 100_000},
		{"sixteen cores at 0.9", 16, 0.9, 200_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := openScenario(1, test.cores, test.rho, 0)
			spec.Length = scenario.Span(time.Duration(test.requests / spec.Load.Rate * float64(time.Second)))
			r, err := Run(spec, 11, baseline.Random)
			if err != nil {
				t.Fatal(err)
			}
			_, wait := erlangC(test.cores, test.rho)
			want := (1 + wait) * 20 // ms: work and wait
			got := r.AnswerTimes(0).Mean()/1000 - clientDelayMs
			off := math.Abs(got/want - 1)
			t.Logf("%.2f ms, theory %.2f (%.1f%% off), %d requests", got, want, off*100, r.Offered)
			if off > 0.03 {
				t.Errorf("%.2f ms, theory says %.2f (%.1f%% off)", got, want, off*100)
			}
		})
	}
}

func TestServers_twoChoicesMatchTheory(t *testing.T) {
	// With many servers of one core, the part that has k requests or more tends to rho^k with one
	// random choice and to rho^(2^k - 1) with two (Vvedenskaya, Dobrushin, Karpelevich 1996). By
	// Little's law the mean time in the system over the mean work is the sum of those parts over k,
	// by rho.
	const rho = 0.8
	mean := func(newPolicy baseline.Constructor) float64 {
		r, err := Run(openScenario(200, 1, rho, 12*time.Second), 5, newPolicy)
		if err != nil {
			t.Fatal(err)
		}
		return (r.AnswerTimes(0).Mean()/1000 - clientDelayMs) / 20
	}
	one, two := 1/(1-rho), 0.0
	for k := 1; k < 12; k++ {
		two += math.Pow(rho, math.Pow(2, float64(k))-1) / rho
	}
	if got := mean(baseline.Random); math.Abs(got/one-1) > 0.05 {
		t.Errorf("one choice: %.2f, theory %.2f", got, one)
	}
	// One gateway sees all requests, so that its own counts are the servers' true ones.
	if got := mean(baseline.Bucket); math.Abs(got/two-1) > 0.05 {
		t.Errorf("two choices: %.2f, theory %.2f", got, two)
	}
}
