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
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "drill")
	if err == nil {
		program, err = Build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// newThreeZones halls of two gateways and four servers each.
func newThreeZones(t *testing.T) *Environment {
	return NewEnvironment(t, program, Config{Zones: []string{"hall-a", "hall-b", "hall-c"}, ServersPerZone: 4, GatewaysPerZone: 2,
		ServiceTime: 5 * time.Millisecond, MaxConcurrent: 8})
}

// mixedRequests gives tasks of customers of a hall's own: one in five is effectful.
func mixedRequests(zone int) func(*rand.Rand) Request {
	return func(r *rand.Rand) Request {
		request := Request{Class: "look", Plan: "wide", Customer: CustomerID(zone, r.Uint64N(50)),
			Units: 1 + r.IntN(3), Timeout: 2 * time.Second}
		if r.IntN(5) == 0 {
			request.Class = "pay"
		}
		return request
	}
}

// offerLoad has clients ask all gateways until the function given back is called, which waits for the answers.
func (env *Environment) offerLoad(rate float64, draw func(zone int) func(*rand.Rand) Request) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for i, g := range env.Gateways {
		env.Clients.OfferLoad(ctx, g.Addr, rate, uint64(i), draw(slices.Index(env.Zones, g.Zone)))
	}
	return func() { cancel(); env.Clients.Wait() }
}

// waitForServed waits until so many more tasks have been honoured.
func (env *Environment) waitForServed(more int) {
	env.T.Helper()
	before := env.Recorder.ResultCounts()[Served]
	fakes.Eventually(env.T, fmt.Sprintf("%d more tasks honoured", more), func() bool {
		return env.Recorder.ResultCounts()[Served] >= before+more
	})
}

// Without anything in common: gateways are killed, stand still and come back, a hall's servers are lost and return,
// the counter is silent for a while. No task is left without its answer, and none that must not runs twice.
func TestWithoutVoters_faultsUnderLoadBreakNoRule(t *testing.T) {
	env := newThreeZones(t)
	env.Start(env.Gateways...)
	end := env.offerLoad(40, mixedRequests)
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
	end()
	if wrong := env.Recorder.Violations(); len(wrong) > 0 {
		t.Errorf("%v; ends %v", wrong, env.Recorder.ResultCounts())
	}
	if env.Counter.Calls() == 0 {
		t.Error("no gateway called the counter")
	}
}
