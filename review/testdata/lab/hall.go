package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case "hall", from the beginning of the load.
const (
	hallReload  = 5 * time.Second         // the new configuration is in place, and SIGHUP is sent
	hallListed  = 9500 * time.Millisecond // discovery lists the servers of the new hall
	hallFailing = 10 * time.Second        // one server of hall-a begins to fail
	hallSound   = 38 * time.Second        // it no longer fails
	hallEnd     = 40 * time.Second
)

// failingPart is the part of its requests that the failing server answers with an error, after it has run them.
const failingPart = 0.6

// newHall: three gateways run with the settings of two halls. A new configuration with a third hall is put in place
// and SIGHUP is sent; then discovery lists servers of the new hall. One server of hall-a fails part of what it is
// sent, after it has run it. Servers of one hall drop repeats of a keyed request. No keyed request may run in two
// halls.
func newHall(l *lab, trouble bool) (verdict, error) {
	f := newFleet(l.rec)
	d, err := newDiscovery()
	if err != nil {
		return verdict{}, err
	}
	c, err := newCounter()
	if err != nil {
		return verdict{}, err
	}
	const window = 2500 * time.Millisecond
	var failing atomic.Bool
	startHall := func(hall string, n, firstBlock int) (servers []*server, err error) {
		for i := range n {
			s := &server{
				name: fmt.Sprintf("s-%s-%d", hall, i), hall: hall, block: firstBlock + i/2, work: 100 * time.Millisecond,
				window: window, group: hall,
			}
			if hall == "hall-a" && i == 0 {
				s.behave = func(string) outcome {
					if failing.Load() && rand.Float64() < failingPart {
						return errs
					}
					return serves
				}
			}
			if err := f.start(s); err != nil {
				return nil, err
			}
			servers = append(servers, s)
		}
		return servers, nil
	}
	for i, hall := range []string{"hall-a", "hall-b"} {
		servers, err := startHall(hall, 4, 2*i)
		if err != nil {
			return verdict{}, err
		}
		d.publish("in_service", servers...)
	}
	configOf := func(me int, halls ...string) settings {
		return settings{
			gateways: 3, me: me, zone: me % 2, halls: halls,
			classes: []class{
				{"feed-read", "read_like", "all", 1200, 3000, 5000},
				{"notice-post", "idempotency_key", "zone", 1000, 4000, int(window.Milliseconds())},
			},
			plans: []object{{"Name": "colonia-plus", "UnitsPerS": 2000, "PeakUnits": 4000, "Pays": 1}},
		}
	}
	var gateways []*process
	var addrs, paths []string
	for me := range 3 {
		addr, err := freeAddr()
		if err != nil {
			return verdict{}, err
		}
		path := filepath.Join(l.temp, fmt.Sprintf("n%d.json", me))
		if err := writeConfig(path, fmt.Sprintf("n%d", me), addr, d, c, configOf(me, "hall-a", "hall-b")); err != nil {
			return verdict{}, err
		}
		p, err := l.start(fmt.Sprintf("n%d", me), ".", "", "RELAY_CONFIG="+path)
		if err != nil {
			return verdict{}, err
		}
		gateways = append(gateways, p)
		addrs = append(addrs, addr)
		paths = append(paths, path)
	}
	for _, addr := range addrs {
		if err := awaitReady(addr, 10*time.Second); err != nil {
			return verdict{}, err
		}
	}
	cl := newClients(l.rec)
	stop := make(chan struct{})
	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	for _, addr := range addrs {
		cl.load(stop, addr, 25, func(n int) request {
			r := request{class: "feed-read", plan: "colonia-plus", customer: uint64(1 + n%40), timeout: 3 * time.Second, gateways: 3}
			if n%2 == 0 {
				r.class, r.submit, r.timeout = "notice-post", true, 4*time.Second
				r.key = fmt.Sprintf("%016x", rand.Uint64())
			}
			return r
		})
	}
	until(hallReload)
	for me, p := range gateways {
		if !trouble {
			break
		}
		if err := writeConfig(paths[me], fmt.Sprintf("n%d", me), addrs[me], d, c, configOf(me, "hall-a", "hall-b", "hall-c")); err != nil {
			return verdict{}, err
		}
		l.rec.add("new configuration with hall-c for n%d, SIGHUP", me)
		p.signal(syscall.SIGHUP)
	}
	until(hallListed)
	if trouble {
		servers, err := startHall("hall-c", 4, 4)
		if err != nil {
			return verdict{}, err
		}
		l.rec.add("discovery lists the servers of hall-c")
		d.publish("in_service", servers...)
	}
	until(hallFailing)
	l.rec.add("s-hall-a-0 begins to fail")
	failing.Store(true)
	until(hallSound)
	l.rec.add("s-hall-a-0 no longer fails")
	failing.Store(false)
	until(hallEnd)
	close(stop)
	cl.pending.Wait()
	for _, p := range gateways {
		if !p.running() {
			return verdict{}, fmt.Errorf("%s has ended: %s", p.name, p.logText())
		}
		for line := range strings.SplitSeq(p.logText(), "\n") {
			if strings.Contains(line, "restart") || strings.Contains(line, "reloaded") {
				l.rec.add("log of %s: %s", p.name, line)
			}
		}
	}
	return f.judgeHalls(l.rec), nil
}

// judgeHalls counts the keyed requests that ran in more than one hall.
func (f *fleet) judgeHalls(rec *record) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	halls := map[string][]run{}
	keyed, broken := 0, 0
	for _, r := range f.runs {
		if r.key == "" {
			continue
		}
		first := halls[r.id]
		halls[r.id] = append(first, r)
		switch {
		case len(first) == 0:
			keyed++
		case first[0].hall != r.hall:
			broken++
			rec.add("BROKEN id=%s key=%s ran at %s (%s) at %.3f and at %s (%s) at %.3f", r.id, r.key, first[0].server,
				first[0].hall, rec.seconds(first[0].began), r.server, r.hall, rec.seconds(r.began))
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d of %d keyed requests ran in two halls", broken, keyed)}
}
