package dispatch

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// SetRecorder has a recorder record what goes on in each zone, and how attempts in flight end.
func (d *Dispatcher) SetRecorder(recorder *zonestats.Recorder) {
	now := d.lock()
	defer d.unlock()
	d.recorder = recorder
	recorder.Reconfigure(&d.settings)
	d.refreshEndpoints(now)
}

// recordEndpoints gives the recorder the full endpoint list.
func (d *Dispatcher) recordEndpoints(now time.Duration, all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, server := range all {
		list = append(list, server.Endpoint)
	}
	d.recorder.SetEndpoints(now, list)
}

// WriteZoneCounts gives the recorder's counts, which the coordination node observes. Without a
// recorder there are none.
func (d *Dispatcher) WriteZoneCounts(add func(name string, n uint64)) {
	now := d.lock()
	defer d.unlock()
	if d.recorder != nil {
		d.recorder.WriteCounts(now, add)
	}
}

// IsZoneLost reports whether the gateway's own zone is lost by its own observations.
func (d *Dispatcher) IsZoneLost() bool {
	d.lock()
	defer d.unlock()
	return d.recorder != nil && d.recorder.IsZoneLost()
}
