// Package gate is the blocking face of the decisions. Whoever carries a task asks Pick what to do with it,
// pushes where it says, and tells by Report how that ended; Tick lets time pass. Behind it the gate owns the
// one instance of the module: it hands it events under one lock and carries out what it asks for. It decides
// nothing.
package gate

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/pool"
	"harrierhoist/policy"
)

// Outside is what the gate asks of the network. Neither may wait, nor call back before it returns: the gate's
// lock is held, and a call back takes it.
type Outside struct {
	// Count adds to a number of the counter. Told is called once, with the total, however late that comes.
	Count func(name uint64, units float64, keep time.Duration, told func(float64, policy.Outcome))
	// Probe asks a server for its load.
	Probe func(s Server, told func(Result))
	// Kept is how long a connection to a server is kept after its latest push: the module is handed those servers
	// that our pushes can keep open. At 0 it is handed all.
	Kept time.Duration
}

// Server is a server as discovery names it.
type Server struct {
	Name, Dial string
	Listed     policy.Listed // its number is given here
	mark       uint64        // of its name
}

// Task is what a client asks; Patience counts from now.
type Task struct {
	Lane, Plan, First, Width int

	Customer uint64
	Units    float64
	Patience time.Duration
	Repeat   bool
}

// Result tells how a push ended.
type Result struct {
	Outcome policy.Outcome
	Billed  float64 // true units; 0: not told
	Use     float64 // 1 + the part of its rate that the customer used of late; 0: not told
	Report  []float32
}

// Verdict is what is to be done with a task.
type Verdict uint8

// The verdicts. All but Push are final.
const (
	Push Verdict = iota
	Reject
	Terminate
	Left // its client has gone: no answer is owed
)

// Choice is a verdict and what goes with it.
type Choice struct {
	Verdict Verdict
	Server  Server
	Until   time.Time       // a push that has no answer by then is given up
	Wanted  context.Context // ends when the push is to be given up at once
	Away    time.Duration   // a rejected client is to stay away so long
}

// Gate owns the instance.
type Gate struct {
	mu      sync.Mutex
	module  *policy.Gateway
	outside Outside
	log     *zap.Logger

	start  time.Time
	origin time.Duration // the start on the common clock

	errands map[uint32]*Errand // those that the module may still ask something of
	latest  uint32
	servers map[uint32]Server // those listed, by the module's number
	pool    *pool.Pool        // which of them the module is handed
	numbers map[string]uint32 // by name
	named   uint32            // the latest number; none is used twice

	wakes  wakes
	asked  map[uint64]*wake // the latest by token
	calls  []*call          // to the counter, oldest first; the answered leave with those before them
	alarm  *time.Timer
	due    time.Duration // when the alarm rings; 0: never
	watch  chan struct{}
	report int // how many figures a load report has
}

// call is a call to the counter.
type call struct {
	name   uint64
	at     time.Duration
	answer *policy.Tally // nil: none yet
	over   bool          // told to the module
}

// New makes the instance. All gateways read the same wall clock once, at their start, and go on from there by
// the monotonic one: so windows agree between them and across restarts, and no step of the wall clock counts.
func New(site policy.Deployment, seed int64, outside Outside, log *zap.Logger) (*Gate, error) {
	start := time.Now()
	g := &Gate{outside: outside, log: log, start: start, origin: time.Duration(start.UnixNano()),
		errands: map[uint32]*Errand{}, servers: map[uint32]Server{}, numbers: map[string]uint32{}, asked: map[uint64]*wake{},
		pool:  pool.New(site.Me, site.Gateways, outside.Kept),
		alarm: time.NewTimer(time.Hour), watch: make(chan struct{}, 1), report: len(site.Reports)}
	var err error
	g.module, err = policy.New(site, seed, host{g})
	return g, err
}

// Reshape takes new settings in the running gateway, under the lock, and gives them as they are in force: lanes and
// plans keep the numbers that they had. What is in hand goes on. An error means that nothing has changed.
func (g *Gate) Reshape(site policy.Deployment) (policy.Deployment, error) {
	now := g.enter()
	defer g.leave()
	site, err := g.module.Reshape(now, site)
	if err != nil {
		return site, err
	}
	g.pool.Resize(site.Me, site.Gateways)
	g.report = len(site.Reports)
	g.hand(now, policy.ListWhole)
	return site, nil
}

// enter takes the lock and reads the clock.
func (g *Gate) enter() time.Duration {
	g.mu.Lock()
	return g.now()
}

func (g *Gate) now() time.Duration { return g.origin + time.Since(g.start) }

// leave sets the alarm for what is due next and gives the lock back.
func (g *Gate) leave() {
	for len(g.calls) > 0 && g.calls[0].over {
		g.calls = g.calls[1:]
	}
	next := time.Duration(0)
	if len(g.wakes) > 0 {
		next = g.wakes[0].at
	}
	if next != 0 && next != g.due { // each ring that is not needed would wake the whole process
		g.alarm.Reset(max(next-g.now(), 0))
	}
	g.due = next
	g.mu.Unlock()
}

// Tick lets time pass until the context ends: it wakes the module.
func (g *Gate) Tick(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.alarm.C:
		}
		now := g.enter()
		g.due = 0
		for len(g.wakes) > 0 && g.wakes[0].at <= now {
			w := heap.Pop(&g.wakes).(*wake)
			delete(g.asked, w.token)
			g.module.Woke(now, w.token)
		}
		g.leave()
	}
}

// counted takes the answer to a call, and tells the module those for its name up to the first that is still to
// come: the module matches them in order, and two connections, as after a move, keep none between them.
func (g *Gate) counted(c *call, total float64, how policy.Outcome) {
	c.answer = &policy.Tally{Name: c.name, Total: total, Took: g.now() - c.at, Outcome: how}
	for _, e := range g.calls {
		if e.name != c.name || e.over {
			continue
		}
		if e.answer == nil {
			return
		}
		e.over = true
		g.module.Counted(g.now(), *e.answer)
	}
}

// List takes the servers: all of them, or those that changed. One that is gone is forgotten, and so is its number:
// the same name later is a new server to the module.
func (g *Gate) List(kind policy.ListKind, servers []Server) {
	now := g.enter()
	defer g.leave()
	if kind == policy.ListFailed {
		g.module.List(now, kind, nil)
		return
	}
	left := map[string]uint32{} // names that a whole list leaves out
	if kind != policy.ListChanges {
		left = maps.Clone(g.numbers)
	}
	for _, s := range servers {
		n, known := g.numbers[s.Name]
		if s.Listed.Stage == policy.Gone {
			if known {
				left[s.Name] = n
			}
			continue
		}
		delete(left, s.Name)
		if !known {
			g.named++
			n = g.named
			g.numbers[s.Name] = n
		}
		s.Listed.Server, s.mark = n, g.servers[n].mark
		if !known {
			s.mark = pool.Mark(s.Name)
		}
		g.servers[n] = s
	}
	for name, n := range left {
		delete(g.numbers, name)
		delete(g.servers, n)
	}
	g.hand(now, kind)
}

// hand gives the module the servers of our part that are ready, in the order in which they were first named. To
// it the others are gone: it pushes to ready ones alone, and what is out elsewhere goes on.
func (g *Gate) hand(now time.Duration, kind policy.ListKind) {
	numbers := slices.Sorted(maps.Keys(g.servers))
	all := make([]pool.Server, 0, len(numbers))
	for _, n := range numbers {
		s := g.servers[n]
		all = append(all, pool.Server{Mark: s.mark, Listed: s.Listed})
	}
	part, sharers := g.pool.Part(now, all)
	if kind == policy.ListChanges {
		kind = policy.ListWhole
	}
	g.module.Shared(sharers)
	g.module.List(now, kind, part)
}

// Wanted is told when the list of servers is to be asked for again.
func (g *Gate) Wanted() <-chan struct{} { return g.watch }

// Errand is a task on its way, carried by one goroutine.
type Errand struct {
	g       *Gate
	id      uint32
	choices chan Choice
	pushes  int
	server  uint32
	at      time.Duration
	giveUp  context.CancelFunc // of the push that is out
	over    bool
}

// Admit takes a task. It is carried by calling Pick until that is final.
func (g *Gate) Admit(t Task) *Errand {
	now := g.enter()
	defer g.leave()
	if g.pool.Due(now) {
		g.hand(now, policy.ListWhole)
	}
	g.latest++
	e := &Errand{g: g, id: g.latest, choices: make(chan Choice, 2)} // a push and what is final
	g.errands[e.id] = e
	g.module.Take(now, policy.Task{ID: e.id, Lane: t.Lane, Plan: t.Plan, Customer: t.Customer, First: t.First,
		Width: t.Width, Units: t.Units, Expires: now + t.Patience, Repeat: t.Repeat})
	return e
}

// Pick waits for what is to be done with the task.
func (e *Errand) Pick() Choice { return <-e.choices }

// Report tells how the push ended that was picked last. After an answer there is nothing more to pick.
func (e *Errand) Report(r Result) {
	now := e.g.enter()
	defer e.g.leave()
	e.giveUp()
	if r.Outcome == policy.Answered {
		e.end()
	}
	e.g.module.Ended(now, policy.Push{Task: e.id, Number: e.pushes - 1, Server: e.server, Outcome: r.Outcome,
		Took: now - e.at, Done: e.over, Billed: r.Billed, Use: r.Use, Report: e.g.fields(r.Report)})
}

// Gone tells that the client has gone.
func (e *Errand) Gone() {
	now := e.g.enter()
	defer e.g.leave()
	if !e.over {
		e.close(Choice{Verdict: Left})
		e.g.module.Lapsed(now, e.id)
	}
}

func (e *Errand) end() {
	e.over = true
	delete(e.g.errands, e.id)
}

func (e *Errand) close(c Choice) {
	e.end()
	e.choices <- c
}

// fields makes a report as long as the module expects it.
func (g *Gate) fields(report []float32) []float32 {
	if len(report) != g.report {
		return nil
	}
	return report
}

// host carries out what the module asks for, under the lock.
type host struct{ *Gate }

// Push hands the carrier of a task a server.
func (g host) Push(task, server uint32, until time.Duration) {
	e := g.errands[task]
	e.pushes++
	e.server, e.at = server, g.now()
	g.pool.Pushed(e.at)
	c := Choice{Verdict: Push, Server: g.servers[server], Until: g.start.Add(until - g.origin)}
	c.Wanted, e.giveUp = context.WithCancel(context.Background())
	e.choices <- c
}

// Cancel gives up the push that is out; a task never has two.
func (g host) Cancel(task uint32, number int) {
	if e := g.errands[task]; e != nil && number == e.pushes-1 {
		e.giveUp()
	}
}

// Reject is a final answer that makes trying again harmless.
func (g host) Reject(task uint32, away time.Duration) {
	if e := g.errands[task]; e != nil {
		e.close(Choice{Verdict: Reject, Away: away})
	}
}

// Terminate is a final answer that promises nothing.
func (g host) Terminate(task uint32) {
	if e := g.errands[task]; e != nil {
		e.close(Choice{Verdict: Terminate})
	}
}

// Count calls the counter.
func (g host) Count(name uint64, keep time.Duration, units float64) {
	c := &call{name: name, at: g.now()}
	g.calls = append(g.calls, c)
	g.outside.Count(name, units, keep, func(total float64, how policy.Outcome) {
		g.enter()
		defer g.leave()
		g.counted(c, total, how)
	})
}

// Probe asks a server for its load.
func (g host) Probe(server uint32) {
	at := g.now()
	g.outside.Probe(g.servers[server], func(r Result) {
		now := g.enter()
		defer g.leave()
		g.module.Probed(now, server, r.Outcome, now-at, g.fields(r.Report))
	})
}

// Tell reaches nobody: on sockets gateways have no way to talk to each other.
func (g host) Tell(int, []byte) {}

// Watch asks for the list of servers again.
func (g host) Watch() {
	select {
	case g.watch <- struct{}{}:
	default: // already asked for
	}
}

// Wake asks for a call of Woke.
// A token asked for again replaces its earlier wake: two of them would each be answered, and the module, which asks
// anew at each, would run two chains of wakes from then on.
func (g host) Wake(token uint64, after time.Duration) {
	g.Forget(token)
	w := &wake{at: g.now() + after, token: token}
	g.asked[token] = w
	heap.Push(&g.wakes, w)
}

// Forget takes a wake back. Most tasks end long before their clients' patience: left in, their wakes would be
// a good part of all the times that the process is woken.
func (g host) Forget(token uint64) {
	if w := g.asked[token]; w != nil {
		heap.Remove(&g.wakes, w.place)
		delete(g.asked, token)
	}
}

// Log leaves a line in the log.
func (g host) Log(line string) { g.log.Info(line) }

// wakes is a heap of the times at which the module wants to be woken.
type wakes []*wake

type wake struct {
	at    time.Duration
	token uint64
	place int // in the heap
}

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].place, w[j].place = i, j
}

// Push and Pop are for package heap.
func (w *wakes) Push(x any) {
	x.(*wake).place = len(*w)
	*w = append(*w, x.(*wake))
}

// Pop takes the last.
func (w *wakes) Pop() any {
	last := (*w)[len(*w)-1]
	(*w)[len(*w)-1] = nil
	*w = (*w)[:len(*w)-1]
	return last
}
