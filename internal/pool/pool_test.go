package pool

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// fleet is so many ready servers, in halls in turn and cells of six.
func fleet(servers, halls int) []Server {
	chance := rand.New(rand.NewSource(7))
	list := make([]Server, servers)
	for i := range list {
		hall := i % halls
		list[i] = Server{chance.Uint64(), policy.Listed{Server: uint32(i), Stage: policy.Ready, Hall: hall, Cell: i/halls/6*halls + hall}}
	}
	return list
}

// steady has a gateway push at a rate for a while, and gives its part then.
func steady(me, gateways int, rate float64, list []Server) ([]policy.Listed, float64) {
	p := New(me, gateways, 15*time.Second)
	now := time.Hour
	p.Part(now, list)
	for range int(rate * 40) {
		now += time.Duration(float64(time.Second) / rate)
		p.Pushed(now)
	}
	return p.Part(now, list)
}

// load is the pushes a second that each server gets from a fleet of gateways, each drawing evenly from its part.
func load(t *testing.T, gateways int, rate func(me int) float64, list []Server) []float64 {
	t.Helper()
	got := make([]float64, len(list))
	for me := range gateways {
		part, _ := steady(me, gateways, rate(me), list)
		if len(part) == 0 {
			t.Fatalf("gateway %d has no part", me)
		}
		for _, l := range part {
			got[l.Server] += rate(me) / float64(len(part))
		}
	}
	return got
}

// uneven is the deviation of the loads of the ready, over their mean.
func uneven(loads []float64, list []Server) (deviation, least, most float64) {
	sum, n, least := 0.0, 0.0, math.Inf(1)
	for i, l := range loads {
		if list[i].Stage == policy.Ready {
			sum, n = sum+l, n+1
			least, most = min(least, l), max(most, l)
		}
	}
	mean, square := sum/n, 0.0
	for i, l := range loads {
		if list[i].Stage == policy.Ready {
			square += (l - mean) * (l - mean)
		}
	}
	return math.Sqrt(square/n) / mean, least / mean, most / mean
}

func TestThreeBusyGatewaysPushToAllServers(t *testing.T) {
	list := fleet(14, 2)
	for me := range 3 {
		part, sharers := steady(me, 3, 140, list)
		if len(part) != 14 || sharers != 3 {
			t.Errorf("gateway %d: %d servers shared by %.1f, want all 14 by 3", me, len(part), sharers)
		}
	}
}

func TestAQuietGatewayAmongHundredsKeepsFewServers(t *testing.T) {
	list := fleet(180, 3)
	part, sharers := steady(17, 300, 9, list)
	if len(part) < 10 || len(part) > 14 {
		t.Errorf("%d servers for 9 pushes a second kept 15 s, want some 12", len(part))
	}
	if want := 300 * float64(len(part)) / 180; math.Abs(sharers-want) > 1e-9 {
		t.Errorf("shared by %.1f, want %.1f", sharers, want)
	}
	if part, _ := steady(17, 300, 0.5, list); len(part) < Least || len(part) > Least+3 {
		t.Errorf("%d servers for hardly any pushes, want the least, %d", len(part), Least)
	}
}

func TestLoadIsEvenWhateverEachGatewaysShare(t *testing.T) {
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
			list := fleet(s.servers, s.halls)
			deviation, least, most := uneven(load(t, s.gateways, s.rate, list), list)
			t.Logf("deviation %.3f, least %.2f, most %.2f of the mean", deviation, least, most)
			if deviation > s.deviation || most > s.busiest || least <= 0 {
				t.Errorf("deviation %.3f (at most %.2f), busiest %.2f (at most %.2f), least %.2f", deviation,
					s.deviation, most, s.busiest, least)
			}
		})
	}
}

func TestLoadStaysEvenAfterAHallIsLostAndAfterADeploy(t *testing.T) {
	list := fleet(180, 3)
	for i := range list {
		if list[i].Hall == 1 {
			list[i].Stage = policy.Gone
		}
	}
	if deviation, _, most := uneven(load(t, 300, func(int) float64 { return 9 }, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("a hall lost: deviation %.3f, busiest %.2f", deviation, most)
	}
	chance := rand.New(rand.NewSource(3))
	list = fleet(180, 3)
	for i := range list {
		if chance.Float64() < 0.6 {
			list[i].Stage = policy.Draining
			list = append(list, Server{chance.Uint64(), policy.Listed{Server: uint32(len(list)), Stage: policy.Ready, Hall: list[i].Hall, Cell: list[i].Cell}})
		}
	}
	if deviation, _, most := uneven(load(t, 300, func(int) float64 { return 9 }, list), list); deviation > 0.08 || most > 1.25 {
		t.Errorf("six in ten replaced: deviation %.3f, busiest %.2f", deviation, most)
	}
}

func TestAGatewaysHallGetsNoUnevenPartOfItsOwnGateways(t *testing.T) {
	// Gateways favour servers of their hall. Where numbers go by hall, in turn or in blocks, those of one hall must
	// still cover its servers evenly.
	list := fleet(180, 3)
	for name, local := range map[string]func(me int) bool{
		"in turn":   func(me int) bool { return me%3 == 1 },
		"in blocks": func(me int) bool { return me >= 100 && me < 200 },
	} {
		cover := make([]float64, len(list))
		for me := range 300 {
			if local(me) {
				part, _ := steady(me, 300, 9, list)
				for _, l := range part {
					cover[l.Server]++
				}
			}
		}
		if deviation, least, most := uneven(cover, list); deviation > 0.12 || least < 0.7 || most > 1.35 {
			t.Errorf("%s: deviation %.3f, least %.2f, most %.2f", name, deviation, least, most)
		}
	}
}

func TestAPartChangesLittleWithTheList(t *testing.T) {
	list := fleet(180, 3)
	p := New(5, 300, 15*time.Second)
	before, _ := p.Part(time.Second, list)
	moved := 0
	for gone := range list {
		changed := slices.Clone(list)
		changed[gone].Stage = policy.Gone
		after, _ := p.Part(time.Second, changed)
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

func TestCellsStayTogether(t *testing.T) {
	list := fleet(180, 3)
	part, _ := steady(8, 300, 9, list)
	cells := map[int]int{}
	for _, l := range part {
		cells[l.Cell]++
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

func TestTheOrderOfTheListDoesNotMatter(t *testing.T) {
	list := fleet(90, 2)
	p := New(3, 100, 15*time.Second)
	marks := func(list []Server) (all []uint32) {
		part, _ := p.Part(time.Second, list)
		for _, l := range part {
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

func TestAPartGrowsWithThePushesAndIsLeftAloneWhileTheyAreSteady(t *testing.T) {
	list := fleet(180, 3)
	p := New(5, 300, 15*time.Second)
	now := time.Hour
	first, _ := p.Part(now, list)
	if len(first) > Least+3 {
		t.Errorf("%d servers before any push, want %d", len(first), Least)
	}
	laid := 0
	size := len(first)
	for i := range 60 * 20 { // a minute at 20 pushes a second
		now += 50 * time.Millisecond
		p.Pushed(now)
		if p.Due(now) {
			part, _ := p.Part(now, list)
			size = len(part)
			if laid++; i > 30*20 {
				t.Errorf("laid out anew at second %d of a steady rate", i/20)
			}
		}
	}
	if size < 20 || size > 32 || laid > 8 {
		t.Errorf("%d servers after %d changes, want some 25 after a few", size, laid)
	}
	if rate := p.Rate(now); math.Abs(rate-20) > 1 {
		t.Errorf("rate %.1f, want 20", rate)
	}
}

func TestNoServerAndNoConnectionsToKeep(t *testing.T) {
	if part, sharers := New(0, 5, time.Second).Part(0, nil); len(part) != 0 || sharers != 5 {
		t.Errorf("%v shared by %.0f of no servers", part, sharers)
	}
	list := fleet(50, 2)
	if part, sharers := New(0, 5, 0).Part(0, list); len(part) != 50 || sharers != 5 {
		t.Errorf("%d of 50 shared by %.0f where nothing is kept", len(part), sharers)
	}
}
