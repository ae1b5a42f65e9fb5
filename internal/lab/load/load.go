// Package load drives running gateways over their RESP2 front at a given rate. Tasks go out when they are due, whether
// earlier ones were answered or not, and times count from when a task was due: a gateway that stands still is not
// spared the tasks that should have come meanwhile (no coordinated omission).
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierhoist/internal/lab/emulation"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/resp"
)

// Driver sends load.
type Driver struct {
	World    *scenario.Scenario
	Gateways []string // their addresses
	Rate     float64  // tasks a second
	Duration time.Duration
	Seed     uint64
	Recorder *emulation.Recorder // nil where the servers are not ours
	Progress io.Writer           // nil: none

	mu          sync.Mutex
	idle        map[string][]*resp.Conn
	classShares []float64
}

// Second is what came of the tasks that were due in one second.
type Second struct{ Offered, Served, InTime, Rejected, Failed int }

// Report is what a run gives.
type Report struct {
	Offered, Served, InTime, Rejected, Terminated, Disconnected, WrongAnswers int
	Duration                                                                  time.Duration
	Seconds                                                                   []Second
	Latencies                                                                 []*hdrhistogram.Histogram // by lane, from when tasks were due
	SendDelay                                                                 *hdrhistogram.Histogram   // of the sending itself
}

// verdicts of one task.
type outcome uint8

const (
	served outcome = iota
	wrongAnswer
	rejected
	terminated
	disconnected
)

// Run sends until the length is over or the context ends, waits for what is out, and reports.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	if d.Rate <= 0 || len(d.Gateways) == 0 {
		return nil, fmt.Errorf("load needs a rate of more than nought and a gateway; got %g and %d", d.Rate, len(d.Gateways))
	}
	d.idle = map[string][]*resp.Conn{}
	r := &Report{SendDelay: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for range d.World.Classes {
		r.Latencies = append(r.Latencies, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	d.sumShares()
	random := rand.New(rand.NewPCG(d.Seed, 21))
	began := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	if d.Progress != nil {
		stop := make(chan struct{})
		defer close(stop)
		go d.progress(r, &mu, began, stop)
	}
	due := time.Duration(0)
	id := d.Seed<<32 + 1
	for {
		due += time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second))
		if due >= d.Duration {
			break
		}
		req := d.drawRequest(random, id)
		id++
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(due))):
		}
		if ctx.Err() != nil {
			break
		}
		wait.Add(1)
		go func(due time.Duration) {
			defer wait.Done()
			late := time.Since(began) - due
			result := d.send(req, began.Add(due))
			took := time.Since(began) - due
			mu.Lock()
			defer mu.Unlock()
			_ = r.SendDelay.RecordValue(max(late.Microseconds(), 1))
			r.record(int(due/time.Second), req, result, took, d.World.Classes[req.class].LatencyObjective.D())
		}(due)
	}
	wait.Wait()
	r.Duration = time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	return r, nil
}

func (r *Report) record(second int, req request, result outcome, took, soft time.Duration) {
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, Second{})
	}
	s := &r.Seconds[second]
	r.Offered++
	s.Offered++
	switch result {
	case served:
		r.Served++
		s.Served++
		_ = r.Latencies[req.class].RecordValue(max(took.Microseconds(), 1))
		if took <= soft {
			r.InTime++
			s.InTime++
		}
	case rejected:
		r.Rejected++
		s.Rejected++
	case wrongAnswer:
		r.WrongAnswers++
	case terminated:
		r.Terminated++
		s.Failed++
	case disconnected:
		r.Disconnected++
		s.Failed++
	}
}

// progress writes a line a second.
func (d *Driver) progress(r *Report, mu *sync.Mutex, began time.Time, stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			fmt.Fprintln(d.Progress)
			return
		case <-tick.C:
		}
		mu.Lock()
		fmt.Fprintf(d.Progress, "\r%4.0fs  offered %d  served %d  in time %d  rejected %d  failed %d ", time.Since(began).Seconds(), r.Offered, r.Served,
			r.InTime, r.Rejected, r.Terminated+r.Disconnected)
		mu.Unlock()
	}
}

// task is one to be asked.
type request struct {
	id, customer        uint64
	class, plan         int
	units               float64
	first, gatewayCount int
	gateway             string
}

func (d *Driver) sumShares() {
	sum := 0.0
	d.classShares = nil
	for _, l := range d.World.Classes {
		sum += l.Share
		d.classShares = append(d.classShares, sum)
	}
}

func (d *Driver) drawRequest(random *rand.Rand, id uint64) request {
	w := d.World
	share := 0.0
	for _, p := range w.Plans {
		share += p.Share
	}
	at, plan, before := random.Float64()*share, 0, uint64(0)
	for plan < len(w.Plans)-1 && at >= w.Plans[plan].Share {
		at -= w.Plans[plan].Share
		before += uint64(w.Plans[plan].Customers)
		plan++
	}
	n := len(d.Gateways)
	lane := sort.SearchFloat64s(d.classShares, random.Float64()*d.classShares[len(d.classShares)-1])
	return request{
		id: id, customer: before + uint64(random.IntN(w.Plans[plan].Customers)) + 1, class: min(lane, len(w.Classes)-1), plan: plan,
		units: min(max(float64(int(w.Load.MeanUnits*random.ExpFloat64()+0.5)), 1), 3*w.Load.MeanUnits), gatewayCount: n, gateway: d.Gateways[random.IntN(n)],
	}
}

// ask sends a task and waits for its answer.
func (d *Driver) send(req request, due time.Time) outcome {
	lane := &d.World.Classes[req.class]
	until := due.Add(lane.Timeout.D())
	left := time.Until(until)
	if left <= 0 {
		return disconnected
	}
	conn, err := d.acquireConn(req.gateway, left)
	if err != nil {
		return disconnected
	}
	verb, key := "SVC.QUERY", ""
	if lane.Effect != "pure" {
		verb = "SVC.SUBMIT"
	}
	if lane.Effect == "receipted" {
		key = fmt.Sprintf("k=%016x,", req.id)
	}
	words := []string{verb, fmt.Sprintf("%016x", req.customer), fmt.Sprintf("%016x", req.id), fmt.Sprintf("c=%s,t=%s,d=%d,%sunits=%g,spread=%d,first=%d",
		lane.Name, d.World.Plans[req.plan].Name, left.Milliseconds(), key, req.units, req.gatewayCount, req.first)}
	if verb == "SVC.SUBMIT" {
		words = append(words, "body")
	}
	if d.Recorder != nil {
		d.Recorder.Record(func(l *invariants.Checker, at time.Duration) {
			site := d.World.PolicySettings(0)
			l.RequestAccepted(invariants.Request{
				ID: req.id, Key: req.id, Customer: req.customer, Class: site.Classes[req.class], Plan: req.plan, Units: req.units, AcceptedAt: at,
				Deadline: at + left,
			})
		})
	}
	_ = conn.SetDeadline(until.Add(50 * time.Millisecond))
	reply, err := d.exchange(conn, words)
	if err != nil {
		_ = conn.Close()
		return disconnected
	}
	d.releaseConn(req.gateway, conn)
	result, made := terminated, true
	switch {
	case reply.Value != nil:
		result = served
		if made = reply.Value.String() == emulation.Value(req.id); !made {
			result = wrongAnswer
		}
		reply.Value.Free()
	case reply.Kind == '-' && strings.HasPrefix(reply.Line, "BUSY"):
		result = rejected
	}
	if d.Recorder != nil {
		d.Recorder.Record(func(l *invariants.Checker, at time.Duration) { l.RequestAnswered(at, req.id, made) })
	}
	return result
}

func (d *Driver) exchange(c *resp.Conn, words []string) (*resp.Reply, error) {
	if err := c.WriteCommand(&resp.Command{Words: words}); err != nil {
		return nil, err
	}
	if err := c.Await(); err != nil {
		return nil, err
	}
	return c.ReadReply()
}

func (d *Driver) acquireConn(addr string, within time.Duration) (*resp.Conn, error) {
	d.mu.Lock()
	if list := d.idle[addr]; len(list) > 0 {
		c := list[len(list)-1]
		d.idle[addr] = list[:len(list)-1]
		d.mu.Unlock()
		if c.IsQuiet() {
			return c, nil
		}
		_ = c.Close()
		return d.acquireConn(addr, within)
	}
	d.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	return resp.NewConn(conn), nil
}

func (d *Driver) releaseConn(addr string, c *resp.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle[addr] = append(d.idle[addr], c)
}

// Write writes the report as a table.
func (r *Report) WriteTable(out io.Writer, lanes []scenario.TrafficClass) {
	part := func(n int) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }
	fmt.Fprintf(out, "offered %d in %.1f s; served %.1f%%, in time %.1f%%, rejected %.1f%%, terminated %.1f%%, connections broken %.1f%%, wrong answers %d\n",
		r.Offered, r.Duration.Seconds(), part(r.Served), part(r.InTime), part(r.Rejected), part(r.Terminated), part(r.Disconnected), r.WrongAnswers)
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "%-16s %9s %9s %9s %9s %9s\n", "lane", "served", "p50 ms", "p99 ms", "p99.9 ms", "most ms")
	for i, l := range lanes {
		h := r.Latencies[i]
		fmt.Fprintf(out, "%-16s %9d %9.1f %9.1f %9.1f %9.1f\n", l.Name, h.TotalCount(), ms(h, 50), ms(h, 99), ms(h, 99.9), float64(h.Max())/1000)
	}
	fmt.Fprintf(out, "tasks left %.2f ms late at p99 (the driver's own lateness; it is in the times)\n", ms(r.SendDelay, 99))
}
