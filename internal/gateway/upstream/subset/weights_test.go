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

// meanFractions is the fraction of each zone in the subsets of all gateways, on average, by
// weights; and how many gateways have each server.
func meanFractions(weights []float64, gateways int, list []Candidate, now time.Duration) ([]float64, map[uint32]int) {
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

// Weights hold on average over the fleet, though no gateway has a fiftieth of a server; and other
// gateways try it in turn.
func TestSetWeights_holdOverTheFleet(t *testing.T) {
	for _, gateways := range []int{30, 300} {
		list := newFleet(120, 3)
		want := []float64{0.68, 0.3, 0.02}
		selections := map[uint32]int{}
		for turns := range 5 {
			mean, inTurn := meanFractions(want, gateways, list, time.Hour+time.Duration(turns)*turnInterval)
			for zone, fraction := range want {
				if math.Abs(mean[zone]-fraction) > 0.35/float64(gateways)+0.015 {
					t.Errorf("%d gateways: zone %d gets %.3f, not %.2f", gateways, zone, mean[zone], fraction)
				}
			}
			for server, n := range inTurn {
				selections[server] += n
			}
		}
		if len(selections) < 85 {
			t.Errorf("%d gateways: only %d of 120 servers selected", gateways, len(selections))
		}
	}
}

// A zone with too few servers gets its fraction all the same, as fewer of the others are selected.
func TestSetWeights_zoneWithFewServersKeepsItsFraction(t *testing.T) {
	list := slices.DeleteFunc(newFleet(60, 2), func(candidate Candidate) bool {
		return candidate.Zone == 1 && candidate.Server > 4
	})
	mean, _ := meanFractions([]float64{0.5, 0.5}, 20, list, time.Hour)
	if math.Abs(mean[1]-0.5) > 0.02 {
		t.Errorf("two servers get %.2f", mean[1])
	}
}

// A zone without a weight gets nothing; what belongs to a zone without a server that is ready is
// shed, and nothing else.
func TestSetWeights_unplannedZoneGetsNothing(t *testing.T) {
	list := newFleet(30, 3)
	for i := range list {
		if list[i].Zone == 0 {
			list[i].State = policy.Removed
		}
	}
	s := New(3, 30, 15*time.Second)
	s.SetWeights([]float64{0.3, 0.7, 0}, 0.5)
	selected, _ := s.Select(time.Hour, list)
	isUnplanned := func(endpoint policy.Endpoint) bool { return endpoint.Zone != 1 }
	if len(selected) == 0 || slices.ContainsFunc(selected, isUnplanned) {
		t.Errorf("selected %v", selected)
	}
	shed, third := 0, 0
	for i := range 3000 {
		if s.ShouldShed() {
			shed++
			if i%3 == 0 {
				third++
			}
		}
	}
	if want := 3000 * (0.5 + 0.5*0.3); math.Abs(float64(shed)-want) > 5 || math.Abs(float64(third)-want/3) > 5 {
		t.Errorf("%d of 3000 shed, %d of every third, not %.0f", shed, third, want)
	}
}

// unweightedHash is the hash of the subsets from before there were weights.
const unweightedHash = 0x421af0ccf5576efb

// Without weights, also after some, the subsets are the same as before there were any.
func TestSetWeights_nilSelectsAsWithoutWeights(t *testing.T) {
	plain, weighted := xxhash.New(), xxhash.New()
	for gateway := range 40 {
		never, once := New(gateway, 300, 15*time.Second), New(gateway, 300, 15*time.Second)
		list := newFleet(200, 3)
		hashSelections(plain, never, list)
		once.SetWeights([]float64{1, 0, 0}, 0.5)
		once.Select(time.Hour, list)
		once.SetWeights(nil, 0)
		hashSelections(weighted, once, list)
		if once.ShouldShed() {
			t.Error("a request is shed")
		}
	}
	if plain.Sum64() != unweightedHash || weighted.Sum64() != unweightedHash {
		t.Errorf("subsets of %#x, and after weights %#x", plain.Sum64(), weighted.Sum64())
	}
}

// hashedEndpoint is what of a server the hash was taken over.
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
		_, _ = fmt.Fprintln(hash, hashed, sharers, s.IsDue(now+time.Minute))
		for i := range 9 {
			s.CountAttempt(now + time.Duration(i)*20*time.Millisecond)
		}
	}
}
