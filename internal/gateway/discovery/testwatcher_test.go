package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// testWatcher is a watcher with its dispatcher and its log.
type testWatcher struct {
	*Watcher
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	logs       *observer.ObservedLogs
}

// options configures a watcher. The zero value stands for a notified agent and no known list.
type options struct {
	isPolled bool
	known    string // endpoint list of an earlier run
	seed     int64
}

// newWatcher returns a watcher that is not running yet.
func newWatcher(t *testing.T, addr string, opts options) *testWatcher {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	settings := forwardingSettings()
	settings.PollList = opts.isPolled
	log := zap.New(core)
	dispatcher := newDispatcher(t, settings, log)
	ctx, cancel := context.WithCancel(t.Context())
	var timers sync.WaitGroup
	timers.Go(func() { dispatcher.RunTimers(ctx) })
	t.Cleanup(func() {
		cancel()
		timers.Wait()
	})
	configuration := &config.Gateway{
		Discovery: addr, Settings: settings, Zones: []string{"hall-a", "hall-b"}, ServerModels: []string{"m1", "m2"},
		KnownEndpoints: []byte(opts.known), Seed: opts.seed,
	}
	w, err := New(configuration, dispatcher, log)
	if err != nil {
		t.Fatal(err)
	}
	w.dial = dialPipe
	return &testWatcher{w, t, dispatcher, logs}
}

// startWatcher returns a watcher that runs until the test ends.
func startWatcher(t *testing.T, addr string, opts options) *testWatcher {
	t.Helper()
	w := newWatcher(t, addr, opts)
	w.start()
	return w
}

// start runs the watcher until the test ends or stop is called. It closes ended when Run has
// returned.
func (w *testWatcher) start() (stop func(), ended chan bool) {
	ctx, stop := context.WithCancel(w.t.Context())
	ended = make(chan bool)
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	w.t.Cleanup(func() { stop(); <-ended })
	return stop, ended
}

// wantServer checks which server a request is forwarded to. The empty name stands for none.
func (w *testWatcher) wantServer(when, want string) {
	w.t.Helper()
	if got := chosenServer(w.dispatcher); got != want {
		w.t.Errorf("%s: forwarded to %q, want %q", when, got, want)
	}
}

// wantLogged checks how many log messages contain the text. The empty text counts all messages.
func (w *testWatcher) wantLogged(text string, want int) {
	w.t.Helper()
	if got := w.logs.FilterMessageSnippet(text).Len(); got != want {
		w.t.Errorf("%q logged %d times, want %d: %+v", text, got, want, w.logs.All())
	}
}

// newIdleSession returns a session of a watcher that is not running and has no list.
func newIdleSession(t *testing.T, isPolled bool) *session {
	t.Helper()
	return newSession(&Watcher{
		dispatcher: newDispatcher(t, forwardingSettings(), zap.NewNop()), log: zap.NewNop(),
		random: rand.New(rand.NewPCG(1, 1)), firstApplied: make(chan struct{}),
	}, agent{isPolled: isPolled})
}

func newDispatcher(t *testing.T, settings policy.Settings, log *zap.Logger) *dispatch.Dispatcher {
	t.Helper()
	dispatcher, err := dispatch.New(settings, 1, dispatch.Dependencies{}, log)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

// forwardingSettings returns settings with which a request is forwarded to any ready server.
func forwardingSettings() policy.Settings {
	return policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5,
		ArrivalSlack: 8 * time.Millisecond, OverloadSpan: time.Second, DrainGrace: time.Second,
		Classes: []policy.TrafficClass{{
			Name: "look", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second, Effect: policy.Idempotent,
		}},
		Plans: []policy.Plan{{Name: "open"}},
	}
}

// chosenServer returns the name of the server that a request is forwarded to, or "" if there is
// none.
func chosenServer(dispatcher *dispatch.Dispatcher) string {
	request := dispatcher.Admit(dispatch.RequestSpec{Customer: 5, Units: 1, GatewayCount: 1, Timeout: 2 * time.Second})
	if decision := request.Next(); decision.Action == dispatch.Forward {
		return decision.Server.Name
	}
	return ""
}
