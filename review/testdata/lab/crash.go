package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// oneRule is a counting rule that is in the files and not in force: requests count by customer, as without it.
const oneRule = `[counting]
try = 0
[[counting.rule]]
version = 1
key = ["customer", "lane"]
[counting.canary]
sample = 20
calls = 60
deadline_s = 1800
wrong = 50
rejected = 30
let_in = 100
beyond = 50
leave = 100
watch_s = 600
`

// lostVoters: two gateways of a deployment without a counter follow three voters. All voters are killed, and started
// again 10 s later. The gateways have to serve on.
func lostVoters(l *lab, trouble bool) (verdict, error) {
	f := newFleet(l.rec)
	d, err := newDiscovery()
	if err != nil {
		return verdict{}, err
	}
	for n := range 6 {
		s := &server{name: fmt.Sprintf("s-%d", n), hall: "hall-a", block: n / 3, work: 60 * time.Millisecond}
		if err := f.start(s); err != nil {
			return verdict{}, err
		}
		d.publish("in_service", s)
	}
	g, err := newGroup(l, "", oneRule)
	if err != nil {
		return verdict{}, err
	}
	if err := g.startAll(); err != nil {
		return verdict{}, err
	}
	if _, err := g.leader(20 * time.Second); err != nil {
		return verdict{}, err
	}
	var gateways []*process
	var addrs []string
	for me := range 2 {
		name := fmt.Sprintf("n%d", me)
		addr, err := freeAddr()
		if err != nil {
			return verdict{}, err
		}
		config := filepath.Join(l.temp, name+".json")
		if err := writeConfig(config, name, addr, d, nil, settings{
			gateways: 2, me: me, halls: []string{"hall-a"},
			classes: []class{{"feed-read", "read_like", "all", 1200, 3000, 5000}},
			plans:   []object{{"Name": "team", "UnitsPerS": 200, "PeakUnits": 400, "Pays": 1}},
		}); err != nil {
			return verdict{}, err
		}
		common, err := g.file(name, "hall = \"hall-a\"\n", oneRule)
		if err != nil {
			return verdict{}, err
		}
		p, err := l.start(name, coordinatedFolder, "", "RELAY_CONFIG="+config, "RELAY_COMMON="+common)
		if err != nil {
			return verdict{}, err
		}
		gateways = append(gateways, p)
		addrs = append(addrs, addr)
	}
	for _, addr := range addrs {
		if err := awaitReady(addr, 10*time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(2 * time.Second) // both have read the tables
	cl := newClients(l.rec)
	stop := make(chan struct{})
	for _, addr := range addrs {
		cl.load(stop, addr, 20, func(n int) request {
			return request{class: "feed-read", plan: "team", customer: uint64(1 + n%20), timeout: 3 * time.Second, gateways: 2}
		})
	}
	time.Sleep(5 * time.Second)
	for _, v := range g.voters {
		if trouble {
			l.rec.add("SIGKILL to voter %s", v.name)
			v.process.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(10 * time.Second)
	for _, v := range g.voters {
		if trouble {
			if err := g.start(v); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	cl.pending.Wait()
	ended := 0
	for _, p := range gateways {
		if p.running() {
			continue
		}
		ended++
		for line := range strings.SplitSeq(p.logText(), "\n") {
			if strings.HasPrefix(line, "panic") || strings.HasPrefix(line, "harrierhoist/") {
				l.rec.add("log of %s: %s", p.name, line)
			}
		}
	}
	lost := 0
	for _, a := range cl.answers {
		if strings.HasPrefix(a.text, "no answer") {
			lost++
		}
	}
	return verdict{ended > 0 || lost > 0, fmt.Sprintf("%d of 2 gateways ended by themselves; %d of %d requests that they took were not answered",
		ended, lost, len(cl.answers))}, nil
}
