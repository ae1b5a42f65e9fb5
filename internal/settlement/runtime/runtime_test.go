package runtime

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/settlement"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// noCoordination is what a process has in common with nobody.
type noCoordination struct {
	exact chan func(func(string, uint64))
}

func (noCoordination) Now() time.Duration                                   { return time.Second }
func (noCoordination) Cached(string) coordination.CachedTable               { return coordination.CachedTable{} }
func (noCoordination) Changed() <-chan struct{}                             { return nil }
func (noCoordination) RegisterCounters(func(func(string, uint64)))          {}
func (a noCoordination) RegisterExactCounters(e func(func(string, uint64))) { a.exact <- e }

// A gateway counts what a push owes, ends, and starts again on the same folder: its first digest tells it.
func TestStart_debtsSurviveRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	terms := settlement.DefaultTerms()
	terms.On = true
	terms.Partners = []settlement.Partner{{Name: "a", Plans: []string{"wide"}}, {Name: "b", Zones: []string{"hb"}}}
	settings := policy.Settings{
		Gateways: 1, Zones: 1, ClockTick: 2 * time.Millisecond, MaxAttempts: 5, OverloadSpan: time.Second,
		Classes: []policy.TrafficClass{{Name: "look", LatencyObjective: time.Second, Timeout: time.Second}},
		Plans:   []policy.Plan{{Name: "wide", Rate: 1000, Burst: 4000}},
	}
	folder := t.TempDir()
	run := func(do func(*dispatch.Dispatcher)) {
		dispatcher, err := dispatch.New(settings, 7, dispatch.Dependencies{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		in := noCoordination{make(chan func(func(string, uint64)), 1)}
		_, ended, err := Start(ctx, terms, settings, []string{"hb"}, 7, folder, in, dispatcher, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Start(ctx, terms, settings, []string{"hb"}, 7, folder, in, dispatcher, zap.NewNop()); err == nil {
			t.Error("two tills count in one folder")
		}
		do(dispatcher)
		exact := <-in.exact
		fakes.Eventually(t, "the debt in the digest", func() bool {
			owed := uint64(0)
			exact(func(name string, n uint64) {
				if strings.HasSuffix(name, "\x1fa\x1fb") {
					owed += n
				}
			})
			return owed == 3500
		})
		cancel()
		<-ended
	}
	run(func(dispatcher *dispatch.Dispatcher) {
		dispatcher.HandleEndpoints(policy.ListFull, []dispatch.Server{{Name: "s", Endpoint: policy.Endpoint{State: policy.Ready}}})
		e := dispatcher.Admit(dispatch.RequestSpec{Customer: 5, GatewayCount: 1, Units: 2, Timeout: time.Second})
		if c := e.Next(); c.Action != dispatch.Forward {
			t.Fatalf("verdict %d", c.Action)
		}
		e.ReportResult(dispatch.Result{Outcome: policy.Answered, Billed: 3.5})
	})
	run(func(*dispatch.Dispatcher) {})
}
