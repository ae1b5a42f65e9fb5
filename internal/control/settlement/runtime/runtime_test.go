package runtime

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// noCoordination is a client without tables. It passes on what registers exact counters.
type noCoordination struct {
	registered chan func(func(string, uint64))
}

func (noCoordination) Now() time.Duration                          { return time.Second }
func (noCoordination) Cached(string) coordination.CachedTable      { return coordination.CachedTable{} }
func (noCoordination) Changed() <-chan struct{}                    { return nil }
func (noCoordination) RegisterCounters(func(func(string, uint64))) {}
func (n noCoordination) RegisterExactCounters(counts func(func(string, uint64))) {
	n.registered <- counts
}

func testTerms() settlement.Terms {
	terms := settlement.DefaultTerms()
	terms.On = true
	terms.Partners = []settlement.Partner{{Name: "a", Plans: []string{"wide"}}, {Name: "b", Zones: []string{"hb"}}}
	return terms
}

var testSettings = policy.Settings{
	Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5, OverloadSpan: time.Second,
	Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: time.Second, Timeout: time.Second}},
	Plans:   []policy.Plan{{Name: "wide", Rate: 1000, Burst: 4000}},
}

// runGateway starts a gateway on a folder, uses it, waits until 3.5 units are reported that a owes
// b, and ends it.
func runGateway(t *testing.T, folder string, use func(*dispatch.Dispatcher)) {
	t.Helper()
	dispatcher, err := dispatch.New(testSettings, 7, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	client := noCoordination{make(chan func(func(string, uint64)), 1)}
	config := Config{Terms: testTerms(), Settings: testSettings, Zones: []string{"hb"}, Seed: 7, Folder: folder}
	start := func() (<-chan struct{}, error) {
		_, ended, err := Start(ctx, config, Dependencies{client, dispatcher, zap.NewNop()})
		return ended, err
	}
	ended, err := start()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := start(); !errors.Is(err, unix.EWOULDBLOCK) {
		t.Errorf("second start on the folder: %v, want %v", err, unix.EWOULDBLOCK)
	}
	use(dispatcher)
	report := <-client.registered
	fakes.Eventually(t, "the debt reported", func() bool {
		sum := uint64(0)
		report(func(name string, n uint64) {
			if strings.HasSuffix(name, "\x1fa\x1fb") {
				sum += n
			}
		})
		return sum == 3500
	})
	cancel()
	<-ended
}

// A gateway counts what an attempt owes, ends, and starts again on the same folder: its first
// digest reports the debt.
func TestStart_debtsSurviveRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	folder := t.TempDir()
	runGateway(t, folder, func(dispatcher *dispatch.Dispatcher) {
		server := dispatch.Server{Name: "s", Endpoint: policy.Endpoint{State: policy.Ready}}
		dispatcher.HandleEndpoints(policy.ListFull, []dispatch.Server{server})
		request := dispatcher.Admit(dispatch.RequestSpec{Customer: 5, GatewayCount: 1, Units: 2, Timeout: time.Second})
		if decision := request.Next(); decision.Action != dispatch.Forward {
			t.Fatalf("action %d, want forward", decision.Action)
		}
		request.ReportResult(dispatch.Result{Outcome: policy.Answered, ActualUnits: 3.5})
	})
	runGateway(t, folder, func(*dispatch.Dispatcher) {})
}
