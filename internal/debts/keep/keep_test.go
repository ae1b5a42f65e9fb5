package keep

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/standin"
	"harrierhoist/policy"
)

// alone is what a process has in common with nobody.
type alone struct {
	exact chan func(func(string, uint64))
}

func (alone) Now() time.Duration                          { return time.Second }
func (alone) Held(string) cluster.Held                    { return cluster.Held{} }
func (alone) Changed() <-chan struct{}                    { return nil }
func (alone) Witness(func(func(string, uint64)))          {}
func (a alone) WitnessExact(e func(func(string, uint64))) { a.exact <- e }

// A gateway counts what a push owes, ends, and starts again on the same folder: its first digest tells it.
func TestAGatewaysDebtsOutliveIt(t *testing.T) {
	defer goleak.VerifyNone(t)
	terms := debts.Default()
	terms.On = true
	terms.Partners = []debts.Partner{{Name: "a", Plans: []string{"wide"}}, {Name: "b", Halls: []string{"hb"}}}
	site := policy.Deployment{Gateways: 1, Halls: 1, Tick: 2 * time.Millisecond, PushLimit: 5, TipAfter: time.Second,
		Lanes: []policy.Lane{{Name: "look", SoftLimit: time.Second, Patience: time.Second}},
		Plans: []policy.Plan{{Name: "wide", Rate: 1000, Burst: 4000}}}
	folder := t.TempDir()
	run := func(do func(*gate.Gate)) {
		g, err := gate.New(site, 7, gate.Outside{}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		in := alone{make(chan func(func(string, uint64)), 1)}
		_, ended, err := Start(ctx, terms, site, []string{"hb"}, 7, folder, in, g, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Start(ctx, terms, site, []string{"hb"}, 7, folder, in, g, zap.NewNop()); err == nil {
			t.Error("two tills count in one folder")
		}
		do(g)
		exact := <-in.exact
		standin.Eventually(t, "the debt in the digest", func() bool {
			told := uint64(0)
			exact(func(name string, n uint64) {
				if strings.HasSuffix(name, "\x1fa\x1fb") {
					told += n
				}
			})
			return told == 3500
		})
		cancel()
		<-ended
	}
	run(func(g *gate.Gate) {
		g.List(policy.ListWhole, []gate.Server{{Name: "s", Listed: policy.Listed{Stage: policy.Ready}}})
		e := g.Admit(gate.Task{Customer: 5, Width: 1, Units: 2, Patience: time.Second})
		if c := e.Pick(); c.Verdict != gate.Push {
			t.Fatalf("verdict %d", c.Verdict)
		}
		e.Report(gate.Result{Outcome: policy.Answered, Billed: 3.5})
	})
	run(func(*gate.Gate) {})
}
