// Package gate is the blocking face of the decisions. Whoever carries a task asks Pick what to do with it,
// pushes where it says, and tells by Report how that ended; Tick lets time pass. Behind it the gate owns the
// one instance of the module: it hands it events under one lock and carries out what it asks for. It decides
// nothing.
package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/settlement/account"
	"harrierhoist/internal/upstream/subset"
	"harrierhoist/internal/zonestats"
	"harrierhoist/policy"
)

// Dependencies is what the gate asks of the network. Neither may wait, nor call back before it returns: the gate's
// lock is held, and a call back takes it.
type Dependencies struct {
	// Count adds to a number of the counter. Told is called once, with the total, however late that comes.
	Count func(name uint64, units float64, ttl time.Duration, reply func(float64, policy.Outcome))
	// CheckHealth asks a server for its load.
	CheckHealth func(server Server, done func(Result))
	// IdleTimeout is how long a connection to a server is kept after its latest push: the module is handed those servers
	// that our pushes can keep open. At 0 it is handed all.
	IdleTimeout time.Duration
	// Recorder is told what goes on by hall, under the gate's lock; nil: nobody is.
	Recorder *zonestats.Recorder
}

// Dispatcher owns the instance.
type Dispatcher struct {
	mu           sync.Mutex
	gateway      *policy.Gateway
	dependencies Dependencies
	log          *zap.Logger

	startedAt   time.Time
	clockOrigin time.Duration // the start on the common clock

	requests         map[uint32]*Request // those that the module may still ask something of
	lastRequestID    uint32
	servers          map[uint32]Server // those listed, by the module's number
	subset           *subset.Subset    // which of them the module is handed
	account          *account.Accounts // what tasks owe; nil: nothing is kept
	serverNumbers    map[string]uint32 // by name
	lastServerNumber uint32            // the latest number; none is used twice

	timers           timerHeap
	timersByToken    map[uint64]*timer // the latest by token
	counterCalls     []*counterCall    // to the counter, oldest first; the answered leave with those before them
	alarm            *time.Timer
	alarmAt          time.Duration // when the alarm rings; 0: never
	watch            chan struct{}
	loadReportLength int // how many figures a load report has

	rules    CountingRules   // nil: every task counts under its customer
	settings policy.Settings // as last given, without what counting adds

	steeringExpires time.Duration // when the steering ends that is in force
	nextSteering    *Steering     // what follows it; nil: it has no end

	counterTimeout time.Duration // a call to the counter that took longer is late
	shedRetryAfter time.Duration // how long who is shed is told to stay away
}

// counterCall is a call to the counter.
type counterCall struct {
	name      uint64
	startedAt time.Duration
	reply     *policy.CountResult // nil: none yet
	delivered bool                // told to the module
}

// New makes the instance. All gateways read the same wall clock once, at their start, and go on from there by
// the monotonic one: so windows agree between them and across restarts, and no step of the wall clock counts.
func New(settings policy.Settings, seed int64, outside Dependencies, log *zap.Logger) (*Dispatcher, error) {
	start := time.Now()
	d := &Dispatcher{dependencies: outside, log: log, startedAt: start, clockOrigin: time.Duration(start.UnixNano()),
		requests: map[uint32]*Request{}, servers: map[uint32]Server{}, serverNumbers: map[string]uint32{}, timersByToken: map[uint64]*timer{},
		subset:   subset.New(settings.MyIndex, settings.Gateways, outside.IdleTimeout),
		settings: settings, alarm: time.NewTimer(time.Hour), watch: make(chan struct{}, 1)}
	d.applySettings(&settings)
	var err error
	d.gateway, err = policy.New(settings, seed, host{d})
	return d, err
}

// Reconfigure takes new settings in the running gateway, under the lock, and gives them as they are in force: lanes and
// plans keep the numbers that they had. What is in hand goes on. An error means that nothing has changed.
func (d *Dispatcher) Reconfigure(settings policy.Settings) (policy.Settings, error) {
	now := d.lock()
	defer d.unlock()
	return d.reconfigure(now, settings)
}

func (d *Dispatcher) reconfigure(now time.Duration, settings policy.Settings) (policy.Settings, error) {
	given := settings
	if d.rules != nil {
		settings = d.rules.WithRulePlans(settings)
	}
	settings, err := d.gateway.Reconfigure(now, settings)
	if err != nil {
		return settings, err
	}
	d.settings = given
	d.subset.Resize(settings.MyIndex, settings.Gateways)
	d.account.SetPolicy(settings.Classes, settings.Plans)
	d.applySettings(&settings)
	if d.rules != nil {
		settings = d.rules.WithoutRulePlans(settings)
	}
	d.updateGateway(now, policy.ListFull)
	return settings, nil
}

// applySettings takes from settings what the gate itself goes by.
func (d *Dispatcher) applySettings(settings *policy.Settings) {
	d.loadReportLength, d.counterTimeout, d.shedRetryAfter = len(settings.LoadReportFields), settings.CountTimeout, 0
	if settings.RetryAfter {
		d.shedRetryAfter = min(shedRetryAfter(settings.Classes), settings.MaxRetryAfter)
	}
	if d.dependencies.Recorder != nil {
		d.dependencies.Recorder.Reconfigure(settings)
	}
}

// lock takes the lock and reads the clock.
func (d *Dispatcher) lock() time.Duration {
	d.mu.Lock()
	return d.now()
}

func (d *Dispatcher) now() time.Duration { return d.clockOrigin + time.Since(d.startedAt) }

// unlock sets the alarm for what is due next and gives the lock back.
func (d *Dispatcher) unlock() {
	for len(d.counterCalls) > 0 && d.counterCalls[0].delivered {
		d.counterCalls = d.counterCalls[1:]
	}
	next := time.Duration(0)
	if len(d.timers) > 0 {
		next = d.timers[0].dueAt
	}
	if next != 0 && next != d.alarmAt { // each ring that is not needed would wake the whole process
		d.alarm.Reset(max(next-d.now(), 0))
	}
	d.alarmAt = next
	d.mu.Unlock()
}

// RunTimers lets time pass until the context ends: it wakes the module.
func (d *Dispatcher) RunTimers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.alarm.C:
		}
		now := d.lock()
		d.alarmAt = 0
		for len(d.timers) > 0 && d.timers[0].dueAt <= now {
			t := heap.Pop(&d.timers).(*timer)
			delete(d.timersByToken, t.token)
			d.gateway.HandleTimer(now, t.token)
		}
		d.unlock()
	}
}

// handleCounterReply takes the answer to a call, and tells the module those for its name up to the first that is still to
// come: the module matches them in order, and two connections, as after a move, keep none between them.
func (d *Dispatcher) handleCounterReply(call *counterCall, total float64, outcome policy.Outcome) {
	call.reply = &policy.CountResult{Name: call.name, Total: total, Latency: d.now() - call.startedAt, Outcome: outcome}
	for _, earlier := range d.counterCalls {
		if earlier.name != call.name || earlier.delivered {
			continue
		}
		if earlier.reply == nil {
			return
		}
		earlier.delivered = true
		d.gateway.HandleCount(d.now(), *earlier.reply)
	}
}
