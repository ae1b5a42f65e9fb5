package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// between is a relay before a server that counts its calls.
func between(t *testing.T) (r *Relay, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		arrived.Add(1)
		body, _ := io.ReadAll(q.Body)
		_, _ = io.WriteString(w, strings.Repeat(string(body), 300))
	}))
	t.Cleanup(s.Close)
	r, err := New(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, arrived
}

// call makes a call that gives up after a time.
func call(r *Relay, path string, patience time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Addr+path, strings.NewReader("news"))
	if err != nil {
		return "", err
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

const short, long = 100 * time.Millisecond, 10 * time.Second

func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault    Fault
		patience time.Duration
		answered bool
		arrives  int64
	}{
		"none":                 {Fault{}, long, true, 1},
		"cut there":            {Fault{CutThere: true}, short, false, 0},
		"cut back":             {Fault{CutBack: true}, short, false, 1},
		"reset in the answer":  {Fault{Reset: true}, long, false, 1},
		"doubled":              {Fault{Double: true}, long, true, 2},
		"held":                 {Fault{Hold: true}, short, false, 0},
		"late":                 {Fault{Delay: 5 * short}, short, false, 0},
		"slow":                 {Fault{Slow: time.Millisecond}, long, true, 1},
		"cut for another path": {Fault{CutThere: true, Only: "/other"}, long, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r, arrived := between(t)
			r.Set(c.fault)
			text, err := call(r, "/one", c.patience)
			if answered := err == nil && len(text) == 1200; answered != c.answered || arrived.Load() != c.arrives {
				t.Errorf("answered %v (%v), arrived %d times", answered, err, arrived.Load())
			}
		})
	}
}

// What was cut is not delivered once the cut ends, what was held is.
func TestHealingResetsWhatWasCutAndLetsGoWhatWasHeld(t *testing.T) {
	for fault, arrives := range map[Fault]bool{{CutThere: true}: false, {Hold: true}: true} {
		r, arrived := between(t)
		r.Set(fault)
		done := make(chan error, 1)
		go func() { _, err := call(r, "/one", long); done <- err }()
		time.Sleep(short) // the call is on its way; either order gives the same verdict
		r.Heal()
		err := <-done
		if fault.CutThere && err == nil && arrived.Load() == 1 {
			continue // it came after the end of the cut
		}
		if (err == nil) != arrives || (arrived.Load() == 1) != arrives {
			t.Errorf("%+v: %v, arrived %d times", fault, err, arrived.Load())
		}
	}
}
