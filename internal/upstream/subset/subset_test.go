package subset

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// newFleet is so many ready servers, in halls in turn and cells of six.
func newFleet(servers, zones int) []Candidate {
	chance := rand.New(rand.NewSource(7))
	list := make([]Candidate, servers)
	for i := range list {
		zone := i % zones
		list[i] = Candidate{chance.Uint64(), policy.Endpoint{Server: uint32(i), State: policy.Ready, Zone: zone, Rack: i/zones/6*zones + zone}}
	}
	return list
}

// selectAtRate has a gateway push at a rate for a while, and gives its part then.
func selectAtRate(me, gateways int, rate float64, list []Candidate) ([]policy.Endpoint, float64) {
	s := New(me, gateways, 15*time.Second)
	now := time.Hour
	s.Select(now, list)
	for range int(rate * 40) {
		now += time.Duration(float64(time.Second) / rate)
		s.CountAttempt(now)
	}
	return s.Select(now, list)
}

// attemptRates is the pushes a second that each server gets from a fleet of gateways, each drawing evenly from its part.
func attemptRates(t *testing.T, gateways int, rate func(me int) float64, list []Candidate) []float64 {
	t.Helper()
	got := make([]float64, len(list))
	for me := range gateways {
		selected, _ := selectAtRate(me, gateways, rate(me), list)
		if len(selected) == 0 {
			t.Fatalf("gateway %d has no part", me)
		}
		for _, l := range selected {
			got[l.Server] += rate(me) / float64(len(selected))
		}
	}
	return got
}

// spread is the deviation of the loads of the ready, over their mean.
func spread(loads []float64, list []Candidate) (deviation, least, most float64) {
	sum, n, least := 0.0, 0.0, math.Inf(1)
	for i, l := range loads {
		if list[i].State == policy.Ready {
			sum, n = sum+l, n+1
			least, most = min(least, l), max(most, l)
		}
	}
	mean, square := sum/n, 0.0
	for i, l := range loads {
		if list[i].State == policy.Ready {
			square += (l - mean) * (l - mean)
		}
	}
	return math.Sqrt(square/n) / mean, least / mean, most / mean
}

func TestSelect_threeBusyGatewaysUseAllServers(t *testing.T) {
	list := newFleet(14, 2)
	for me := range 3 {
		selected, sharers := selectAtRate(me, 3, 140, list)
		if len(selected) != 14 || sharers != 3 {
			t.Errorf("gateway %d: %d servers shared by %.1f, want all 14 by 3", me, len(selected), sharers)
		}
	}
}

func TestSelect_quietGatewayAmongHundredsKeepsFewServers(t *testing.T) {
	list := newFleet(180, 3)
	selected, sharers := selectAtRate(17, 300, 9, list)
	if len(selected) < 10 || len(selected) > 14 {
		t.Errorf("%d servers for 9 pushes a second kept 15 s, want some 12", len(selected))
	}
	if want := 300 * float64(len(selected)) / 180; math.Abs(sharers-want) > 1e-9 {
		t.Errorf("shared by %.1f, want %.1f", sharers, want)
	}
	if selected, _ := selectAtRate(17, 300, 0.5, list); len(selected) < MinSize || len(selected) > MinSize+3 {
		t.Errorf("%d servers for hardly any pushes, want the least, %d", len(selected), MinSize)
	}
}

func TestSelect_loadIsEvenWhateverTheTrafficOfEachGateway(t *testing.T) {
	stories := []struct {
		name               string
		gateways, servers  int
		halls              int
		rate               func(me int) float64
		deviation, busiest float64
	}{
		{"300 alike", 300, 180, 3, func(int) float64 { return 9 }, 0.05, 1.15},
		{"a tenth with five times the others' traffic", 300, 180, 3, func(me int) float64 {
			if me%10 == 3 {
				return 36
			}
			return 7
		}, 0.08, 1.25},
		{"rates that rise with the number", 300, 180, 2, func(me int) float64 { return 4 + float64(me)/30 }, 0.08, 1.25},
		{"one hall", 120, 200, 1, func(int) float64 { return 8 }, 0.12, 1.25},
		{"1,000 gateways", 1000, 500, 4, func(int) float64 { return 10 }, 0.05, 1.15},
		{"10 gateways", 10, 60, 2, func(int) float64 { return 8 }, 0.15, 1.3},
	}
	for _, s := range stories {
		t.Run(s.name, func(t *testing.T) {
			list := newFleet(s.servers, s.halls)
			deviation, least, most := spread(attemptRates(t, s.gateways, s.rate, list), list)
			t.Logf("deviation %.3f, least %.2f, most %.2f of the mean", deviation, least, most)
			if deviation > s.deviation || most > s.busiest || least <= 0 {
				t.Errorf("deviation %.3f (at most %.2f), busiest %.2f (at most %.2f), least %.2f", deviation,
					s.deviation, most, s.busiest, least)
			}
		})
	}
}

func TestSelect_loadStaysEvenAfterALostZoneAndADeploy(t *testing.T) {
	list := newFleet(180, 3)
	for i := range list {
		if list[i].Zone == 1 {
			list[i].State = policy.Removed
		}
	}
	if deviation, _, most := spread(attemptRates(t, 300, func(int) float64 { return 9 }, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("a hall lost: deviation %.3f, busiest %.2f", deviation, most)
	}
	chance := rand.New(rand.NewSource(3))
	list = newFleet(180, 3)
	for i := range list {
		if chance.Float64() < 0.6 {
			list[i].State = policy.Draining
			list = append(list, Candidate{chance.Uint64(), policy.Endpoint{Server: uint32(len(list)), State: policy.Ready, Zone: list[i].Zone, Rack: list[i].Rack}})
		}
	}
	if deviation, _, most := spread(attemptRates(t, 300, func(int) float64 { return 9 }, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("six in ten replaced: deviation %.3f, busiest %.2f", deviation, most)
	}
}

func TestSelect_zoneIsCoveredEvenlyByItsOwnGateways(t *testing.T) {
	// Gateways favour servers of their hall. Where numbers go by hall, in turn or in blocks, those of one hall must
	// still cover its servers evenly.
	list := newFleet(180, 3)
	for name, local := range map[string]func(me int) bool{
		"in turn":   func(me int) bool { return me%3 == 1 },
		"in blocks": func(me int) bool { return me >= 100 && me < 200 },
	} {
		cover := make([]float64, len(list))
		for me := range 300 {
			if local(me) {
				selected, _ := selectAtRate(me, 300, 9, list)
				for _, l := range selected {
					cover[l.Server]++
				}
			}
		}
		if deviation, least, most := spread(cover, list); deviation > 0.12 || least < 0.7 || most > 1.35 {
			t.Errorf("%s: deviation %.3f, least %.2f, most %.2f", name, deviation, least, most)
		}
	}
}

func TestSelect_changesLittleWithTheList(t *testing.T) {
	list := newFleet(180, 3)
	s := New(5, 300, 15*time.Second)
	before, _ := s.Select(time.Second, list)
	moved := 0
	for gone := range list {
		changed := slices.Clone(list)
		changed[gone].State = policy.Removed
		after, _ := s.Select(time.Second, changed)
		fresh := 0
		for _, l := range after {
			if !slices.Contains(before, l) {
				fresh++
			}
		}
		moved += fresh
		if fresh > 2 {
			t.Errorf("one server gone brings %d new ones", fresh)
		}
	}
	if mean := float64(moved) / 180; mean > 1 {
		t.Errorf("one server gone brings %.2f new ones in the mean", mean)
	}
}

func TestSelect_racksStayTogether(t *testing.T) {
	list := newFleet(180, 3)
	selected, _ := selectAtRate(8, 300, 9, list)
	cells := map[int]int{}
	for _, l := range selected {
		cells[l.Rack]++
	}
	whole := 0
	for _, n := range cells {
		if n == 6 {
			whole++
		}
	}
	if whole < len(cells)-6 { // two cut cells a hall at most
		t.Errorf("%d of %d cells are whole: %v", whole, len(cells), cells)
	}
}

func TestSelect_orderOfTheListDoesNotMatter(t *testing.T) {
	list := newFleet(90, 2)
	s := New(3, 100, 15*time.Second)
	marks := func(list []Candidate) (all []uint32) {
		selected, _ := s.Select(time.Second, list)
		for _, l := range selected {
			all = append(all, l.Server)
		}
		slices.Sort(all)
		return all
	}
	want := marks(list)
	rand.New(rand.NewSource(9)).Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	if !slices.Equal(marks(list), want) {
		t.Error("the same servers in another order make another part")
	}
}

func TestIsDue_growsWithAttemptsAndRestsAtASteadyRate(t *testing.T) {
	list := newFleet(180, 3)
	s := New(5, 300, 15*time.Second)
	now := time.Hour
	first, _ := s.Select(now, list)
	if len(first) > MinSize+3 {
		t.Errorf("%d servers before any push, want %d", len(first), MinSize)
	}
	laid := 0
	size := len(first)
	for i := range 60 * 20 { // a minute at 20 pushes a second
		now += 50 * time.Millisecond
		s.CountAttempt(now)
		if s.IsDue(now) {
			selected, _ := s.Select(now, list)
			size = len(selected)
			if laid++; i > 30*20 {
				t.Errorf("laid out anew at second %d of a steady rate", i/20)
			}
		}
	}
	if size < 20 || size > 32 || laid > 8 {
		t.Errorf("%d servers after %d changes, want some 25 after a few", size, laid)
	}
	if rate := s.AttemptRate(now); math.Abs(rate-20) > 1 {
		t.Errorf("rate %.1f, want 20", rate)
	}
}

func TestSelect_noServersAndNoKeepAlive(t *testing.T) {
	if selected, sharers := New(0, 5, time.Second).Select(0, nil); len(selected) != 0 || sharers != 5 {
		t.Errorf("%v shared by %.0f of no servers", selected, sharers)
	}
	list := newFleet(50, 2)
	if selected, sharers := New(0, 5, 0).Select(0, list); len(selected) != 50 || sharers != 5 {
		t.Errorf("%d of 50 shared by %.0f where nothing is kept", len(selected), sharers)
	}
}
