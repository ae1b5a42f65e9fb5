package subset

import (
	"testing"
	"time"

	"harrierhoist/internal/numbering"
)

// unknownZone is the number of a zone that is not configured.
var unknownZone = numbering.New([]string{"a", "b"}).Of("c")

// replaceZone returns a copy of a list in which the servers of a zone are in another.
func replaceZone(list []Candidate, zone, other int) []Candidate {
	replaced := append([]Candidate{}, list...)
	for i := range replaced {
		if replaced[i].Zone == zone {
			replaced[i].Zone = other
		}
	}
	return replaced
}

// A zone that all gateways, or some of them, do not know is covered evenly by the fleet. Guards
// against numbers of zones that leave no precision for where a gateway's servers begin.
func TestSelect_unknownZoneIsCoveredEvenly(t *testing.T) {
	known := newFleet(180, 3)
	unknown := replaceZone(known, 2, unknownZone)
	for name, knowsZone := range map[string]func(gateway int) bool{
		"no gateway knows it":        func(int) bool { return false },
		"the first half knows it":    func(gateway int) bool { return gateway < 150 },
		"every second one knows it":  func(gateway int) bool { return gateway%2 == 0 },
		"one in ten does not yet":    func(gateway int) bool { return gateway%10 != 3 },
		"one in ten knows it so far": func(gateway int) bool { return gateway%10 == 3 },
	} {
		t.Run(name, func(t *testing.T) {
			cover := make([]float64, len(known))
			for gateway := range 300 {
				list := unknown
				if knowsZone(gateway) {
					list = known
				}
				selected, _ := selectAtRate(gateway, 300, 9, list)
				for _, endpoint := range selected {
					cover[endpoint.Server] += 1 / float64(len(selected))
				}
			}
			deviation, least, most := loadSpread(cover, known)
			t.Logf("deviation %.3f, least %.2f, most %.2f", deviation, least, most)
			if deviation > 0.08 || most > 1.25 || least <= 0 {
				t.Errorf("deviation %.3f (at most 0.08), busiest %.2f (at most 1.25), least %.2f",
					deviation, most, least)
			}
		})
	}
}

// A failover plan gives a zone that the gateway does not know no share of its servers, and no other
// zone's share.
func TestSetWeights_unknownZoneGetsNoServers(t *testing.T) {
	list := replaceZone(newFleet(60, 3), 2, unknownZone)
	s := New(0, 1, 15*time.Second)
	s.SetWeights([]float64{1, 1}, 0)
	selected, _ := s.Select(time.Hour, list)
	byZone := map[int]int{}
	for _, endpoint := range selected {
		byZone[endpoint.Zone]++
	}
	if byZone[unknownZone] > 0 || byZone[0] == 0 || byZone[0] != byZone[1] {
		t.Errorf("servers by zone: %v, want as many of 0 as of 1, and no other", byZone)
	}
}
