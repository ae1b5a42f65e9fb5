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

const (
	shortTimeout = 100 * time.Millisecond
	longTimeout  = 10 * time.Second
	repeats      = 300 // of the request in its response
)

// newTestProxy returns a proxy to a server that counts its calls.
func newTestProxy(t *testing.T) (p *Proxy, arrived *atomic.Int64) {
	t.Helper()
	arrived = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		arrived.Add(1)
		payload, err := io.ReadAll(request.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(response, strings.Repeat(string(payload), repeats)) // the proxy may drop it
	}))
	t.Cleanup(s.Close)
	p, err := New(strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, arrived
}

const testPayload = "news"

// callProxy makes a call that gives up after a time.
func callProxy(ctx context.Context, p *Proxy, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+"/one",
		strings.NewReader(testPayload))
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestProxy_appliesFault(t *testing.T) {
	for name, test := range map[string]struct {
		fault    Fault
		timeout  time.Duration
		answered bool
		arrives  int64
	}{
		"none":                      {Fault{}, longTimeout, true, 1},
		"requests dropped":          {Fault{DropRequests: true}, shortTimeout, false, 0},
		"responses dropped":         {Fault{DropResponses: true}, shortTimeout, false, 1},
		"reset within the response": {Fault{Reset: true}, longTimeout, false, 1},
		"duplicated":                {Fault{Duplicate: true}, longTimeout, true, 2},
		"held":                      {Fault{Hold: true}, shortTimeout, false, 0},
		"delayed":                   {Fault{Delay: 5 * shortTimeout}, shortTimeout, false, 0},
		"slow":                      {Fault{ChunkDelay: time.Millisecond}, longTimeout, true, 1},
		"dropped on another path":   {Fault{DropRequests: true, OnlyPath: "/other"}, longTimeout, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p, arrived := newTestProxy(t)
			p.SetFault(test.fault)
			body, err := callProxy(t.Context(), p, test.timeout)
			answered := err == nil && len(body) == repeats*len(testPayload)
			if answered != test.answered || arrived.Load() != test.arrives {
				t.Errorf("answered %v (%v), arrived %d times", answered, err, arrived.Load())
			}
		})
	}
}

// What was dropped is not delivered once the fault ends; what was held is.
func TestProxy_clearFaultResetsDroppedAndReleasesHeld(t *testing.T) {
	for name, test := range map[string]struct {
		fault   Fault
		arrives bool
	}{
		"dropped": {Fault{DropRequests: true}, false},
		"held":    {Fault{Hold: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, arrived := newTestProxy(t)
			p.SetFault(test.fault)
			done := make(chan error, 1)
			go func() {
				_, err := callProxy(t.Context(), p, longTimeout)
				done <- err
			}()
			time.Sleep(shortTimeout) // the call is on its way, which nothing shows; either order is right
			p.ClearFault()
			err := <-done
			if test.fault.DropRequests && err == nil && arrived.Load() == 1 {
				return // it came after the end of the fault
			}
			if (err == nil) != test.arrives || (arrived.Load() == 1) != test.arrives {
				t.Errorf("%v, arrived %d times", err, arrived.Load())
			}
		})
	}
}
