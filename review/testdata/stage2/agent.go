package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of the endpoint list in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// agent is a stand-in of discovery's agent. It answers the whole list at once, and a watch as soon
// as there is something newer.
type agent struct {
	listener net.Listener
	rec      *record

	mu      sync.Mutex
	seq     int
	hosts   []host
	changed map[string]int       // version at which a host's entry changed last
	news    chan struct{}        // closed at the next change
	told    map[string]time.Time // time at which a host's change was first written to the gateway
}

func startAgent(rec *record, servers []*server) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		listener: listener, rec: rec, seq: 1, changed: map[string]int{}, news: make(chan struct{}),
		told: map[string]time.Time{},
	}
	for _, s := range servers {
		a.hosts = append(a.hosts, host{
			Host: s.name, Dial: s.listener.Addr().String(), Site: s.site, Class: "c4-std", Block: s.block,
			Health: "in_service", Share: 1,
		})
		a.changed[s.name] = 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.answer)
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

// list returns the list in force, or the entries that changed after a version.
func (a *agent) list(since int, whole bool) (text []byte, seq int, names []string, news chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts := []host{}
	for _, h := range a.hosts {
		if whole || a.changed[h.Host] > since {
			hosts = append(hosts, h)
			names = append(names, h.Host)
		}
	}
	text, _ = json.Marshal(map[string]any{"seq": a.seq, "whole": whole, "hosts": hosts})
	return text, a.seq, names, a.news
}

func (a *agent) answer(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil {
		text, seq, names, _ := a.list(0, true)
		a.write(w, text, seq, names)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		text, seq, names, news := a.list(since, false)
		if seq > since {
			a.write(w, text, seq, names)
			return
		}
		select {
		case <-news:
		case <-limit:
			a.write(w, text, seq, names)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write writes an answer whole to the gateway and records when it told each change.
func (a *agent) write(w http.ResponseWriter, text []byte, seq int, names []string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := w.Write(text)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	at := time.Now()
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.hosts {
		if _, known := a.told[h.Host]; !known && h.Health != "in_service" && a.changed[h.Host] <= seq && contains(names, h.Host) {
			a.told[h.Host] = at
			a.rec.at(at, "told     %s is %s (version %d)", h.Host, h.Health, seq)
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// drain makes hosts terminating.
func (a *agent) drain(names ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	for i := range a.hosts {
		if contains(names, a.hosts[i].Host) {
			a.hosts[i].Health = "terminating"
			a.changed[a.hosts[i].Host] = a.seq
		}
	}
	a.rec.now("drain    %s", fmt.Sprint(names))
	close(a.news)
	a.news = make(chan struct{})
}

// toldAt returns when a host's drain was told, and whether it was.
func (a *agent) toldAt(name string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.told[name]
	return at, known
}
