package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"harrierhoist/internal/control/failover"
)

// Leases of the case "lease": the one of the start, and the one that all files say later.
const (
	longLease  = 20 * time.Second
	shortLease = 2 * time.Second
	leaseSlack = time.Second     // beyond a lease, for what is on its way
	cutAfter   = 7 * time.Second // after SIGHUP: the gateway has read the tables under the shorter lease
)

const twoHalls = `[failover]
on = true
bears = 100
[[failover.regions]]
name = "north"
halls = ["hall-a", "hall-b"]
`

// planFor returns a plan in which all requests of hall-a are sent to one hall.
func planFor(hall string) ([]byte, error) {
	plan := failover.Plan{
		Rows:   map[string]map[string]int{"hall-a": {hall: 1000}, "hall-b": {"hall-b": 1000}},
		Health: map[string]int{"hall-a": 1000, "hall-b": 1000},
	}
	return plan.Encode()
}

// shorterLease: a gateway in hall-a acts on a plan by which its requests go to hall-b. All files are changed to a
// shorter lease, and all processes get SIGHUP. 7 s later the gateway is cut off from the voters, and the plan is
// replaced by one that has hall-a serve its own requests. One lease after that, no attempt may go to hall-b.
func shorterLease(l *lab, trouble bool) (verdict, error) {
	f := newFleet(l.rec)
	d, err := newDiscovery()
	if err != nil {
		return verdict{}, err
	}
	c, err := newCounter()
	if err != nil {
		return verdict{}, err
	}
	for i, hall := range []string{"hall-a", "hall-b"} {
		for n := range 3 {
			s := &server{name: fmt.Sprintf("s-%s-%d", hall, n), hall: hall, block: i, work: 60 * time.Millisecond}
			if err := f.start(s); err != nil {
				return verdict{}, err
			}
			d.publish("in_service", s)
		}
	}
	leaseOf := func(lease time.Duration) string { return fmt.Sprintf("lease = %q\n", lease) }
	g, err := newGroup(l, leaseOf(longLease), "") // no controller: the case writes the plans
	if err != nil {
		return verdict{}, err
	}
	for _, v := range g.voters {
		if g.proxies["n0>"+v.name], err = newCutProxy(v.addr); err != nil {
			return verdict{}, err
		}
	}
	if err := g.startAll(); err != nil {
		return verdict{}, err
	}
	if _, err := g.leader(20 * time.Second); err != nil {
		return verdict{}, err
	}
	addr, err := freeAddr()
	if err != nil {
		return verdict{}, err
	}
	config := filepath.Join(l.temp, "n0.json")
	if err := writeConfig(config, "n0", addr, d, c, settings{
		gateways: 1, halls: []string{"hall-a", "hall-b"},
		classes: []class{{"feed-read", "read_like", "all", 1200, 3000, 5000}},
		plans:   []object{{"Name": "team", "UnitsPerS": 2000, "PeakUnits": 4000, "Pays": 1}},
	}); err != nil {
		return verdict{}, err
	}
	const own = "hall = \"hall-a\"\n"
	common, err := g.file("n0", own, twoHalls)
	if err != nil {
		return verdict{}, err
	}
	write := func(hall string) (time.Time, error) {
		value, err := planFor(hall)
		if err != nil {
			return time.Time{}, err
		}
		epoch, err := g.write(failover.TableName, value)
		if err != nil {
			return time.Time{}, err
		}
		return l.rec.add("the plan has hall-a's requests at %s, epoch %d", hall, epoch), nil
	}
	if _, err := write("hall-b"); err != nil {
		return verdict{}, err
	}
	gateway, err := l.start("n0", coordinatedFolder, "", "RELAY_CONFIG="+config, "RELAY_COMMON="+common)
	if err != nil {
		return verdict{}, err
	}
	if err := awaitReady(addr, 10*time.Second); err != nil {
		return verdict{}, err
	}
	cl := newClients(l.rec)
	stop := make(chan struct{})
	cl.load(stop, addr, 20, func(n int) request {
		return request{class: "feed-read", plan: "team", customer: uint64(1 + n%20), timeout: 3 * time.Second}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		g.timing = leaseOf(shortLease)
		for _, v := range g.voters {
			if _, err := g.file(v.name, fmt.Sprintf("voter = true\ndisk = %q\n", v.disk), g.terms); err != nil {
				return verdict{}, err
			}
			v.process.signal(syscall.SIGHUP)
		}
		if _, err := g.file("n0", own, twoHalls); err != nil {
			return verdict{}, err
		}
		gateway.signal(syscall.SIGHUP)
		l.rec.add("all files say lease = %v, SIGHUP to all processes", shortLease)
		time.Sleep(cutAfter)
		for _, p := range g.proxies {
			p.setCut()
		}
		l.rec.add("n0 is cut off from the voters")
	}
	time.Sleep(500 * time.Millisecond)
	replaced, err := write("hall-a")
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(25 * time.Second)
	close(stop)
	cl.pending.Wait()
	if !gateway.running() {
		return verdict{}, fmt.Errorf("n0 has ended: %s", gateway.logText())
	}
	for line := range strings.SplitSeq(gateway.logText(), "\n") {
		if strings.Contains(line, "routing:") || strings.Contains(line, "lease") || strings.Contains(line, "configuration") {
			l.rec.add("log of n0: %s", line)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	stale, total, before := 0, 0, 0
	latest := time.Duration(0)
	for _, r := range f.arrived {
		age := r.began.Sub(replaced)
		switch {
		case age < 0 && r.hall == "hall-b":
			before++
		case age > shortLease+leaseSlack:
			total++
			if r.hall == "hall-b" {
				stale++
				latest = max(latest, age)
			}
		}
	}
	if before < 20 {
		return verdict{}, fmt.Errorf("only %d attempts went by the first plan", before)
	}
	return verdict{stale > 0, fmt.Sprintf("%d of %d attempts later than %v after the plan was replaced went by the replaced one, the latest %.1f s after",
		stale, total, shortLease+leaseSlack, latest.Seconds())}, nil
}
