package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case "drain", from SIGTERM.
const (
	drainKill     = 3700 * time.Millisecond // the longest deadline, counted as 3 s at most, and 0.7 s
	drainTaken    = 750 * time.Millisecond  // what came later must not be lost; 0.7 s, and 50 ms as every limit
	drainCrossing = 100 * time.Millisecond  // before the end of its connection: such a request may have crossed it
	drainPace     = 40 * time.Millisecond   // between two requests of a connection
)

// pipelined is a request that was written whole on a connection that carries others.
type pipelined struct {
	id         string
	sentAt     time.Time
	answeredAt time.Time
	text       string
}

// pipeline is one connection on which a client sends without waiting for answers, until the connection ends.
type pipeline struct {
	mu       sync.Mutex
	requests []*pipelined
	answered int
	endedAt  time.Time
	end      string
}

// busyConnections: clients send on open connections up to SIGKILL, without waiting for the answers before. A gateway
// gets SIGTERM, and SIGKILL at its earliest. What came whole later than 0.7 s after SIGTERM, and did not cross the
// end of its connection, has to be answered.
func busyConnections(l *lab, trouble bool) (verdict, error) {
	f := newFleet(l.rec)
	d, err := newDiscovery()
	if err != nil {
		return verdict{}, err
	}
	c, err := newCounter()
	if err != nil {
		return verdict{}, err
	}
	var hanging atomic.Bool
	for n := range 6 {
		s := &server{name: fmt.Sprintf("s-%d", n), hall: "hall-a", block: n / 3, work: 150 * time.Millisecond}
		if n < 2 {
			s.behave = func(string) outcome {
				if hanging.Load() {
					return hangs
				}
				return serves
			}
		}
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
		classes: []class{{"feed-read", "read_like", "all", 1200, 3000, 5000}},
		plans:   []object{{"Name": "team", "UnitsPerS": 2000, "PeakUnits": 4000, "Pays": 1}},
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
	stop := make(chan struct{})
	var pipelines []*pipeline
	var running sync.WaitGroup
	for n := range 3 {
		p := &pipeline{}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return verdict{}, err
		}
		pipelines = append(pipelines, p)
		running.Go(func() { p.send(l.rec, conn, n, stop) })
		running.Go(func() { p.receive(l.rec, conn) })
	}
	time.Sleep(5 * time.Second)
	l.rec.add("s-0 and s-1 hang from now on")
	hanging.Store(true)
	term := time.Now()
	if trouble {
		term = l.rec.add("SIGTERM to n0")
		gateway.signal(syscall.SIGTERM)
		if !gateway.awaitEnd(time.Until(term.Add(drainKill))) {
			l.rec.add("SIGKILL to n0")
			gateway.signal(syscall.SIGKILL)
		}
		if !gateway.awaitEnd(5 * time.Second) {
			return verdict{}, fmt.Errorf("n0 has not ended")
		}
		l.rec.add("n0 has ended")
	} else {
		time.Sleep(drainKill)
	}
	close(stop)
	running.Wait()
	lost, late := 0, 0
	for i, p := range pipelines {
		l.rec.add("connection %d ended at %.3f with %s, %d of %d answered", i, l.rec.seconds(p.endedAt), p.end, p.answered, len(p.requests))
		for _, r := range p.requests {
			cameLate := r.sentAt.Sub(term) > drainTaken
			crossed := p.endedAt.Sub(r.sentAt) < drainCrossing
			switch {
			case !cameLate || crossed:
			case r.text == "":
				lost++
				l.rec.add("BROKEN id=%s sent %.3f s after SIGTERM, %.3f s before its connection ended, was not answered", r.id,
					r.sentAt.Sub(term).Seconds(), p.endedAt.Sub(r.sentAt).Seconds())
			default:
				late++
			}
		}
	}
	return verdict{lost > 0, fmt.Sprintf("of %d requests that came whole later than 0.7 s after SIGTERM, %d were not answered", lost+late, lost)}, nil
}

// send sends requests at a pace until the connection ends.
func (p *pipeline) send(rec *record, conn net.Conn, number int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			p.awaitAnswers(10 * time.Second)
			_ = conn.Close()
			return
		case <-time.After(drainPace):
		}
		p.mu.Lock()
		ended := !p.endedAt.IsZero()
		p.mu.Unlock()
		if ended {
			return
		}
		r := &pipelined{id: fmt.Sprintf("%016x", 0xd1a1000000000000+uint64(number)<<32+uint64(n))}
		text := format(r.id, request{class: "feed-read", plan: "team", customer: uint64(1 + n%20), timeout: 3 * time.Second})
		p.mu.Lock() // an answer is matched to the requests before it
		if _, err := io.WriteString(conn, text); err != nil {
			p.mu.Unlock()
			return
		}
		r.sentAt = rec.add("sent id=%s on connection %d", r.id, number)
		p.requests = append(p.requests, r)
		p.mu.Unlock()
	}
}

// awaitAnswers waits until no answer is to come any more, or the limit has passed.
func (p *pipeline) awaitAnswers(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		done := p.answered == len(p.requests) || !p.endedAt.IsZero()
		p.mu.Unlock()
		if done {
			return
		}
	}
}

// receive matches answers to the requests, in their order, until the connection ends, and closes it then.
func (p *pipeline) receive(rec *record, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		var a answer
		err := readAnswerFrom(reader, &a)
		p.mu.Lock()
		if err != nil {
			p.endedAt = time.Now()
			p.end = err.Error()
			p.mu.Unlock()
			_ = conn.Close()
			return
		}
		r := p.requests[p.answered]
		p.answered++
		r.text = a.text
		r.answeredAt = rec.add("answer id=%s %s %s", r.id, a.text, a.value)
		p.mu.Unlock()
	}
}
