package discovery

import (
	"context"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/config"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func startWatcher(t *testing.T, discovery, known string) (*Watcher, error) {
	t.Helper()
	return startWatcherInMode(t, false, discovery, known)
}

// startWatcherInMode starts one whose list is asked for, or pushed to its agent.
func startWatcherInMode(t *testing.T, asked bool, discovery, known string) (*Watcher, error) {
	t.Helper()
	settings := policy.Settings{Gateways: 1, ClockTick: time.Millisecond, Classes: []policy.TrafficClass{{}}, Plans: []policy.Plan{{}},
		PollList: asked}
	w, _, err := startWatcherWith(t, settings, discovery, known, zap.NewNop())
	return w, err
}

// startWatcherWith starts a roster that feeds a gate of its own for the deployment, and returns both.
func startWatcherWith(t *testing.T, settings policy.Settings, discovery, known string,
	log *zap.Logger) (*Watcher, *dispatch.Dispatcher, error) {
	t.Helper()
	return startSeededWatcher(t, settings, discovery, known, log, 0)
}

// startSeededWatcher starts one that draws its times by a seed of its own.
func startSeededWatcher(t *testing.T, settings policy.Settings, discovery, known string, log *zap.Logger,
	seed int64) (*Watcher, *dispatch.Dispatcher, error) {
	t.Helper()
	dispatcher, err := dispatch.New(settings, 1, dispatch.Dependencies{}, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	ended.Go(func() { dispatcher.RunTimers(ctx) })
	configuration := &config.Gateway{Discovery: discovery, Settings: settings, Zones: []string{"hall-a", "hall-b"}, Hardware: []string{"m1", "m2"},
		KnownEndpoints: []byte(known), Seed: seed}
	w, err := New(configuration, dispatcher, log)
	if err == nil {
		w.dial = dialPipe
		ended.Go(func() { w.Run(ctx) })
	}
	return w, dispatcher, err
}

// forwardingSettings is a deployment whose gate pushes a task to any server that is ready.
func forwardingSettings() policy.Settings {
	return policy.Settings{Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5,
		ArrivalSlack: 8 * time.Millisecond, OverloadSpan: time.Second, DrainGrace: time.Second,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: 600 * time.Millisecond, Timeout: 2 * time.Second,
			Effect: policy.Idempotent}},
		Plans: []policy.Plan{{Name: "open"}}}
}

func TestDecodeAnswer_readsEntries(t *testing.T) {
	d := &decoder{zones: []string{"a", "hall-a"}, hardware: []string{"m1", "m2"}}
	received, err := d.decodeAnswer([]byte(fakes.FormatList(41, true, fakes.FormatHost("s-1", "1.2.3.4:5", "in_service"),
		fakes.FormatHost("s-2", "x", "terminating"), fakes.FormatHost("s-3", "x", "terminated"),
		strings.Replace(fakes.FormatHost("s-4", "x", "in_service"), `"born_ms":0`, `"born_ms":1796126169357`, 1))))
	if err != nil || received.version != 41 || !received.isFull || len(received.servers) != 4 {
		t.Fatalf("got %+v, %v", received, err)
	}
	if s := received.servers[0]; s.Name != "s-1" || s.Address != "1.2.3.4:5" || s.Endpoint != (policy.Endpoint{State: policy.Ready,
		Capacity: 1, Rack: 1, Zone: 1, Hardware: 1}) {
		t.Errorf("got %+v", s)
	}
	if received.servers[1].Endpoint.State != policy.Draining || received.servers[2].Endpoint.State != policy.Removed ||
		received.servers[3].Endpoint.StartedAt != 1796126169357*time.Millisecond {
		t.Errorf("got %+v", received.servers[1:])
	}
}

func TestWatch_continuesFromTheLatestVersion(t *testing.T) {
	d := fakes.NewDiscovery(t, fakes.FormatHost("s-1", "x", "in_service"))
	if _, err := startWatcher(t, d.Addr, "null"); err != nil {
		t.Fatal(err)
	}
	if q := <-d.Queries; q != "" {
		t.Errorf("asked first with %q", q)
	}
	if q := nextWatch(d); !strings.HasPrefix(q, "since=1&timeout_ms=") {
		t.Errorf("went on with %q", q)
	}
	d.Publish(false, fakes.FormatHost("s-1", "x", "terminating"))
	if q := nextWatch(d); !strings.HasPrefix(q, "since=2&") {
		t.Errorf("went on with %q", q)
	}
}

// nextWatch is the query of the next; a call for the whole list may come beside another if the machine stands still.
func nextWatch(d *fakes.Discovery) string {
	q := <-d.Queries
	for q == "" {
		q = <-d.Queries
	}
	return q
}

func TestSetAgent_fetchesTheFullListAtOnce(t *testing.T) {
	old := fakes.NewDiscovery(t, fakes.FormatHost("s-1", "x", "in_service"))
	next := fakes.NewDiscovery(t, fakes.FormatHost("s-2", "x", "in_service"))
	w, err := startWatcher(t, old.Addr, "null")
	if err != nil {
		t.Fatal(err)
	}
	for q := ""; !strings.HasPrefix(q, "since=1&"); { // a watch that the old one will not end
		q = <-old.Queries
	}
	w.SetAgent(next.Addr, false)
	if q := <-next.Queries; q != "" {
		t.Errorf("asked first with %q", q)
	}
	if q := nextWatch(next); !strings.HasPrefix(q, "since=1&") {
		t.Errorf("went on with %q", q)
	}
}

func TestRun_unreachableAgentIsCalledAgain(t *testing.T) {
	t.Parallel()
	l := fakes.Listen(t)
	if _, err := startWatcher(t, l.Addr().String(), fakes.FormatList(1, true)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}

func TestNew_malformedKnownListIsRefused(t *testing.T) {
	if _, err := startWatcher(t, "x", `{"hosts":7}`); err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("got %v", err)
	}
}

// rejectingAgent is a discovery that turns every call away, as an overbooked one does, until it has turned away
// refuse of them; it counts the calls.
func rejectingAgent(t *testing.T, refuse int64) (string, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	addr, _ := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) {
		if calls.Add(1) <= refuse {
			agentFailures["503"](c)
			return
		}
		writeAnswer(c, fakes.FormatList(1, true, readyHost("s-1")))
	})
	return addr, calls
}

// Forty gateways that started together against a discovery that turns them all away: on one beat of half a
// second they kept it overbooked (eight calls each in four seconds, sixteen with the doubled wake). Backing off
// with jitter they make four or five.
func TestRun_rejectedFleetBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, lasting = 40, 4 * time.Second
		addr, calls := rejectingAgent(t, math.MaxInt64)
		for range gateways {
			if _, err := startWatcher(t, addr, fakes.FormatList(1, true)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(lasting)
		if each := float64(calls.Load()) / gateways; each > 6 || each < 2 {
			t.Errorf("%.1f calls a gateway in %v", each, lasting)
		}
	})
}

// Backing off does not keep a gateway from the list once discovery answers again.
func TestRun_listIsReadOnceDiscoveryAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, _ := rejectingAgent(t, 2)
		w, err := startWatcher(t, addr, "null")
		if err != nil {
			t.Fatal(err)
		}
		select {
		case <-w.FirstList():
		case <-time.After(3 * time.Second):
			t.Error("no list after two refusals")
		}
	})
}

// A discovery that answers with what is no list: the last list stands, and the log says so once however often.
func TestRun_malformedListKeepsTheLastAndWarnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addr, _ := scriptedAgent(listen(t), func(_ agentCall, c net.Conn) { writeAnswer(c, `{"seq":1,"hosts":7}`) })
		seen, logs := observer.New(zap.InfoLevel)
		_, dispatcher, err := startWatcherWith(t, forwardingSettings(), addr,
			fakes.FormatList(1, true, fakes.FormatHost("s-1", "127.0.0.1:9", "in_service")), zap.New(seen))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond) // several calls, each answered with no list
		e := dispatcher.Admit(dispatch.RequestSpec{Class: 0, Plan: 0, Customer: 5, Units: 1, GatewayCount: 1, Timeout: 2 * time.Second})
		if c := e.Next(); c.Action != dispatch.Forward {
			t.Errorf("verdict %v: the list as last had was given up", c.Action)
		}
		if n := logs.FilterMessageSnippet("discovery: no valid answer").Len(); n != 1 {
			t.Errorf("said %d times", n)
		}
	})
}
