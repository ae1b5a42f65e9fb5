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

// meanFractions is the part of servers by hall that all gateways are handed, in the mean, by weights; and which servers.
func meanFractions(weights []float64, gateways int, list []Candidate, zones int, now time.Duration) ([]float64, map[uint32]int) {
	mean, met := make([]float64, zones), map[uint32]int{}
	for me := range gateways {
		s := New(me, gateways, 15*time.Second)
		s.SetWeights(weights, 0)
		selected, _ := s.Select(now, list)
		for _, l := range selected {
			mean[l.Zone] += 1 / float64(len(selected)) / float64(gateways)
			met[l.Server]++
		}
	}
	return mean, met
}

// Shares hold in the mean over the fleet, though no gateway has a fiftieth of a server; and other gateways try it in turn.
func TestSetWeights_holdOverTheFleet(t *testing.T) {
	for _, gateways := range []int{30, 300} {
		list := newFleet(120, 3)
		want := []float64{0.68, 0.3, 0.02}
		met := map[uint32]int{}
		for turns := range 5 {
			mean, now := meanFractions(want, gateways, list, 3, time.Hour+time.Duration(turns)*turnInterval)
			for zone, fraction := range want {
				if math.Abs(mean[zone]-fraction) > 0.35/float64(gateways)+0.015 {
					t.Errorf("%d gateways: hall %d gets %.3f, not %.2f", gateways, zone, mean[zone], fraction)
				}
			}
			for server, n := range now {
				met[server] += n
			}
		}
		if len(met) < 85 {
			t.Errorf("%d gateways: only %d of 120 servers met", gateways, len(met))
		}
	}
}

// A hall with too few servers gets its share all the same, as fewer of the others are handed over.
func TestSetWeights_zoneWithFewServersKeepsItsFraction(t *testing.T) {
	list := slices.DeleteFunc(newFleet(60, 2), func(candidate Candidate) bool { return candidate.Zone == 1 && candidate.Server > 4 })
	mean, _ := meanFractions([]float64{0.5, 0.5}, 20, list, 2, time.Hour)
	if math.Abs(mean[1]-0.5) > 0.02 {
		t.Errorf("two servers get %.2f", mean[1])
	}
}

// A hall with no weight gets nothing; what belongs to a hall without a server ready is shed, and no one else's.
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
	if len(selected) == 0 || slices.ContainsFunc(selected, func(l policy.Endpoint) bool { return l.Zone != 1 }) {
		t.Errorf("part %v", selected)
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

// unweightedHash is the hash of the parts that the pool laid out before it knew weights.
const unweightedHash = 0x421af0ccf5576efb

// Without weights, also after some, the parts are the same as they ever were.
func TestSetWeights_nilSelectsAsWithoutWeights(t *testing.T) {
	plain, steered := xxhash.New(), xxhash.New()
	for me := range 40 {
		a, b := New(me, 300, 15*time.Second), New(me, 300, 15*time.Second)
		list := newFleet(200, 3)
		hashSelections(plain, a, list)
		b.SetWeights([]float64{1, 0, 0}, 0.5)
		b.Select(time.Hour, list)
		b.SetWeights(nil, 0)
		hashSelections(steered, b, list)
		if b.ShouldShed() {
			t.Error("a task is shed")
		}
	}
	if plain.Sum64() != unweightedHash || steered.Sum64() != unweightedHash {
		t.Errorf("parts of %#x, and after weights %#x", plain.Sum64(), steered.Sum64())
	}
}

// hashedEndpoint is what of a server the hash was taken over.
type hashedEndpoint struct {
	Server           uint32
	Stage            policy.EndpointState
	Power            float64
	Since            time.Duration
	Cell, Hall, Kind int
}

func hashSelections(h *xxhash.Digest, s *Subset, list []Candidate) {
	for now := time.Hour; now < time.Hour+5*time.Second; now += time.Second / 4 {
		selected, sharers := s.Select(now, list)
		was := make([]hashedEndpoint, len(selected))
		for i, l := range selected {
			was[i] = hashedEndpoint{l.Server, l.State, l.Capacity, l.StartedAt, l.Rack, l.Zone, l.Hardware}
			if l.Owner != 0 || l.Elective {
				_, _ = fmt.Fprintln(h, "marked", l)
			}
		}
		_, _ = fmt.Fprintln(h, was, sharers, s.IsDue(now+time.Minute))
		for i := range 9 {
			s.CountAttempt(now + time.Duration(i)*20*time.Millisecond)
		}
	}
}
