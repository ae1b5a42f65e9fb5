// Package gate is the blocking face of the decisions. Whoever carries a task asks Pick what to do with it,
// pushes where it says, and tells by Report how that ended; Tick lets time pass. Behind it the gate owns the
// one instance of the module: it hands it events under one lock and carries out what it asks for. It decides
// nothing.
package gate

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/debts/till"
	"harrierhoist/internal/pool"
	"harrierhoist/internal/witness"
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
	// Witness is told what goes on by hall, under the gate's lock; nil: nobody is.
	Witness *witness.Witness
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
	till    *till.Till        // what tasks owe; nil: nothing is kept
	numbers map[string]uint32 // by name
	named   uint32            // the latest number; none is used twice

	wakes  wakes
	asked  map[uint64]*wake // the latest by token
	calls  []*call          // to the counter, oldest first; the answered leave with those before them
	alarm  *time.Timer
	due    time.Duration // when the alarm rings; 0: never
	watch  chan struct{}
	report int // how many figures a load report has

	counting Counting          // nil: every task counts under its customer
	site     policy.Deployment // as last given, without what counting adds

	until time.Duration // when the steering ends that is in force
	after *Steering     // what follows it; nil: it has no end

	countLimit time.Duration // a call to the counter that took longer is late
	shedAway   time.Duration // how long who is shed is told to stay away
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
		pool: pool.New(site.Me, site.Gateways, outside.Kept),
		site: site, alarm: time.NewTimer(time.Hour), watch: make(chan struct{}, 1)}
	g.sized(&site)
	var err error
	g.module, err = policy.New(site, seed, host{g})
	return g, err
}

// Reshape takes new settings in the running gateway, under the lock, and gives them as they are in force: lanes and
// plans keep the numbers that they had. What is in hand goes on. An error means that nothing has changed.
func (g *Gate) Reshape(site policy.Deployment) (policy.Deployment, error) {
	now := g.enter()
	defer g.leave()
	return g.reshape(now, site)
}

func (g *Gate) reshape(now time.Duration, site policy.Deployment) (policy.Deployment, error) {
	given := site
	if g.counting != nil {
		site = g.counting.Plans(site)
	}
	site, err := g.module.Reshape(now, site)
	if err != nil {
		return site, err
	}
	g.site = given
	g.pool.Resize(site.Me, site.Gateways)
	g.till.Resite(site.Lanes, site.Plans)
	g.sized(&site)
	if g.counting != nil {
		site = g.counting.Shaped(site)
	}
	g.hand(now, policy.ListWhole)
	return site, nil
}

// sized takes from settings what the gate itself goes by.
func (g *Gate) sized(site *policy.Deployment) {
	g.report, g.countLimit, g.shedAway = len(site.Reports), site.CountLimit, 0
	if site.RetryAfter {
		g.shedAway = min(shedAway(site.Lanes), site.MaxRetryAfter)
	}
	if g.outside.Witness != nil {
		g.outside.Witness.Reshape(site)
	}
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
