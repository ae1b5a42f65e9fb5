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
	Length   time.Duration
	Seed     uint64
	Book     *emulation.Book // nil where the servers are not ours
	Progress io.Writer       // nil: none

	mu    sync.Mutex
	idle  map[string][]*resp.Conn
	lanes []float64
}

// Second is what came of the tasks that were due in one second.
type Second struct{ Offered, Served, InTime, Rejected, Failed int }

// Report is what a run gives.
type Report struct {
	Offered, Served, InTime, Rejected, Terminated, Broken, Wrong int
	Length                                                       time.Duration
	Seconds                                                      []Second
	Times                                                        []*hdrhistogram.Histogram // by lane, from when tasks were due
	Lateness                                                     *hdrhistogram.Histogram   // of the sending itself
}

// verdicts of one task.
type end uint8

const (
	served end = iota
	wrong
	rejected
	terminated
	broken
)

// Run sends until the length is over or the context ends, waits for what is out, and reports.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	if d.Rate <= 0 || len(d.Gateways) == 0 {
		return nil, fmt.Errorf("load needs a rate of more than nought and a gateway; got %g and %d", d.Rate, len(d.Gateways))
	}
	d.idle = map[string][]*resp.Conn{}
	r := &Report{Lateness: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for range d.World.Classes {
		r.Times = append(r.Times, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	d.sums()
	chance := rand.New(rand.NewPCG(d.Seed, 21))
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
		due += time.Duration(chance.ExpFloat64() / d.Rate * float64(time.Second))
		if due >= d.Length {
			break
		}
		t := d.draw(chance, id)
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
			how := d.ask(t, began.Add(due))
			took := time.Since(began) - due
			mu.Lock()
			defer mu.Unlock()
			_ = r.Lateness.RecordValue(max(late.Microseconds(), 1))
			r.add(int(due/time.Second), t, how, took, d.World.Classes[t.lane].LatencyObjective.D())
		}(due)
	}
	wait.Wait()
	r.Length = time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range d.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	return r, nil
}

func (r *Report) add(second int, t task, how end, took, soft time.Duration) {
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, Second{})
	}
	s := &r.Seconds[second]
	r.Offered++
	s.Offered++
	switch how {
	case served:
		r.Served++
		s.Served++
		_ = r.Times[t.lane].RecordValue(max(took.Microseconds(), 1))
		if took <= soft {
			r.InTime++
			s.InTime++
		}
	case rejected:
		r.Rejected++
		s.Rejected++
	case wrong:
		r.Wrong++
	case terminated:
		r.Terminated++
		s.Failed++
	case broken:
		r.Broken++
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
			r.InTime, r.Rejected, r.Terminated+r.Broken)
		mu.Unlock()
	}
}

// task is one to be asked.
type task struct {
	id, customer uint64
	lane, plan   int
	units        float64
	first, width int
	gateway      string
}

func (d *Driver) sums() {
	sum := 0.0
	d.lanes = nil
	for _, l := range d.World.Classes {
		sum += l.Share
		d.lanes = append(d.lanes, sum)
	}
}

func (d *Driver) draw(chance *rand.Rand, id uint64) task {
	w := d.World
	share := 0.0
	for _, p := range w.Plans {
		share += p.Share
	}
	at, plan, before := chance.Float64()*share, 0, uint64(0)
	for plan < len(w.Plans)-1 && at >= w.Plans[plan].Share {
		at -= w.Plans[plan].Share
		before += uint64(w.Plans[plan].Customers)
		plan++
	}
	n := len(d.Gateways)
	lane := sort.SearchFloat64s(d.lanes, chance.Float64()*d.lanes[len(d.lanes)-1])
	return task{
		id: id, customer: before + uint64(chance.IntN(w.Plans[plan].Customers)) + 1, lane: min(lane, len(w.Classes)-1), plan: plan,
		units: min(max(float64(int(w.Load.MeanUnits*chance.ExpFloat64()+0.5)), 1), 3*w.Load.MeanUnits), width: n, gateway: d.Gateways[chance.IntN(n)],
	}
}

// ask sends a task and waits for its answer.
func (d *Driver) ask(t task, due time.Time) end {
	lane := &d.World.Classes[t.lane]
	until := due.Add(lane.Timeout.D())
	left := time.Until(until)
	if left <= 0 {
		return broken
	}
	conn, err := d.take(t.gateway, left)
	if err != nil {
		return broken
	}
	verb, key := "SVC.QUERY", ""
	if lane.Effect != "pure" {
		verb = "SVC.SUBMIT"
	}
	if lane.Effect == "receipted" {
		key = fmt.Sprintf("k=%016x,", t.id)
	}
	words := []string{verb, fmt.Sprintf("%016x", t.customer), fmt.Sprintf("%016x", t.id), fmt.Sprintf("c=%s,t=%s,d=%d,%sunits=%g,spread=%d,first=%d",
		lane.Name, d.World.Plans[t.plan].Name, left.Milliseconds(), key, t.units, t.width, t.first)}
	if verb == "SVC.SUBMIT" {
		words = append(words, "body")
	}
	if d.Book != nil {
		d.Book.Note(func(l *invariants.Checker, at time.Duration) {
			site := d.World.PolicySettings(0)
			l.RequestAccepted(invariants.Request{
				ID: t.id, Key: t.id, Customer: t.customer, Class: site.Classes[t.lane], Plan: t.plan, Units: t.units, AcceptedAt: at,
				Deadline: at + left,
			})
		})
	}
	_ = conn.SetDeadline(until.Add(50 * time.Millisecond))
	reply, err := d.exchange(conn, words)
	if err != nil {
		_ = conn.Close()
		return broken
	}
	d.keep(t.gateway, conn)
	how, made := terminated, true
	switch {
	case reply.Value != nil:
		how = served
		if made = reply.Value.String() == emulation.Value(t.id); !made {
			how = wrong
		}
		reply.Value.Free()
	case reply.Kind == '-' && strings.HasPrefix(reply.Line, "BUSY"):
		how = rejected
	}
	if d.Book != nil {
		d.Book.Note(func(l *invariants.Checker, at time.Duration) { l.RequestAnswered(at, t.id, made) })
	}
	return how
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

func (d *Driver) take(addr string, within time.Duration) (*resp.Conn, error) {
	d.mu.Lock()
	if list := d.idle[addr]; len(list) > 0 {
		c := list[len(list)-1]
		d.idle[addr] = list[:len(list)-1]
		d.mu.Unlock()
		if c.IsQuiet() {
			return c, nil
		}
		_ = c.Close()
		return d.take(addr, within)
	}
	d.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	return resp.NewConn(conn), nil
}

func (d *Driver) keep(addr string, c *resp.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle[addr] = append(d.idle[addr], c)
}

// Write writes the report as a table.
func (r *Report) Write(out io.Writer, lanes []scenario.TrafficClass) {
	part := func(n int) float64 { return 100 * float64(n) / float64(max(r.Offered, 1)) }
	fmt.Fprintf(out, "offered %d in %.1f s; served %.1f%%, in time %.1f%%, rejected %.1f%%, terminated %.1f%%, connections broken %.1f%%, wrong answers %d\n",
		r.Offered, r.Length.Seconds(), part(r.Served), part(r.InTime), part(r.Rejected), part(r.Terminated), part(r.Broken), r.Wrong)
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(out, "%-16s %9s %9s %9s %9s %9s\n", "lane", "served", "p50 ms", "p99 ms", "p99.9 ms", "most ms")
	for i, l := range lanes {
		h := r.Times[i]
		fmt.Fprintf(out, "%-16s %9d %9.1f %9.1f %9.1f %9.1f\n", l.Name, h.TotalCount(), ms(h, 50), ms(h, 99), ms(h, 99.9), float64(h.Max())/1000)
	}
	fmt.Fprintf(out, "tasks left %.2f ms late at p99 (the driver's own lateness; it is in the times)\n", ms(r.Lateness, 99))
}
