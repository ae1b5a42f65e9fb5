package emulation

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// host is an entry of discovery's list.
type listedHost struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Discovery is an emulated discovery: it tells whole lists.
type Discovery struct {
	Addr    string
	server  *http.Server
	mu      sync.Mutex
	seq     int64
	hosts   []listedHost
	changed chan struct{}
	Polls   atomic.Int64
}

func newDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), changed: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

func (d *Discovery) publish(hosts []listedHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	d.hosts = hosts
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) close() { _ = d.server.Close() }

// ServeHTTP answers GET /api/targets, at once or once there is something newer than the version asked for.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Polls.Add(1)
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	late := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	if r.URL.Query().Has("since") && since >= d.seq {
		news := d.changed
		d.mu.Unlock()
		select {
		case <-news:
		case <-late:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	page := map[string]any{"seq": d.seq, "whole": since < d.seq, "hosts": d.hosts}
	if since >= d.seq {
		page["hosts"] = []listedHost{}
	}
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(page)
}
