package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// leftSlack is how long after its client's close an attempt may begin: 0.1 s, and 50 ms as every limit.
const leftSlack = 150 * time.Millisecond

// leftClients: a gateway stands still for 1.5 to 2 s every 2 to 3.4 s while the counter answers nothing. Some clients
// close their connection while they wait. No attempt may begin more than 0.1 s after the close.
func leftClients(l *lab, trouble bool) (verdict, error) {
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
	addr, err := freeAddr()
	if err != nil {
		return verdict{}, err
	}
	config := filepath.Join(l.temp, "n0.json")
	if err := writeConfig(config, "n0", addr, d, c, settings{
		gateways: 1, halls: []string{"hall-a"},
		classes: []class{
			{"offer-list", "read_like", "all", 2000, 7500, 5000},
			{"paid-confirm", "non_idempotent", "all", 2000, 7500, 5000},
		},
		plans: []object{{"Name": "plus", "UnitsPerS": 2000, "PeakUnits": 4000, "Pays": 1}},
	}); err != nil {
		return verdict{}, err
	}
	gateway, err := l.start("n0", ".", "", "RELAY_CONFIG="+config)
	if err != nil {
		return verdict{}, err
	}
	if err := awaitReady(addr, 10*time.Second); err != nil {
		return verdict{}, err
	}
	cl := newClients(l.rec)
	stop := make(chan struct{})
	cl.load(stop, addr, 60, func(n int) request {
		return request{class: "offer-list", plan: "plus", customer: uint64(1 + n%20), timeout: 6 * time.Second}
	})
	leavers := &leavingClients{rec: l.rec, addr: addr, closed: map[string]time.Time{}}
	leavers.pending.Go(func() { leavers.run(stop) })
	time.Sleep(2 * time.Second)
	if trouble {
		l.rec.add("the counter answers nothing")
		c.setSilent(true)
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); {
		if trouble {
			l.rec.add("n0 stands still")
			gateway.signal(syscall.SIGSTOP)
			time.Sleep(1500*time.Millisecond + rand.N(500*time.Millisecond))
			l.rec.add("n0 goes on")
			gateway.signal(syscall.SIGCONT)
		}
		time.Sleep(500*time.Millisecond + rand.N(900*time.Millisecond))
	}
	c.setSilent(false)
	close(stop)
	leavers.pending.Wait()
	cl.pending.Wait()
	if !gateway.running() {
		return verdict{}, fmt.Errorf("n0 has ended: %s", gateway.logText())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := 0
	for _, r := range f.arrived {
		if at, ok := leavers.closed[r.id]; ok && r.began.Sub(at) > leftSlack {
			broken++
			l.rec.add("BROKEN id=%s class=%s arrived %.3f s after its client left", r.id, r.class, r.began.Sub(at).Seconds())
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d attempts began more than 0.1 s after their clients had left, of %d that left unanswered",
		broken, len(leavers.closed))}, nil
}

// leavingClients send a request each on a connection of its own, and close it after 0.4 s if there is no answer.
type leavingClients struct {
	rec     *record
	addr    string
	pending sync.WaitGroup

	mu     sync.Mutex
	closed map[string]time.Time // when the client of a request left, by the request's ID
}

// run starts some 200 clients a second.
func (c *leavingClients) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(2+rand.IntN(5)) * time.Millisecond):
			c.pending.Go(func() { c.send(n) })
		}
	}
}

func (c *leavingClients) send(n int) {
	r := request{class: "paid-confirm", plan: "plus", customer: uint64(1 + n%20), timeout: 6 * time.Second, submit: true}
	id := fmt.Sprintf("%016x", 0x1eaf000000000000+uint64(n))
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	c.rec.add("sent id=%s class=%s by a client that leaves", id, r.class)
	_, _ = io.WriteString(conn, format(id, r))
	a := answer{id: id}
	_ = conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	err = readAnswer(conn, &a)
	_ = conn.Close()
	at := c.rec.add("left id=%s %s", id, a.text)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed[id] = at
	}
}
