package subset

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// elective returns what AddElectiveServers added to a selection, with servers of zone 2 for owner
// 7. It checks that the selection is first, and unchanged.
func elective(t *testing.T, s *Subset, selected []policy.Endpoint, list []Candidate) []policy.Endpoint {
	t.Helper()
	extended := s.AddElectiveServers(time.Hour, selected, list, []int{0, 0, 7}, 0.5)
	if !slices.Equal(extended[:len(selected)], selected) {
		t.Fatalf("%v in place of %v", extended, selected)
	}
	return extended[len(selected):]
}

// Without owners the selection stays. Where a zone of an owner has no server in the selection, each
// of its servers is added by as many gateways, give or take what the ends of arcs bring, and only
// for elective attempts.
func TestAddElective_serversAreSpreadOverTheFleet(t *testing.T) {
	list := newFleet(180, 3)
	const gateways = 300
	added := map[uint32]int{}
	for gateway := range gateways {
		s := New(gateway, gateways, 15*time.Second)
		selected, _ := s.Select(time.Hour, list)
		if same := s.AddElectiveServers(time.Hour, selected, list, []int{0, 0, 0}, 0.5); !slices.Equal(same, selected) {
			t.Fatalf("gateway %d: another selection without owners", gateway)
		}
		near := slices.DeleteFunc(slices.Clone(selected), func(endpoint policy.Endpoint) bool {
			return endpoint.Zone == 2
		})
		extra := elective(t, s, near, list)
		if len(extra) < minElective {
			t.Fatalf("gateway %d: %d servers more than %d", gateway, len(extra), len(near))
		}
		for _, endpoint := range extra {
			added[endpoint.Server]++
			if endpoint.Zone != 2 || endpoint.Owner != 7 || !endpoint.Elective {
				t.Fatalf("gateway %d: %+v", gateway, endpoint)
			}
		}
	}
	least, most := gateways, 0
	for _, candidate := range list {
		if candidate.Zone == 2 {
			least, most = min(least, added[candidate.Server]), max(most, added[candidate.Server])
		}
	}
	if least < 8 || most > 12 {
		t.Errorf("each server is added by %d to %d gateways, want about 10", least, most)
	}
}

// What is selected anyway keeps its position, and is marked with its owner.
func TestAddElective_selectedServersAreOnlyMarked(t *testing.T) {
	list := newFleet(180, 3)
	const gateways = 300
	for gateway := range gateways {
		s := New(gateway, gateways, 15*time.Second)
		selected, _ := s.Select(time.Hour, list)
		extended := s.AddElectiveServers(time.Hour, selected, list, []int{0, 0, 7}, 0.5)
		for i, endpoint := range extended[:len(selected)] {
			isMarked := (endpoint.Owner == 7) == (endpoint.Zone == 2)
			if !isMarked || endpoint.Elective || endpoint.Server != selected[i].Server {
				t.Fatalf("gateway %d: %+v", gateway, endpoint)
			}
		}
	}
}

// The more attempts a gateway makes there, the more servers are added; draining ones are not.
func TestAddElective_growsWithTheFraction(t *testing.T) {
	list := newFleet(180, 3)
	list[2].State = policy.Draining
	s := New(3, 300, 15*time.Second)
	now := time.Hour
	for range 4000 {
		now += 10 * time.Millisecond
		s.CountAttempt(now)
	}
	few := s.AddElectiveServers(now, nil, list, []int{0, 0, 1}, 0.02)
	many := s.AddElectiveServers(now, nil, list, []int{0, 0, 1}, 0.4)
	if len(few) != 3 || len(many) < 48 || len(many) > 52 {
		t.Errorf("%d and %d servers, want 3 and about 50", len(few), len(many))
	}
	if slices.ContainsFunc(many, func(endpoint policy.Endpoint) bool { return endpoint.State != policy.Ready }) {
		t.Error("a draining server is added")
	}
}
