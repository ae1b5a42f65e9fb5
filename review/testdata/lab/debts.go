package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"harrierhoist/internal/control/settlement"
)

const partners = `[debts]
on = true
[[debts.partner]]
name = "a"
halls = ["hall-a"]
customers = ["0000000000000000-0000000000ffffff"]
[[debts.partner]]
name = "b"
halls = ["hall-b"]
customers = ["0000000001000000-0000000001ffffff"]
`

// doubledDebts: partner a's requests run at the servers of both halls, so a owes b what ran in hall-b. The gateway
// keeps its counts on disk. It is restarted by SIGTERM, once the debts are in the table, while its disk is full. The
// debts in the table must be those that hall-b's servers worked.
func doubledDebts(l *lab, trouble bool) (verdict, error) {
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
	g, err := newGroup(l, "", partners)
	if err != nil {
		return verdict{}, err
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
	common, err := g.file("n0", fmt.Sprintf("hall = \"hall-a\"\ndisk = %q\n", filepath.Join(l.temp, "disk-n0")), partners)
	if err != nil {
		return verdict{}, err
	}
	if err := mkdir(filepath.Join(l.temp, "disk-n0")); err != nil {
		return verdict{}, err
	}
	startGateway := func(prefix string) (*process, error) {
		p, err := l.start("n0", coordinatedFolder, prefix, "RELAY_CONFIG="+config, "RELAY_COMMON="+common)
		if err == nil {
			err = awaitReady(addr, 10*time.Second)
		}
		return p, err
	}
	gateway, err := startGateway("")
	if err != nil {
		return verdict{}, err
	}
	cl := newClients(l.rec)
	load := func(seconds int) {
		stop := make(chan struct{})
		cl.load(stop, addr, 60, func(n int) request {
			return request{class: "feed-read", plan: "team", customer: uint64(1 + n%20), units: 2, timeout: 3 * time.Second}
		})
		time.Sleep(time.Duration(seconds) * time.Second)
		close(stop)
		cl.pending.Wait()
	}
	load(3) // under the 5 s between two writes of the table, which leaves out changes of a tenth and less
	before, err := awaitDebt(g, f, l.rec, 20*time.Second)
	if err != nil {
		return verdict{}, err
	}
	l.rec.add("SIGTERM to n0")
	gateway.signal(syscall.SIGTERM)
	if !gateway.awaitEnd(10 * time.Second) {
		return verdict{}, fmt.Errorf("n0 has not ended")
	}
	prefix := ""
	if trouble {
		prefix = "ulimit -f 0; " // every write to a file fails, as on a full disk
		l.rec.add("n0 is started again, its disk is full")
	} else {
		l.rec.add("n0 is started again")
	}
	if gateway, err = startGateway(prefix); err != nil {
		return verdict{}, err
	}
	time.Sleep(15 * time.Second)
	owed, err := readDebt(g)
	if err != nil {
		return verdict{}, err
	}
	worked := f.unitsAt("hall-b")
	if !gateway.running() {
		return verdict{}, fmt.Errorf("n0 has ended: %s", gateway.logText())
	}
	for line := range strings.SplitSeq(gateway.logText(), "\n") {
		if strings.Contains(line, "settlement:") {
			l.rec.add("log of n0: %s", line)
		}
	}
	text := fmt.Sprintf("hall-b's servers worked %.3f units for partner a; the table said that a owes %.3f before the restart, %.3f after it",
		worked, before, owed)
	return verdict{owed != worked, text}, nil
}

// awaitDebt waits until the table has the debt that the servers worked.
func awaitDebt(g *group, f *fleet, rec *record, limit time.Duration) (float64, error) {
	owed := 0.0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var err error
		if owed, err = readDebt(g); err != nil {
			return 0, err
		}
		if owed > 0 && owed == f.unitsAt("hall-b") {
			rec.add("the table debts says that a owes b %.3f", owed)
			return owed, nil
		}
	}
	return 0, fmt.Errorf("the table says %.3f, the servers worked %.3f", owed, f.unitsAt("hall-b"))
}

// readDebt returns what a owes b by the table, in units.
func readDebt(g *group) (float64, error) {
	table, err := g.read(settlement.TableName)
	if err != nil {
		return 0, err
	}
	state, err := settlement.DecodeState(table.Value)
	if err != nil {
		return 0, err
	}
	for _, debt := range state.NetDebts {
		if debt.Debtor == "a" && debt.Creditor == "b" {
			return float64(debt.Sum) / 1000, nil
		}
	}
	return 0, nil
}

func (f *fleet) unitsAt(hall string) (units float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.hall == hall {
			units += r.units
		}
	}
	return units
}
