package policy

import (
	"testing"
	"time"
)

// listServers delivers a full list of ready servers, which the entries by zone and rack describe.
func (h *harness) listServers(entries ...Endpoint) {
	for i := range entries {
		entries[i].Server, entries[i].State, entries[i].Capacity = uint32(i+1), Ready, 1
	}
	h.gateway.HandleEndpoints(h.now, ListFull, entries)
}

// Guards against a keyed request that runs in two groups: a list moves the server of its first
// attempt to another zone or rack, whose servers know nothing of the attempt. It is not known either
// whether those of the earlier group do.
func TestRetry_listMovesTheServerOfTheFirstAttempt(t *testing.T) {
	settings := testSettings()
	settings.Classes = []TrafficClass{
		{
			Name: "zone", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1, Effect: Keyed,
			Group: GroupZone, DedupWindow: time.Second,
		},
		{
			Name: "rack", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1, Effect: Keyed,
			Group: GroupRack, DedupWindow: time.Second,
		},
		{Name: "read", LatencyObjective: time.Second, Timeout: 2 * time.Second, Weight: 1, Effect: Idempotent},
	}
	for _, row := range []struct {
		name     string
		class    int
		moved    []Endpoint // servers 1 and 2, the first of which had the attempt, and 3 and 4
		attempts int
	}{
		{"zone, nothing moved", 0, []Endpoint{{}, {}, {Zone: 1}, {Zone: 1}}, 2},
		{"zone, its server moved", 0, []Endpoint{{Zone: 1}, {}, {Zone: 1}, {Zone: 1}}, 1},
		{"zone, the others moved", 0, []Endpoint{{}, {Zone: 1}, {Zone: 1}, {Zone: 1}}, 2}, // at server 1 again
		{"zone, all moved", 0, []Endpoint{{Zone: 7}, {Zone: 7}, {Zone: 7}, {Zone: 7}}, 1},
		{"rack, nothing moved", 1, []Endpoint{{}, {}, {Rack: 1}, {Rack: 1}}, 2},
		{"rack, its server moved", 1, []Endpoint{{Rack: 1}, {}, {Rack: 1}, {Rack: 1}}, 1},
		{"rack, all moved", 1, []Endpoint{{Rack: 7}, {Rack: 7}, {Rack: 7}, {Rack: 7}}, 1},
		{"idempotent, all moved", 2, []Endpoint{{Zone: 7}, {Zone: 7}, {Zone: 7}, {Zone: 7}}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, settings, 1)
			h.listServers(Endpoint{})
			h.request(1, row.class, 0, 1) // at server 1, the only one
			h.listServers(row.moved...)
			h.advance(20 * ms)
			h.finishAttempt(1, Errored)
			h.wantAttempts(1, row.attempts)
		})
	}
}
