package subset

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"harrierhoist/policy"
)

// newFleet returns a list of ready servers, assigned to zones in round-robin order and to racks of
// six.
func newFleet(servers, zones int) []Candidate {
	random := rand.New(rand.NewSource(7))
	list := make([]Candidate, servers)
	for i := range list {
		zone := i % zones
		list[i] = Candidate{random.Uint64(), policy.Endpoint{
			Server: uint32(i), State: policy.Ready, Zone: zone, Rack: i/zones/6*zones + zone,
		}}
	}
	return list
}

// selectAtRate returns a gateway's subset, and the number of gateways that share each server, after
// the gateway has made attempts at the given rate per second for 40 s.
func selectAtRate(gateway, gateways int, rate float64, list []Candidate) ([]policy.Endpoint, float64) {
	s := New(gateway, gateways, 15*time.Second)
	now := time.Hour
	s.Select(now, list)
	for range int(rate * 40) {
		now += time.Duration(float64(time.Second) / rate)
		s.CountAttempt(now)
	}
	return s.Select(now, list)
}

// attemptRates returns the attempts per second that each server receives from all gateways, if each
// gateway distributes its attempts evenly over its subset.
func attemptRates(t *testing.T, gateways int, rate func(gateway int) float64, list []Candidate) []float64 {
	t.Helper()
	got := make([]float64, len(list))
	for gateway := range gateways {
		selected, _ := selectAtRate(gateway, gateways, rate(gateway), list)
		if len(selected) == 0 {
			t.Fatalf("gateway %d has an empty subset", gateway)
		}
		for _, endpoint := range selected {
			got[endpoint.Server] += rate(gateway) / float64(len(selected))
		}
	}
	return got
}

// loadSpread returns the standard deviation, the minimum and the maximum of the loads of the ready
// servers, each relative to their mean.
func loadSpread(loads []float64, list []Candidate) (deviation, least, most float64) {
	sum, ready, least := 0.0, 0.0, math.Inf(1)
	for i, load := range loads {
		if list[i].State == policy.Ready {
			sum, ready = sum+load, ready+1
			least, most = min(least, load), max(most, load)
		}
	}
	mean, square := sum/ready, 0.0
	for i, load := range loads {
		if list[i].State == policy.Ready {
			square += (load - mean) * (load - mean)
		}
	}
	return math.Sqrt(square/ready) / mean, least / mean, most / mean
}
