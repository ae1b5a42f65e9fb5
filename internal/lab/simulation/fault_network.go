package simulation

import "harrierhoist/internal/lab/scenario"

// zoneIsolation cuts a zone off from the others.
type zoneIsolation struct{ zone int }

func (f *zoneIsolation) begin(e *engine) { e.faults.isolatedZones[f.zone] = true }

func (f *zoneIsolation) end(e *engine) {
	delete(e.faults.isolatedZones, f.zone)
	e.recordReconnection()
}

// linkCut cuts the link between two zones, the lower of which stands first.
type linkCut struct{ zones [2]int }

func newLinkCut(f scenario.Fault) fault {
	return &linkCut{[2]int{min(f.Zone, f.OtherZone), max(f.Zone, f.OtherZone)}}
}

func (f *linkCut) begin(e *engine) { e.faults.cutLinks[f.zones] = true }

func (f *linkCut) end(e *engine) {
	delete(e.faults.cutLinks, f.zones)
	e.recordReconnection()
}

// recordReconnection notes that zones reach each other again: plans may go on avoiding them for a
// while.
func (e *engine) recordReconnection() {
	if e.coordinator != nil {
		e.coordinator.reconnectedAt = e.clock.Now()
	}
}
