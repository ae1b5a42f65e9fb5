package subset

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// Nobody lends: the part is the same, byte for byte. A hall lends that the part has none of: over the fleet each of
// its servers is had by as many gateways, give or take what the ends of arcs bring, and only for elective pushes.
func TestAddElective_serversAreSpreadOverTheFleet(t *testing.T) {
	list := newFleet(180, 3)
	const gateways = 300
	had := map[uint32]int{}
	for me := range gateways {
		s := New(me, gateways, 15*time.Second)
		selected, _ := s.Select(time.Hour, list)
		if same := s.AddElective(time.Hour, selected, list, []int{0, 0, 0}, 0.5); !slices.Equal(same, selected) {
			t.Fatalf("gateway %d: another part with nobody lending", me)
		}
		near := slices.DeleteFunc(slices.Clone(selected), func(l policy.Endpoint) bool { return l.Zone == 2 })
		with := s.AddElective(time.Hour, near, list, []int{0, 0, 7}, 0.5)
		if !slices.Equal(with[:len(near)], near) || len(with)-len(near) < minElective {
			t.Fatalf("gateway %d: %d servers of %d", me, len(with), len(near))
		}
		for _, l := range with[len(near):] {
			had[l.Server]++
			if l.Zone != 2 || l.Owner != 7 || !l.Elective {
				t.Fatalf("gateway %d: %+v", me, l)
			}
		}
		// What the part has anyway keeps its place there, and is marked.
		for i, l := range s.AddElective(time.Hour, selected, list, []int{0, 0, 7}, 0.5)[:len(selected)] {
			if (l.Owner == 7) != (l.Zone == 2) || l.Elective || l.Server != selected[i].Server {
				t.Fatalf("gateway %d: %+v", me, l)
			}
		}
	}
	least, most := gateways, 0
	for _, l := range list {
		if l.Zone == 2 {
			least, most = min(least, had[l.Server]), max(most, had[l.Server])
		}
	}
	if least < 8 || most > 12 {
		t.Errorf("each server is had by %d to %d gateways, want about 10", least, most)
	}
}

// The more a gateway pushes there, the more servers it has; draining ones are none.
func TestAddElective_growsWithTheFraction(t *testing.T) {
	list := newFleet(180, 3)
	list[2].State = policy.Draining
	s := New(3, 300, 15*time.Second)
	now := time.Hour
	for range 4000 {
		now += 10 * time.Millisecond
		s.CountAttempt(now)
	}
	few, many := s.AddElective(now, nil, list, []int{0, 0, 1}, 0.02), s.AddElective(now, nil, list, []int{0, 0, 1}, 0.4)
	if len(few) != 3 || len(many) < 48 || len(many) > 52 {
		t.Errorf("%d and %d servers, want 3 and about 50", len(few), len(many))
	}
	if slices.ContainsFunc(many, func(l policy.Endpoint) bool { return l.State != policy.Ready }) {
		t.Error("one that drains is had")
	}
}
