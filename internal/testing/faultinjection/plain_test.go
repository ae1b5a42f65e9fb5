package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

var (
	program    string
	buildFlags []string // with which the tests themselves are built
)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the program, and runs the tests with it.
func runTests(m *testing.M) (code int) {
	folder, err := os.MkdirTemp("", "faultinjection")
	if err == nil {
		defer func() { _ = os.RemoveAll(folder) }() // in the system's folder for such
		program, err = subprocess.Build(context.Background(), folder, buildFlags...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newThreeZones makes three zones with two gateways and four servers each.
func newThreeZones(t *testing.T) *Environment {
	t.Helper()
	return NewEnvironment(t, program, Config{
		Zones: []string{"hall-a", "hall-b", "hall-c"}, ServersPerZone: 4, GatewaysPerZone: 2,
		ServiceTime: 5 * time.Millisecond, MaxConcurrent: 8,
	})
}

// drawFunc returns what draws the requests of a zone's clients.
type drawFunc func(zone int) func(*rand.Rand) Request

// mixedRequests draws requests of the zone's own customers: one in five is non-idempotent.
func mixedRequests(zone int) func(*rand.Rand) Request {
	return func(r *rand.Rand) Request {
		request := Request{
			Class: IdempotentClass, Plan: largePlan, Customer: CustomerID(zone, r.Uint64N(50)), Units: 1 + r.IntN(3),
			Timeout: 2 * time.Second,
		}
		if r.IntN(5) == 0 {
			request.Class = NonIdempotentClass
		}
		return request
	}
}

// offerLoad has clients send requests to all gateways until the function returned is called, which
// waits for the answers.
func (env *Environment) offerLoad(rate float64, draw drawFunc) (stop func()) {
	ctx, cancel := context.WithCancel(env.T.Context())
	for i, g := range env.Gateways {
		env.Clients.OfferLoad(ctx, g.Addr, rate, uint64(i), draw(slices.Index(env.Zones, g.Zone)))
	}
	return func() { cancel(); env.Clients.Wait() }
}

// waitForServed waits until a number of further requests have been served.
func (env *Environment) waitForServed(more int) {
	env.T.Helper()
	before := env.Recorder.ResultCounts()[Served]
	fakes.Eventually(env.T, fmt.Sprintf("%d more requests served", more), func() bool {
		return env.Recorder.ResultCounts()[Served] >= before+more
	})
}

// Without voters: gateways are killed, paused and come back, a zone's servers are lost and return,
// the counter is silent for a while. No request is left without its answer, and none that must not
// runs twice.
func TestWithoutVoters_faultsUnderLoadBreakNoRule(t *testing.T) {
	env := newThreeZones(t)
	env.Start(env.Gateways...)
	stop := env.offerLoad(40, mixedRequests)
	env.waitForServed(100)
	env.Gateways[0].Kill()
	env.Gateways[1].Pause()
	env.SetZoneBehavior("hall-b", Down)
	env.waitForServed(100)
	env.Gateways[1].Resume()
	env.Start(env.Gateways[0])
	release := env.Counter.Hold()
	env.waitForServed(100)
	release()
	env.SetZoneBehavior("hall-b", Healthy)
	env.waitForServed(100)
	env.Gateways[5].Signal(syscall.SIGTERM)
	stop()
	if violations := env.Recorder.Violations(); len(violations) > 0 {
		t.Errorf("%v; results %v", violations, env.Recorder.ResultCounts())
	}
	if env.Counter.Calls() == 0 {
		t.Error("no gateway called the counter")
	}
}
