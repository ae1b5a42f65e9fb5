package simulation

import (
	"testing"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// A column that throws together what ended in different ways says nothing of any of them: each request that failed
// stands under one end, also where gateways die or stand still while their clients go.
func TestEachFailedRequestHasOneEnd(t *testing.T) {
	for kind, of := range map[string]func(Ends) int{
		"":              func(e Ends) int { return e.Between },
		"server_errors": func(e Ends) int { return e.Terminated },
		"kill":          func(e Ends) int { return e.Died },
		"standstill":    func(e Ends) int { return e.Out },
	} {
		w := small()
		if kind != "" {
			w = small(scenario.Trouble{Kind: kind, At: span(3 * time.Second), For: span(4 * time.Second), Part: 0.5, Size: 0.8})
		}
		w.Load.Rate = 500
		r := play(t, w, 3, baseline.Module)
		e := r.Ends
		if sum := e.Between + e.Terminated + e.Died + e.Out; sum != r.Failed || of(e) == 0 {
			t.Errorf("%q: %d failed, ends %+v", kind, r.Failed, e)
		}
		if ended := r.InTime + r.Late + r.Refused + r.Failed; ended > r.Offered {
			t.Errorf("%q: %d ended of %d", kind, ended, r.Offered)
		}
	}
}

// With two halls of one region and one of another, chance alone sends two pushes of three to another hall, and
// four of nine to another region; a hall that is sent all its servers can do is at 1.
func TestPushesBetweenHallsAndRegionsAreCounted(t *testing.T) {
	w := small()
	w.Gateways.Halls, w.Gateways.Regions = 3, [][]int{{0, 1}, {2}}
	w.Servers.Count = 18
	r := play(t, w, 3, baseline.Random)
	crossed, far := float64(r.Crossed)/float64(r.Pushes), float64(r.Far)/float64(r.Pushes)
	if crossed < 0.62 || crossed > 0.71 || far < 0.4 || far > 0.49 {
		t.Errorf("%.3f between halls, %.3f between regions", crossed, far)
	}
	mean := w.Load.Rate * 0.058 / (18 * 2)
	if r.Hottest < mean || r.Hottest > 2.2*mean {
		t.Errorf("hottest %.2f where halls are at %.2f in the mean", r.Hottest, mean)
	}
}
