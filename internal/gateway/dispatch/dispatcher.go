// Package dispatch runs the gateway's decision module, a policy.Gateway. The Dispatcher passes
// events to the module under one lock and carries out the actions that the module requests. It
// decides only what the module has no information about: when the lease of a steering has expired,
// which requests the steering sheds, and which attempts are cancelled before their first byte.
//
// The listener calls Dispatcher.Admit for each request, Request.Next for each decision, and
// Request.ReportResult after each attempt. Dispatcher.RunTimers delivers the module's timers.
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

// Dependencies are the network operations that the dispatcher uses, and their parameters. The
// functions must not block, and must not call their callback before they return: the dispatcher may
// hold its lock, which the callback acquires.
type Dependencies struct {
	// Count adds units to the counter's total for a name, which the counter then keeps for ttl. It
	// calls reply once with the total, no matter how late the total arrives.
	Count func(name uint64, units float64, ttl time.Duration, reply func(total float64, outcome policy.Outcome))
	// CheckHealth requests a server's load report and calls done once.
	CheckHealth func(server Server, done func(Result))
	// IdleTimeout is how long a connection to a server stays open after its latest attempt. The
	// decision module gets only as many servers as the gateway's attempts can keep connections open
	// to. If IdleTimeout is 0, it gets all servers.
	IdleTimeout time.Duration
	// MaxCustomers is the number of customers whose state the decision module keeps; 0: no limit.
	MaxCustomers int
	// Recorder records statistics of each zone, with the dispatcher's lock held; nil: none are
	// recorded.
	Recorder *zonestats.Recorder
}

// Dispatcher owns the decision module and the requests in flight. It is safe for concurrent use.
type Dispatcher struct {
	mu     sync.Mutex // held during each call of the module, and therefore in the methods of host
	module *policy.Gateway
	clock  clock
	log    *zap.Logger

	dependencies Dependencies
	recorder     *zonestats.Recorder // nil: nothing is recorded
	accounts     *account.Accounts   // debts of requests to partners; nil: none are accounted
	rules        CountingRules       // nil: every request counts under its customer

	requests      map[uint32]*Request // requests in flight, by ID; the module may still refer to them
	lastRequestID uint32

	servers      serverTable
	subset       *subset.Subset // selects the servers that the module gets
	steering     steeringLease
	timers       *timerQueue
	counterCalls counterCallQueue

	settings         policy.Settings // as last set, without the rules' plans
	loadReportLength int             // number of values in a load report
	lateReplyAfter   time.Duration   // latency above which a counter reply is late; 0: none is
	shedRetryAfter   time.Duration   // Retry-After of shed requests; 0: none
}

// New returns a dispatcher with a decision module that has no state from an earlier run. seed seeds
// the module's random decisions. It returns an error if the settings are invalid.
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
	if err != nil {
		return nil, err
	}
	d.module.SetMaxCustomers(dependencies.MaxCustomers)
	return d, nil
}

// Reconfigure applies new settings to the running module. It returns the settings in force, in
// which classes and plans keep their numbers. Requests in flight continue. If it returns an error,
// nothing has changed.
func (d *Dispatcher) Reconfigure(settings policy.Settings) (policy.Settings, error) {
	now := d.lock()
	defer d.unlock()
	return d.reconfigure(now, settings)
}

func (d *Dispatcher) reconfigure(now time.Duration, requested policy.Settings) (policy.Settings, error) {
	settings := requested
	if d.rules != nil {
		settings = d.rules.WithRulePlans(settings)
	}
	settings, err := d.module.Reconfigure(now, settings)
	if err != nil {
		return settings, err
	}
	d.settings = requested
	d.subset.Resize(settings.GatewayIndex, settings.Gateways)
	d.accounts.SetPolicy(settings.Classes, settings.Plans)
	d.applySettings(&settings)
	if d.rules != nil {
		settings = d.rules.ApplySettings(settings)
	}
	d.updateModuleEndpoints(now, policy.ListFull)
	return settings, nil
}

// applySettings derives the dispatcher's own parameters from settings.
func (d *Dispatcher) applySettings(settings *policy.Settings) {
	d.loadReportLength = len(settings.LoadReportFields)
	d.lateReplyAfter = settings.LateCountAfter
	d.shedRetryAfter = 0
	if settings.SendsRetryAfter {
		d.shedRetryAfter = min(shedRetryAfter(settings.Classes), settings.MaxRetryAfter)
	}
	if d.recorder != nil {
		d.recorder.Reconfigure(settings)
	}
}

// lock acquires the lock and returns the current time.
func (d *Dispatcher) lock() time.Duration {
	d.mu.Lock()
	return d.clock.now()
}

// unlock schedules the wakeup for the earliest timer and releases the lock.
func (d *Dispatcher) unlock() {
	d.timers.scheduleWakeup(d.clock)
	d.mu.Unlock()
}

// Now returns the time of the clock that all gateways share and that determines the windows.
func (d *Dispatcher) Now() time.Duration { return d.clock.now() }

// RunTimers passes timers to the decision module as they become due, until ctx is cancelled.
func (d *Dispatcher) RunTimers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.timers.wakeup.C:
		}
		now := d.lock()
		d.timers.handleWakeup()
		for token, due := d.timers.popDue(now); due; token, due = d.timers.popDue(now) {
			d.module.HandleTimer(now, token)
		}
		d.unlock()
	}
}

// checkedLoadReport returns a load report if it has the length that the settings specify, else nil.
func (d *Dispatcher) checkedLoadReport(report []float32) []float32 {
	if len(report) != d.loadReportLength {
		return nil
	}
	return report
}
