package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"harrierhoist/internal/control/countingrule"
)

// Limits of the case "rule", in units a second and units: of each customer by rule 0, and of the group by the rules
// 1 and 2.
const (
	customerRate  = 10
	customerBurst = 10
	groupOneRate  = 80
	groupTwoRate  = 60
	burstsAllowed = 2 // beyond the limit, around a switch
	spanSeconds   = 3 // over which units are held against the limit, as docs/drill.md has it
)

const twoRules = `[counting]
try = 2
[[counting.rule]]
version = 1
key = ["group"]
group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]
limit = [{plan = "*", rate = 80.0, burst = 80.0}]
[[counting.rule]]
version = 2
key = ["group"]
group = [{name = "one", customers = [1, 2, 3, 4, 5, 6, 7, 8]}]
limit = [{plan = "*", rate = 60.0, burst = 60.0}]
[counting.canary]
sample = 20
calls = 60
deadline_s = 120
wrong = 50
rejected = 30
let_in = 100
beyond = 50
leave = 100
watch_s = 600
`

func groupRule(version uint64, rate float64) countingrule.Rule {
	return countingrule.Rule{
		Version: version, Key: []string{"group"},
		Groups: []countingrule.Group{{Name: "one", Customers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		Limits: []countingrule.Limit{{Plan: "*", Rate: rate, Burst: rate}},
	}
}

// staleRule: rule 2 is in force, after rule 1. A gateway is cut off from the voters; then rule 0 is scheduled and comes
// into force. From the switch on each customer may use its own limit, by whichever gateway.
func staleRule(l *lab, trouble bool) (verdict, error) {
	f := newFleet(l.rec)
	d, err := newDiscovery()
	if err != nil {
		return verdict{}, err
	}
	c, err := newCounter()
	if err != nil {
		return verdict{}, err
	}
	for n := range 6 {
		s := &server{name: fmt.Sprintf("s-%d", n), hall: "hall-a", block: n / 3, work: 40 * time.Millisecond}
		if err := f.start(s); err != nil {
			return verdict{}, err
		}
		d.publish("in_service", s)
	}
	g, err := newGroup(l, "", "") // no controller: the case writes the tables
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
	rules := []countingrule.Rule{groupRule(1, groupOneRate), groupRule(2, groupTwoRate)}
	if _, err := g.write(countingrule.TableName, countingrule.Table{
		Phase: countingrule.PhaseIdle, FromVersion: 2, ToVersion: 2, PreviousVersion: 1, Rules: rules,
		PhaseStart: time.Duration(time.Now().UnixNano()),
	}.Encode()); err != nil {
		return verdict{}, err
	}
	l.rec.add("rule 2 is in force, after rule 1")
	addr, err := freeAddr()
	if err != nil {
		return verdict{}, err
	}
	config := filepath.Join(l.temp, "n0.json")
	if err := writeConfig(config, "n0", addr, d, c, settings{
		gateways: 1, halls: []string{"hall-a"},
		classes: []class{{"feed-read", "read_like", "all", 1200, 3000, 5000}},
		plans:   []object{{"Name": "thin", "UnitsPerS": customerRate, "PeakUnits": customerBurst, "Pays": 1}},
	}); err != nil {
		return verdict{}, err
	}
	common, err := g.file("n0", "hall = \"hall-a\"\n", twoRules)
	if err != nil {
		return verdict{}, err
	}
	gateway, err := l.start("n0", coordinatedFolder, "", "RELAY_CONFIG="+config, "RELAY_COMMON="+common)
	if err != nil {
		return verdict{}, err
	}
	if err := awaitReady(addr, 10*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	cl := newClients(l.rec)
	stop := make(chan struct{})
	cl.load(stop, addr, 40, func(int) request {
		return request{class: "feed-read", plan: "thin", customer: 1, timeout: 3 * time.Second}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		for _, p := range g.proxies {
			p.setCut()
		}
		l.rec.add("n0 is cut off from the voters")
	}
	time.Sleep(time.Second)
	edge := time.Now().Add(6 * time.Second).Truncate(time.Second)
	if _, err := g.write(countingrule.TableName, countingrule.Table{
		Phase: countingrule.PhaseScheduled, FromVersion: 2, ToVersion: 0, PreviousVersion: 1, Rules: rules,
		SwitchAt: time.Duration(edge.UnixNano()), PhaseStart: time.Duration(time.Now().UnixNano()),
	}.Encode()); err != nil {
		return verdict{}, err
	}
	l.rec.add("rule 0 is scheduled, and comes into force in %.3f s", time.Until(edge).Seconds())
	time.Sleep(time.Until(edge.Add(15 * time.Second)))
	close(stop)
	cl.pending.Wait()
	if !gateway.running() {
		return verdict{}, fmt.Errorf("n0 has ended: %s", gateway.logText())
	}
	for line := range strings.SplitSeq(gateway.logText(), "\n") {
		if strings.Contains(line, "counting:") || strings.Contains(line, "lease") {
			l.rec.add("log of n0: %s", line)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var after []run
	for _, r := range f.arrived {
		if r.began.After(edge) {
			after = append(after, r)
		}
	}
	worst, total := 0.0, 0.0
	for i, first := range after {
		total += first.units
		units := 0.0
		for _, r := range after[i:] {
			span := r.began.Sub(first.began).Seconds()
			if span > spanSeconds {
				break
			}
			units += r.units
			worst = max(worst, units-customerRate*span)
		}
	}
	return verdict{worst > burstsAllowed*customerBurst, fmt.Sprintf(
		"in 15 s after the switch customer 1 had %.0f units, %.0f above its rate within %d s; allowed are %d above it (%d bursts)",
		total, worst, spanSeconds, burstsAllowed*customerBurst, burstsAllowed)}, nil
}
