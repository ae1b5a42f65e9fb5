package subset

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// addedElective returns the endpoints that AddElectiveServers appends to a selection if zone 2
// belongs to owner 7. It fails the test unless they follow the unchanged selection.
func addedElective(t *testing.T, s *Subset, selected []policy.Endpoint, list []Candidate) []policy.Endpoint {
	t.Helper()
	extended := s.AddElectiveServers(time.Hour, selected, list, []int{0, 0, 7}, 0.5)
	if !slices.Equal(extended[:len(selected)], selected) {
		t.Fatalf("result starts with %v, want %v", extended[:len(selected)], selected)
	}
	return extended[len(selected):]
}

// Without owners AddElectiveServers leaves the selection unchanged. If none of the servers of an
// owner's zone is selected, each of them is added by about the same number of gateways, and only
// for elective attempts. The numbers differ somewhat because of the ends of the arcs.
func TestAddElective_serversAreSpreadOverTheFleet(t *testing.T) {
	list := newFleet(180, 3)
	const gateways = 300
	added := map[uint32]int{}
	for gateway := range gateways {
		s := New(gateway, gateways, 15*time.Second)
		selected, _ := s.Select(time.Hour, list)
		if same := s.AddElectiveServers(time.Hour, selected, list, []int{0, 0, 0}, 0.5); !slices.Equal(same, selected) {
			t.Fatalf("gateway %d: selection changed although no zone has an owner", gateway)
		}
		withoutZone2 := slices.DeleteFunc(slices.Clone(selected), func(endpoint policy.Endpoint) bool {
			return endpoint.Zone == 2
		})
		extra := addedElective(t, s, withoutZone2, list)
		if len(extra) < minElectiveServers {
			t.Fatalf("gateway %d: %d servers added, want at least %d", gateway, len(extra), minElectiveServers)
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

// Servers that are already selected keep their position and get their owner.
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

// The number of added servers grows with the fraction of attempts that may go to an owner. Draining
// servers are not added.
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
		t.Errorf("%d and %d servers added, want 3 and about 50", len(few), len(many))
	}
	if slices.ContainsFunc(many, func(endpoint policy.Endpoint) bool { return endpoint.State != policy.Ready }) {
		t.Error("a draining server was added")
	}
}
