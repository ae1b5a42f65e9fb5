package simulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// fault is one thing that goes wrong: it begins, and ends after its time.
type fault interface {
	begin(e *engine)
	end(e *engine)
}

// faultConstructors makes a fault of each kind. A new kind is a type, a line here and one in
// scenario.FaultKinds.
var faultConstructors = map[string]func(scenario.Fault) fault{
	// Servers
	scenario.ServerLoss:      func(f scenario.Fault) fault { return &serverLoss{fraction: f.Fraction} },
	scenario.ServerErrors:    newErrorRateChange,
	scenario.ServerSlowdown:  newSlowdown,
	scenario.ClassSilence:    func(f scenario.Fault) fault { return &classSilence{fault: f} },
	scenario.RollingDeploy:   func(f scenario.Fault) fault { return &rollingDeploy{f.Fraction, f.Duration.D()} },
	scenario.MassReplacement: func(f scenario.Fault) fault { return &massReplacement{fraction: f.Fraction} },
	scenario.ZoneLoss:        newZoneLoss,

	// Network
	scenario.ZoneIsolation:    func(f scenario.Fault) fault { return &zoneIsolation{f.Zone} },
	scenario.LinkCut:          newLinkCut,
	scenario.AnswerLoss:       changeTo(fractionOf, func(e *engine) *float64 { return &e.faults.answerLoss }),
	scenario.ConnectionResets: changeTo(fractionOf, func(e *engine) *float64 { return &e.faults.resetRate }),

	// Gateways, and what they share
	scenario.GatewayKill:      func(f scenario.Fault) fault { return &gatewayKill{fraction: f.Fraction} },
	scenario.RollingRestart:   newRollingRestart,
	scenario.GatewayPause:     func(f scenario.Fault) fault { return &gatewayPause{f.Fraction, f.Duration.D()} },
	scenario.GatewayIsolation: func(f scenario.Fault) fault { return &gatewayIsolation{fraction: f.Fraction} },
	scenario.LeaderLoss:       func(scenario.Fault) fault { return &leaderLoss{} },

	// Counter
	scenario.CounterSlowdown:  changeTo(magnitudeOf, func(e *engine) *float64 { return &e.counter.slowdown }),
	scenario.CounterSilence:   setFlag(func(e *engine) *bool { return &e.counter.silent }),
	scenario.CounterRejection: setFlag(func(e *engine) *bool { return &e.counter.rejecting }),
	scenario.CounterReset:     func(scenario.Fault) fault { return counterReset{} },
	scenario.CounterSplit:     func(scenario.Fault) fault { return counterSplit{} },

	// Load
	scenario.LoadBurst: changeTo(magnitudeOf, func(e *engine) *float64 { return &e.faults.loadFactor }),
	scenario.PlanFlood: func(f scenario.Fault) fault { return &planFlood{fault: f} },
	scenario.Hotspot:   func(f scenario.Fault) fault { return &hotspot{zone: f.Zone, fraction: f.Fraction} },

	// Discovery
	scenario.DiscoveryLag:  changeTo(magnitudeOf, func(e *engine) *float64 { return &e.faults.lagFactor }),
	scenario.DiscoveryLoss: func(f scenario.Fault) fault { return &discoveryLoss{fraction: f.Fraction} },
}

// scheduleFault schedules a fault's begin and end.
func (e *engine) scheduleFault(f scenario.Fault) error {
	newFault := faultConstructors[f.Kind]
	if newFault == nil {
		return fmt.Errorf("unknown kind of fault %q", f.Kind)
	}
	made := newFault(f)
	e.clock.At(origin+f.Start.D(), func() { made.begin(e) })
	e.clock.At(origin+f.Start.D()+f.Duration.D(), func() { made.end(e) })
	return nil
}

// valueChange changes a value and changes it back.
type valueChange struct {
	target          func(*engine) *float64
	value, previous float64
}

// changeTo makes the constructor of a fault that sets a value to its fraction or magnitude.
func changeTo(value func(scenario.Fault) float64, target func(*engine) *float64) func(scenario.Fault) fault {
	return func(f scenario.Fault) fault { return &valueChange{target: target, value: value(f)} }
}

func (f *valueChange) begin(e *engine) {
	f.previous = *f.target(e)
	*f.target(e) = f.value
}

func (f *valueChange) end(e *engine) { *f.target(e) = f.previous }

// flag sets a flag and clears it.
type flag struct{ target func(*engine) *bool }

// setFlag makes the constructor of a fault that sets a flag.
func setFlag(target func(*engine) *bool) func(scenario.Fault) fault {
	return func(scenario.Fault) fault { return &flag{target} }
}

func (f *flag) begin(e *engine) { *f.target(e) = true }

func (f *flag) end(e *engine) { *f.target(e) = false }

// counterReset has the counter forget all totals, once.
type counterReset struct{}

func (counterReset) begin(e *engine) { e.counter.reset() }

func (counterReset) end(*engine) {}

// counterSplit gives each half of the gateways a counter.
type counterSplit struct{}

func (counterSplit) begin(e *engine) { e.counter.split() }

func (counterSplit) end(e *engine) { e.counter.isSplit = false }

// planFlood raises the load of one plan, the first if the fault names none.
type planFlood struct{ fault scenario.Fault }

func (f *planFlood) begin(e *engine) { f.setFactor(e, max(f.fault.Magnitude, 1)) }

func (f *planFlood) end(e *engine) { f.setFactor(e, 1) }

func (f *planFlood) setFactor(e *engine, factor float64) {
	for i, plan := range e.scenario.Plans {
		if plan.Name == f.fault.Plan || f.fault.Plan == "" && i == 0 {
			e.faults.planLoadFactors[i] = factor
		}
	}
}

// secondsOf makes a duration of seconds.
func secondsOf(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

func fractionOf(f scenario.Fault) float64 { return f.Fraction }

func magnitudeOf(f scenario.Fault) float64 { return f.Magnitude }
