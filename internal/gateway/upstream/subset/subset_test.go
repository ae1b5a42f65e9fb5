package subset

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

func TestSelect_threeBusyGatewaysUseAllServers(t *testing.T) {
	list := newFleet(14, 2)
	for gateway := range 3 {
		selected, sharers := selectAtRate(gateway, 3, 140, list)
		if len(selected) != 14 || sharers != 3 {
			t.Errorf("gateway %d: %d servers shared by %.1f, want all 14 by 3", gateway, len(selected), sharers)
		}
	}
}

func TestSelect_quietGatewayAmongHundredsUsesFewServers(t *testing.T) {
	list := newFleet(180, 3)
	selected, sharers := selectAtRate(17, 300, 9, list)
	if len(selected) < 10 || len(selected) > 14 {
		t.Errorf("%d servers for 9 attempts a second and 15 s, want about 12", len(selected))
	}
	if want := 300 * float64(len(selected)) / 180; math.Abs(sharers-want) > 1e-9 {
		t.Errorf("shared by %.1f, want %.1f", sharers, want)
	}
	if selected, _ := selectAtRate(17, 300, 0.5, list); len(selected) < MinSize || len(selected) > MinSize+3 {
		t.Errorf("%d servers for 0.5 attempts a second, want %d to %d", len(selected), MinSize, MinSize+3)
	}
}

func TestSelect_loadIsEvenForAnyTrafficDistribution(t *testing.T) {
	for _, row := range []struct {
		name               string
		gateways, servers  int
		zones              int
		rate               func(gateway int) float64
		deviation, busiest float64
	}{
		{"300 gateways with equal traffic", 300, 180, 3, func(int) float64 { return 9 }, 0.05, 1.15},
		{"a tenth of the gateways with five times the traffic", 300, 180, 3, func(gateway int) float64 {
			if gateway%10 == 3 {
				return 36
			}
			return 7
		}, 0.08, 1.25},
		{"rate grows with the gateway's index", 300, 180, 2, func(gateway int) float64 {
			return 4 + float64(gateway)/30
		}, 0.08, 1.25},
		{"one zone", 120, 200, 1, func(int) float64 { return 8 }, 0.12, 1.25},
		{"1,000 gateways", 1000, 500, 4, func(int) float64 { return 10 }, 0.05, 1.15},
		{"10 gateways", 10, 60, 2, func(int) float64 { return 8 }, 0.15, 1.3},
	} {
		t.Run(row.name, func(t *testing.T) {
			list := newFleet(row.servers, row.zones)
			deviation, least, most := loadSpread(attemptRates(t, row.gateways, row.rate, list), list)
			t.Logf("deviation %.3f, least %.2f, most %.2f of the mean", deviation, least, most)
			if deviation > row.deviation || most > row.busiest || least <= 0 {
				t.Errorf("deviation %.3f (at most %.2f), busiest %.2f (at most %.2f), least %.2f", deviation,
					row.deviation, most, row.busiest, least)
			}
		})
	}
}

func TestSelect_loadStaysEvenAfterZoneLossAndDeploy(t *testing.T) {
	steady := func(int) float64 { return 9 }
	list := newFleet(180, 3)
	for i := range list {
		if list[i].Zone == 1 {
			list[i].State = policy.Removed
		}
	}
	if deviation, _, most := loadSpread(attemptRates(t, 300, steady, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("after the loss of a zone: deviation %.3f, busiest %.2f", deviation, most)
	}
	random := rand.New(rand.NewSource(3))
	list = newFleet(180, 3)
	for i := range list {
		if random.Float64() < 0.6 {
			list[i].State = policy.Draining
			list = append(list, Candidate{random.Uint64(), policy.Endpoint{
				Server: uint32(len(list)), State: policy.Ready, Zone: list[i].Zone, Rack: list[i].Rack,
			}})
		}
	}
	if deviation, _, most := loadSpread(attemptRates(t, 300, steady, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("after six in ten servers were replaced: deviation %.3f, busiest %.2f", deviation, most)
	}
}

// Gateways prefer servers of their own zone, so the gateways of a zone must cover its servers
// evenly. This must hold if gateway indexes are assigned to zones round-robin, and if in contiguous
// blocks.
func TestSelect_zoneIsCoveredEvenlyByItsOwnGateways(t *testing.T) {
	list := newFleet(180, 3)
	for name, local := range map[string]func(gateway int) bool{
		"round-robin": func(gateway int) bool { return gateway%3 == 1 },
		"in blocks":   func(gateway int) bool { return gateway >= 100 && gateway < 200 },
	} {
		t.Run(name, func(t *testing.T) {
			cover := make([]float64, len(list))
			for gateway := range 300 {
				if !local(gateway) {
					continue
				}
				selected, _ := selectAtRate(gateway, 300, 9, list)
				for _, endpoint := range selected {
					cover[endpoint.Server]++
				}
			}
			if deviation, least, most := loadSpread(cover, list); deviation > 0.12 || least < 0.7 || most > 1.35 {
				t.Errorf("deviation %.3f, least %.2f, most %.2f", deviation, least, most)
			}
		})
	}
}

func TestSelect_changesLittleWithTheList(t *testing.T) {
	list := newFleet(180, 3)
	s := New(5, 300, 15*time.Second)
	before, _ := s.Select(time.Second, list)
	replaced := 0
	for removed := range list {
		changed := slices.Clone(list)
		changed[removed].State = policy.Removed
		after, _ := s.Select(time.Second, changed)
		added := 0
		for _, endpoint := range after {
			if !slices.Contains(before, endpoint) {
				added++
			}
		}
		replaced += added
		if added > 2 {
			t.Errorf("removing one server adds %d others to the subset, want at most 2", added)
		}
	}
	if mean := float64(replaced) / 180; mean > 1 {
		t.Errorf("removing one server adds %.2f others on average, want at most 1", mean)
	}
}

func TestSelect_racksStayTogether(t *testing.T) {
	list := newFleet(180, 3)
	selected, _ := selectAtRate(8, 300, 9, list)
	racks := map[int]int{}
	for _, endpoint := range selected {
		racks[endpoint.Rack]++
	}
	complete := 0
	for _, n := range racks {
		if n == 6 {
			complete++
		}
	}
	if complete < len(racks)-6 { // at most two racks per zone are cut
		t.Errorf("%d of %d racks are complete: %v", complete, len(racks), racks)
	}
}

func TestSelect_orderOfTheListDoesNotMatter(t *testing.T) {
	list := newFleet(90, 2)
	s := New(3, 100, 15*time.Second)
	servers := func(list []Candidate) (all []uint32) {
		selected, _ := s.Select(time.Second, list)
		for _, endpoint := range selected {
			all = append(all, endpoint.Server)
		}
		slices.Sort(all)
		return all
	}
	want := servers(list)
	rand.New(rand.NewSource(9)).Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	if !slices.Equal(servers(list), want) {
		t.Error("the subset depends on the order of the list")
	}
}

func TestNeedsSelection_onlyWhileTheAttemptRateChanges(t *testing.T) {
	list := newFleet(180, 3)
	s := New(5, 300, 15*time.Second)
	now := time.Hour
	first, _ := s.Select(now, list)
	if len(first) > MinSize+3 {
		t.Errorf("%d servers before any attempt, want %d", len(first), MinSize)
	}
	selections := 0
	size := len(first)
	for i := range 60 * 20 { // a minute at 20 attempts a second
		now += 50 * time.Millisecond
		s.CountAttempt(now)
		if s.NeedsSelection(now) {
			selected, _ := s.Select(now, list)
			size = len(selected)
			selections++
			if i > 30*20 {
				t.Errorf("selection due after %d s at a steady rate", i/20)
			}
		}
	}
	if size < 20 || size > 32 || selections > 8 {
		t.Errorf("%d servers after %d selections, want about 25 after at most 8", size, selections)
	}
	if rate := s.AttemptRate(now); math.Abs(rate-20) > 1 {
		t.Errorf("rate %.1f, want 20", rate)
	}
}

func TestSelect_noServersAndNoIdleTimeout(t *testing.T) {
	if selected, sharers := New(0, 5, time.Second).Select(0, nil); len(selected) != 0 || sharers != 5 {
		t.Errorf("empty list: selected %v, shared by %.0f, want none shared by 5", selected, sharers)
	}
	list := newFleet(50, 2)
	if selected, sharers := New(0, 5, 0).Select(0, list); len(selected) != 50 || sharers != 5 {
		t.Errorf("no idle timeout: selected %d servers, shared by %.0f, want 50 shared by 5", len(selected), sharers)
	}
}
