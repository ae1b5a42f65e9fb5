// Package emulation runs the back end of a scenario in real time, on loopback sockets before real
// gateways: emulated servers, a counter and discovery, each on a free port. The command loadlab
// starts it, and package load reports to its recorder.
//
// Servers and clients report to the same checker of invariants as those of the simulation. A core
// sleeps for as long as work takes, so that one machine holds many emulated cores.
package emulation

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

const (
	loopback       = "127.0.0.1:0"
	unknownGateway = -1                    // a server cannot tell which gateway an attempt came from
	timingSlack    = 50 * time.Millisecond // added to the limits of the invariants: real clocks and sockets
)

// Recorder is a checker of invariants for concurrent use, with a clock that starts with it.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	checker *invariants.Checker
}

func newRecorder(spec *scenario.Scenario) *Recorder {
	return &Recorder{start: time.Now(), checker: invariants.New(invariants.Limits{
		AnswerSlack: spec.Rules.AnswerSlack.D() + timingSlack,
		DrainGrace:  spec.Rules.DrainGrace.D() + timingSlack,
		Plans:       spec.PolicySettings(0).Plans,
	})}
}

// Record calls a function with the checker and the time since the start. One such function runs at
// a time.
func (r *Recorder) Record(record func(checker *invariants.Checker, at time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.checker, time.Since(r.start))
}

// Backend is the running back end of a scenario.
type Backend struct {
	Recorder  *Recorder
	Counter   *Counter // nil if the scenario has none
	Discovery *Discovery
	Servers   []*Server

	spec *scenario.Scenario
}

// Start starts a scenario's servers, counter and discovery. The seed is of the first server's work;
// those after it have the numbers that follow. The context ends the start alone.
func Start(ctx context.Context, spec *scenario.Scenario, seed uint64) (*Backend, error) {
	b := &Backend{Recorder: newRecorder(spec), spec: spec}
	if err := b.start(ctx, seed); err != nil {
		return nil, errors.Join(err, b.Close())
	}
	return b, nil
}

func (b *Backend) start(ctx context.Context, seed uint64) (err error) {
	b.Discovery, err = newDiscovery(ctx)
	if err != nil {
		return err
	}
	if b.spec.Counter.Rate > 0 {
		b.Counter, err = newCounter(ctx, b.spec)
		if err != nil {
			return err
		}
	}
	var endpoints []endpoint
	for i := range b.spec.Servers.Count {
		s, err := newServer(ctx, b.spec, b.Recorder, uint32(i+1), seed+uint64(i))
		if err != nil {
			return err
		}
		b.Servers = append(b.Servers, s)
		endpoints = append(endpoints, endpoint{
			Host: s.Name, Dial: s.Addr, Site: zoneName(i % b.spec.Gateways.Zones), Class: model,
			Block: i / b.spec.Servers.RackSize, Health: "in_service", Share: 1,
		})
	}
	b.Discovery.publish(endpoints)
	return nil
}

// Close ends all of it. Connections are reset.
func (b *Backend) Close() error {
	var problems []error
	for _, s := range b.Servers {
		problems = append(problems, s.close())
	}
	if b.Counter != nil {
		problems = append(problems, b.Counter.close())
	}
	if b.Discovery != nil {
		problems = append(problems, b.Discovery.close())
	}
	return errors.Join(problems...)
}

// zoneName is the name of a zone in the settings and in discovery's list.
func zoneName(n int) string { return "hall-" + string(rune('a'+n%letters)) }

// letters is the number of letters that zones are named by.
const letters = 26

// listen opens a free port on loopback.
func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", loopback)
}
