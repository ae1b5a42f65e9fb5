package dispatch

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// SetRecorder makes recorder record statistics of each zone, including the results of attempts that
// are already in flight.
func (d *Dispatcher) SetRecorder(recorder *zonestats.Recorder) {
	now := d.lock()
	defer d.unlock()
	d.recorder = recorder
	recorder.Reconfigure(&d.settings)
	d.refreshEndpoints(now)
}

// recordEndpoints passes the full endpoint list to the recorder.
func (d *Dispatcher) recordEndpoints(now time.Duration, all []subset.Candidate) {
	list := make([]policy.Endpoint, 0, len(all))
	for _, server := range all {
		list = append(list, server.Endpoint)
	}
	d.recorder.SetEndpoints(now, list)
}

// WriteZoneCounts calls add for each of the recorder's counts, which the coordination node
// observes. Without a recorder it does nothing.
func (d *Dispatcher) WriteZoneCounts(add func(name string, n uint64)) {
	now := d.lock()
	defer d.unlock()
	if d.recorder != nil {
		d.recorder.WriteCounts(now, add)
	}
}

// IsZoneLost reports whether the gateway's own zone is lost according to this gateway's
// observations alone.
func (d *Dispatcher) IsZoneLost() bool {
	d.lock()
	defer d.unlock()
	return d.recorder != nil && d.recorder.IsZoneLost()
}
