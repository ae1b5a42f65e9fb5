package faultproxy

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

// newTestProxy is a relay before a server that counts its calls.
func newTestProxy(t *testing.T) (p *Proxy, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		arrived.Add(1)
		payload, _ := io.ReadAll(request.Body)
		_, _ = io.WriteString(response, strings.Repeat(string(payload), 300))
	}))
	t.Cleanup(s.Close)
	p, err := New(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, arrived
}

// callProxy makes a call that gives up after a time.
func callProxy(p *Proxy, path string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+path, strings.NewReader("news"))
	if err != nil {
		return "", err
	}
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

const shortTimeout, longTimeout = 100 * time.Millisecond, 10 * time.Second

func TestProxy_appliesFault(t *testing.T) {
	for name, c := range map[string]struct {
		fault    Fault
		patience time.Duration
		answered bool
		arrives  int64
	}{
		"none":                 {Fault{}, longTimeout, true, 1},
		"cut there":            {Fault{DropRequests: true}, shortTimeout, false, 0},
		"cut back":             {Fault{DropResponses: true}, shortTimeout, false, 1},
		"reset in the answer":  {Fault{Reset: true}, longTimeout, false, 1},
		"doubled":              {Fault{Duplicate: true}, longTimeout, true, 2},
		"held":                 {Fault{Hold: true}, shortTimeout, false, 0},
		"late":                 {Fault{Delay: 5 * shortTimeout}, shortTimeout, false, 0},
		"slow":                 {Fault{ChunkDelay: time.Millisecond}, longTimeout, true, 1},
		"cut for another path": {Fault{DropRequests: true, OnlyPath: "/other"}, longTimeout, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, arrived := newTestProxy(t)
			p.SetFault(c.fault)
			text, err := callProxy(p, "/one", c.patience)
			if answered := err == nil && len(text) == 1200; answered != c.answered || arrived.Load() != c.arrives {
				t.Errorf("answered %v (%v), arrived %d times", answered, err, arrived.Load())
			}
		})
	}
}

// What was cut is not delivered once the cut ends, what was held is.
func TestProxy_clearFaultResetsDroppedAndReleasesHeld(t *testing.T) {
	for fault, arrives := range map[Fault]bool{{DropRequests: true}: false, {Hold: true}: true} {
		p, arrived := newTestProxy(t)
		p.SetFault(fault)
		done := make(chan error, 1)
		go func() { _, err := callProxy(p, "/one", longTimeout); done <- err }()
		time.Sleep(shortTimeout) // the call is on its way; either order gives the same verdict
		p.ClearFault()
		err := <-done
		if fault.DropRequests && err == nil && arrived.Load() == 1 {
			continue // it came after the end of the cut
		}
		if (err == nil) != arrives || (arrived.Load() == 1) != arrives {
			t.Errorf("%+v: %v, arrived %d times", fault, err, arrived.Load())
		}
	}
}
