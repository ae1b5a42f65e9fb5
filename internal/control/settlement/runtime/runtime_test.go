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

// fakeClient is a coordination.Client without tables. It sends each registered function for exact
// counters to a channel.
type fakeClient struct {
	exactCounters chan func(func(string, uint64))
}

func (fakeClient) Now() time.Duration                          { return time.Second }
func (fakeClient) Cached(string) coordination.CachedTable      { return coordination.CachedTable{} }
func (fakeClient) Changed() <-chan struct{}                    { return nil }
func (fakeClient) RegisterCounters(func(func(string, uint64))) {}
func (f fakeClient) RegisterExactCounters(counts func(func(string, uint64))) {
	f.exactCounters <- counts
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

// runGateway starts settlement with its journal in folder, calls use, waits until a debt of 3.5
// units of a to b is reported, and stops settlement. Meanwhile it checks that a second start on the
// folder fails.
func runGateway(t *testing.T, folder string, use func(*dispatch.Dispatcher)) {
	t.Helper()
	dispatcher, err := dispatch.New(testSettings, 7, dispatch.Dependencies{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	client := fakeClient{make(chan func(func(string, uint64)), 1)}
	config := Config{Terms: testTerms(), Settings: testSettings, Zones: []string{"hb"}, Seed: 7, Folder: folder}
	start := func() (<-chan struct{}, error) {
		_, done, err := Start(ctx, config, Dependencies{client, dispatcher, zap.NewNop()})
		return done, err
	}
	done, err := start()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := start(); !errors.Is(err, unix.EWOULDBLOCK) {
		t.Errorf("second start on the folder: got error %v, want %v", err, unix.EWOULDBLOCK)
	}
	use(dispatcher)
	report := <-client.exactCounters
	fakes.Eventually(t, "the reported debt", func() bool {
		sum := uint64(0)
		report(func(name string, n uint64) {
			if strings.HasSuffix(name, "\x1fa\x1fb") {
				sum += n
			}
		})
		return sum == 3500
	})
	cancel()
	<-done
}

// A gateway counts the debt of an attempt, stops, and starts again on the same folder. It then
// reports the debt of its previous incarnation.
func TestStart_debtsSurviveRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	folder := t.TempDir()
	runGateway(t, folder, func(dispatcher *dispatch.Dispatcher) {
		server := dispatch.Server{Name: "s", Endpoint: policy.Endpoint{State: policy.Ready}}
		dispatcher.HandleEndpoints(policy.ListFull, []dispatch.Server{server})
		request := dispatcher.Admit(dispatch.RequestSpec{Customer: 5, GatewayCount: 1, Units: 2, Timeout: time.Second})
		if decision := request.Next(); decision.Action != dispatch.Forward {
			t.Fatalf("got action %d, want %d (dispatch.Forward)", decision.Action, dispatch.Forward)
		}
		request.ReportResult(dispatch.Result{Outcome: policy.Answered, ActualUnits: 3.5})
	})
	runGateway(t, folder, func(*dispatch.Dispatcher) {})
}
