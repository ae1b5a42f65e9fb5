// Package dispatch owns the one decision module, a policy.Gateway: it hands the module events under
// one lock and carries out what it asks for. Itself it decides only what the module cannot know:
// the end of a steering's lease, requests that the steering sheds, and attempts that have become
// pointless before their first byte. The listener calls Admit for each request, Next for what to do
// with it, and ReportResult after each attempt; RunTimers lets time pass.
package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Dependencies is what the dispatcher needs of the network. None of its functions may wait, nor
// call back before it returns: the dispatcher's lock is held, and a callback takes it.
type Dependencies struct {
	// Count adds units to a number of the counter, which keeps it for ttl after. Reply is called
	// once with the total, however late.
	Count func(name uint64, units float64, ttl time.Duration, reply func(total float64, outcome policy.Outcome))
	// CheckHealth polls a server's load report, and calls done once.
	CheckHealth func(server Server, done func(Result))
	// IdleTimeout is how long a connection to a server is kept after its latest attempt: the
	// decision module is handed as many servers as its attempts can keep connections open to. At 0
	// it is handed all.
	IdleTimeout time.Duration
	// Recorder records what goes on in each zone, under the dispatcher's lock; nil: nothing is
	// recorded.
	Recorder *zonestats.Recorder
}

// Dispatcher owns the decision module and the requests in flight. It is safe for concurrent
// use.
type Dispatcher struct {
	mu     sync.Mutex // held by each call of the module, and so by what it asks for
	module *policy.Gateway
	clock  clock
	log    *zap.Logger

	dependencies Dependencies
	recorder     *zonestats.Recorder // nil: nothing is recorded
	accounts     *account.Accounts   // of what requests owe partners; nil: nothing is kept
	rules        CountingRules       // nil: every request counts under its customer

	requests      map[uint32]*Request // those that the module may still ask something of
	lastRequestID uint32

	servers      serverTable
	subset       *subset.Subset // which of them the module is handed
	steering     steeringLease
	timers       *timerQueue
	counterCalls counterQueue

	settings         policy.Settings // as last given, without what the rules add
	loadReportLength int             // how many figures a load report has
	lateReplyAfter   time.Duration   // a reply of the counter that took longer is late; 0: none is
	shedRetryAfter   time.Duration   // for the client of a request that is shed; 0: none
}

// New makes a dispatcher with a decision module that knows nothing of an earlier run. Its decisions
// are drawn from the seed. The error is one of the settings.
func New(settings policy.Settings, seed int64, dependencies Dependencies, log *zap.Logger) (*Dispatcher, error) {
	d := &Dispatcher{
		clock:        newClock(),
		log:          log,
		dependencies: dependencies,
		recorder:     dependencies.Recorder,
		requests:     map[uint32]*Request{},
		servers:      newServerTable(),
		subset:       subset.New(settings.GatewayIndex, settings.Gateways, dependencies.IdleTimeout),
		timers:       newTimerQueue(),
		settings:     settings,
	}
	d.applySettings(&settings)
	var err error
	d.module, err = policy.New(settings, seed, host{dispatcher: d})
	return d, err
}

// Reconfigure applies new settings to the running module and returns them as they are in force:
// classes and plans keep their numbers. What is in flight goes on. After an error nothing has
// changed.
func (d *Dispatcher) Reconfigure(settings policy.Settings) (policy.Settings, error) {
	now := d.lock()
	defer d.unlock()
	return d.reconfigure(now, settings)
}

func (d *Dispatcher) reconfigure(now time.Duration, given policy.Settings) (policy.Settings, error) {
	settings := given
	if d.rules != nil {
		settings = d.rules.WithRulePlans(settings)
	}
	settings, err := d.module.Reconfigure(now, settings)
	if err != nil {
		return settings, err
	}
	d.settings = given
	d.subset.Resize(settings.GatewayIndex, settings.Gateways)
	d.accounts.SetPolicy(settings.Classes, settings.Plans)
	d.applySettings(&settings)
	if d.rules != nil {
		settings = d.rules.WithoutRulePlans(settings)
	}
	d.updateModule(now, policy.ListFull)
	return settings, nil
}

// applySettings takes what the dispatcher itself goes by from settings.
func (d *Dispatcher) applySettings(settings *policy.Settings) {
	d.loadReportLength = len(settings.LoadReportFields)
	d.lateReplyAfter = settings.CountTimeout
	d.shedRetryAfter = 0
	if settings.SendsRetryAfter {
		d.shedRetryAfter = min(shedRetryAfter(settings.Classes), settings.MaxRetryAfter)
	}
	if d.recorder != nil {
		d.recorder.Reconfigure(settings)
	}
}

// lock takes the lock and reads the clock.
func (d *Dispatcher) lock() time.Duration {
	d.mu.Lock()
	return d.clock.now()
}

// unlock sets the alarm for the next timer and gives the lock back.
func (d *Dispatcher) unlock() {
	d.timers.arm(d.clock)
	d.mu.Unlock()
}

// Now is the time by the clock that all gateways share, which windows are counted by.
func (d *Dispatcher) Now() time.Duration { return d.clock.now() }

// RunTimers notifies the decision module of its timers as they come due, until the context ends.
func (d *Dispatcher) RunTimers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.timers.alarm.C:
		}
		now := d.lock()
		d.timers.handleAlarm()
		for token, due := d.timers.popDue(now); due; token, due = d.timers.popDue(now) {
			d.module.HandleTimer(now, token)
		}
		d.unlock()
	}
}

// checkedLoadReport gives a load report of the length that the settings name, or none.
func (d *Dispatcher) checkedLoadReport(report []float32) []float32 {
	if len(report) != d.loadReportLength {
		return nil
	}
	return report
}
