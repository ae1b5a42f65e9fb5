package emulation

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// headerTimeout bounds how long a caller may take to send its headers.
const headerTimeout = 5 * time.Second

// versionBase and versionBits are the form of a list's version in a query.
const (
	versionBase = 10
	versionBits = 64
)

// endpoint is an entry of discovery's list, in the protocol's form.
type endpoint struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMs int64   `json:"born_ms"` // 0: long ago
}

// Discovery is an emulated discovery service. It always sends complete lists.
type Discovery struct {
	Addr string

	server *http.Server

	mu        sync.Mutex
	version   int64
	endpoints []endpoint
	changed   chan struct{} // closed with the next version
}

func newDiscovery(ctx context.Context) (*Discovery, error) {
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), changed: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headerTimeout}
	go func() { _ = d.server.Serve(listener) }() // ends with close, which is its error
	return d, nil
}

// publish makes a new version of the list.
func (d *Discovery) publish(endpoints []endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.endpoints = endpoints
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) close() error { return d.server.Close() }

// ServeHTTP answers GET /api/targets, at once or as soon as there is a version newer than the one
// the caller has.
func (d *Discovery) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// Numbers that are missing or malformed ask for the complete list, at once.
	since, err := strconv.ParseInt(query.Get("since"), versionBase, versionBits)
	hasSince := query.Has("since")
	if err != nil {
		since = 0
	}
	waitMs, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil {
		waitMs = 0
	}
	if !d.await(r, hasSince, since, time.Duration(waitMs)*time.Millisecond) {
		return
	}
	d.mu.Lock()
	page := map[string]any{"seq": d.version, "whole": since < d.version, "hosts": d.endpoints}
	if since >= d.version {
		page["hosts"] = []endpoint{}
	}
	d.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(page) // the caller may have gone
}

// await waits for a version newer than the one the caller has, at most so long. It returns false if
// the caller is gone.
func (d *Discovery) await(r *http.Request, hasSince bool, since int64, timeout time.Duration) bool {
	d.mu.Lock()
	isCurrent := hasSince && since >= d.version
	changed := d.changed
	d.mu.Unlock()
	if !isCurrent {
		return true
	}
	select {
	case <-changed:
	case <-time.After(timeout):
	case <-r.Context().Done():
		return false
	}
	return true
}
