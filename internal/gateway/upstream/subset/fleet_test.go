package subset

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"harrierhoist/policy"
)

// newFleet is a list of ready servers, spread over zones in turn and in racks of six.
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

// selectAtRate has a gateway make attempts at a rate for a while, and returns its subset then.
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

// attemptRates is the attempts a second that each server gets from all gateways, each drawing
// evenly from its subset.
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

// spread is the standard deviation of the loads of servers that are ready, the least and the
// greatest, over their mean.
func spread(loads []float64, list []Candidate) (deviation, least, most float64) {
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
