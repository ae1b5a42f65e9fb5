package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// zoneFractions returns the average fraction of each zone in the weighted subsets of all
// gateways, and the number of gateways that select each server.
func zoneFractions(weights []float64, gateways int, list []Candidate, now time.Duration) ([]float64, map[uint32]int) {
	mean, selections := make([]float64, len(weights)), map[uint32]int{}
	for gateway := range gateways {
		s := New(gateway, gateways, 15*time.Second)
		s.SetWeights(weights, 0)
		selected, _ := s.Select(now, list)
		for _, endpoint := range selected {
			mean[endpoint.Zone] += 1 / float64(len(selected)) / float64(gateways)
			selections[endpoint.Server]++
		}
	}
	return mean, selections
}

// The zones' fractions match the weights on average over the fleet, although a single gateway
// cannot select a fraction of a server. Different gateways select servers of the zone with a small
// weight in each turn.
func TestSetWeights_averageOverTheFleetMatchesWeights(t *testing.T) {
	for _, gateways := range []int{30, 300} {
		list := newFleet(120, 3)
		want := []float64{0.68, 0.3, 0.02}
		selections := map[uint32]int{}
		for turns := range 5 {
			mean, inTurn := zoneFractions(want, gateways, list, time.Hour+time.Duration(turns)*turnInterval)
			for zone, fraction := range want {
				if math.Abs(mean[zone]-fraction) > 0.35/float64(gateways)+0.015 {
					t.Errorf("%d gateways: zone %d gets %.3f, want %.2f", gateways, zone, mean[zone], fraction)
				}
			}
			for server, n := range inTurn {
				selections[server] += n
			}
		}
		if len(selections) < 85 {
			t.Errorf("%d gateways: %d of 120 servers selected in any turn, want at least 85", gateways, len(selections))
		}
	}
}

// A zone with too few servers still gets its fraction, because fewer servers of the other zones are
// selected.
func TestSetWeights_zoneWithFewServersKeepsItsFraction(t *testing.T) {
	list := slices.DeleteFunc(newFleet(60, 2), func(candidate Candidate) bool {
		return candidate.Zone == 1 && candidate.Server > 4
	})
	mean, _ := zoneFractions([]float64{0.5, 0.5}, 20, list, time.Hour)
	if math.Abs(mean[1]-0.5) > 0.02 {
		t.Errorf("zone 1, with few servers, gets %.2f, want 0.50", mean[1])
	}
}

// A zone with weight 0 gets no servers. Apart from the fraction set by SetWeights, only the
// share of a zone without a ready server is shed.
func TestSetWeights_zoneOfWeightZeroGetsNoServers(t *testing.T) {
	list := newFleet(30, 3)
	for i := range list {
		if list[i].Zone == 0 {
			list[i].State = policy.Removed
		}
	}
	s := New(3, 30, 15*time.Second)
	s.SetWeights([]float64{0.3, 0.7, 0}, 0.5)
	selected, _ := s.Select(time.Hour, list)
	isOutsideZone1 := func(endpoint policy.Endpoint) bool { return endpoint.Zone != 1 }
	if len(selected) == 0 || slices.ContainsFunc(selected, isOutsideZone1) {
		t.Errorf("selected %v, want only servers of zone 1", selected)
	}
	shed, shedInThird := 0, 0 // of all requests, and of every third request
	for i := range 3000 {
		if s.ShouldShed() {
			shed++
			if i%3 == 0 {
				shedInThird++
			}
		}
	}
	if want := 3000 * (0.5 + 0.5*0.3); math.Abs(float64(shed)-want) > 5 || math.Abs(float64(shedInThird)-want/3) > 5 {
		t.Errorf("%d of 3000 requests shed, want %.0f; %d of every third request, want %.0f",
			shed, want, shedInThird, want/3)
	}
}

// unweightedHash is the hash of the selections made without weights.
const unweightedHash = 0x421af0ccf5576efb

// With nil weights the selections do not depend on weights that were set before.
func TestSetWeights_nilSelectsAsWithoutWeights(t *testing.T) {
	plainHash, afterWeightsHash := xxhash.New(), xxhash.New()
	for gateway := range 40 {
		withoutWeights, afterWeights := New(gateway, 300, 15*time.Second), New(gateway, 300, 15*time.Second)
		list := newFleet(200, 3)
		hashSelections(plainHash, withoutWeights, list)
		afterWeights.SetWeights([]float64{1, 0, 0}, 0.5)
		afterWeights.Select(time.Hour, list)
		afterWeights.SetWeights(nil, 0)
		hashSelections(afterWeightsHash, afterWeights, list)
		if afterWeights.ShouldShed() {
			t.Error("a request was shed without weights")
		}
	}
	if plainHash.Sum64() != unweightedHash || afterWeightsHash.Sum64() != unweightedHash {
		t.Errorf("hash %#x, and %#x after weights, want %#x",
			plainHash.Sum64(), afterWeightsHash.Sum64(), uint64(unweightedHash))
	}
}

// hashedEndpoint holds the fields of an endpoint that unweightedHash covers.
type hashedEndpoint struct {
	Server               uint32
	State                policy.EndpointState
	Capacity             float64
	StartedAt            time.Duration
	Rack, Zone, Hardware int
}

func hashSelections(hash *xxhash.Digest, s *Subset, list []Candidate) {
	for now := time.Hour; now < time.Hour+5*time.Second; now += time.Second / 4 {
		selected, sharers := s.Select(now, list)
		hashed := make([]hashedEndpoint, len(selected))
		for i, endpoint := range selected {
			hashed[i] = hashedEndpoint{
				endpoint.Server, endpoint.State, endpoint.Capacity, endpoint.StartedAt, endpoint.Rack, endpoint.Zone,
				endpoint.Hardware,
			}
			if endpoint.Owner != 0 || endpoint.Elective {
				_, _ = fmt.Fprintln(hash, "marked", endpoint)
			}
		}
		_, _ = fmt.Fprintln(hash, hashed, sharers, s.NeedsSelection(now+time.Minute))
		for i := range 9 {
			s.CountAttempt(now + time.Duration(i)*20*time.Millisecond)
		}
	}
}
