// Package load drives running gateways over their client protocol (RESP2) at a given rate. The
// command loadlab calls it.
//
// Requests are sent when they are due, whether earlier ones were answered or not, and latencies
// count from when a request was due. So a gateway that stalls gets the requests that arrive
// meanwhile, and they count as late (no coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/lab/emulation"
	"harrierhoist/internal/lab/scenario"
)

// ErrNothingToDrive says that a driver has no rate above zero or no gateway.
var ErrNothingToDrive = errors.New("load needs a rate above 0 and a gateway")

// Driver sends load.
type Driver struct {
	Scenario *scenario.Scenario
	Gateways []string      // their addresses
	Rate     float64       // requests a second
	Duration time.Duration // in which requests are sent
	Seed     uint64
	Recorder *emulation.Recorder // nil if the servers are not emulated here
	Progress io.Writer           // gets a line a second; may be nil
}

// Run sends until the duration is over or the context ends, waits for what is in flight, and
// returns the report.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	if d.Rate <= 0 || len(d.Gateways) == 0 {
		return nil, fmt.Errorf("%w; got %g and %d", ErrNothingToDrive, d.Rate, len(d.Gateways))
	}
	r := &run{
		Driver: d, start: time.Now(), conns: &pool{idle: map[string][]*resp.Conn{}},
		report: newReport(len(d.Scenario.Classes)),
	}
	stopProgress := r.writeProgress()
	var inFlight sync.WaitGroup
	r.sendAll(ctx, &inFlight)
	inFlight.Wait()
	stopProgress()
	r.report.Duration = time.Since(r.start)
	r.conns.close()
	return r.report, nil
}

// run is the state of one call of Run.
type run struct {
	*Driver
	start time.Time
	conns *pool

	mu     sync.Mutex
	report *Report
}

// sendAll sends each request when it is due, from a goroutine of its own.
func (r *run) sendAll(ctx context.Context, inFlight *sync.WaitGroup) {
	requests := newGenerator(r.Driver)
	inFlightContext := context.WithoutCancel(ctx) // the end of the load does not end what is in flight
	for {
		req := requests.next()
		if req.due >= r.Duration {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(r.start.Add(req.due))):
		}
		if ctx.Err() != nil {
			return
		}
		inFlight.Go(func() { r.sendOne(inFlightContext, req) })
	}
}

// sendOne sends a request and records its outcome.
func (r *run) sendOne(ctx context.Context, req request) {
	delay := time.Since(r.start) - req.due
	result := r.send(ctx, req)
	latency := time.Since(r.start) - req.due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.record(req, result, delay, latency, r.Scenario.Classes[req.class].LatencyObjective.D())
}

// writeProgress writes a line a second until the function returned is called.
func (r *run) writeProgress() (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				_, _ = fmt.Fprintln(r.Progress) // progress that cannot be written does not end the load
				return
			case <-ticker.C:
			}
			r.mu.Lock()
			line := r.report.progress(time.Since(r.start))
			r.mu.Unlock()
			_, _ = fmt.Fprint(r.Progress, "\r", line) // nor does this
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
