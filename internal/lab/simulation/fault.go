package simulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// trouble is one thing that goes wrong: it begins, and ends after its time.
type fault interface {
	begin(e *engine)
	end(e *engine)
}

// troubles makes each kind of trouble. A new one is a type of its own, a line here and one in world.Kinds.
var faultConstructors = map[string]func(scenario.Fault) fault{
	"server_lost": func(t scenario.Fault) fault { return &serverLoss{fraction: t.Fraction} },
	"server_errors": func(t scenario.Fault) fault {
		return &serverChange{fraction: t.Fraction, set: setErrorRate(t.Magnitude)}
	},
	"server_slow": func(t scenario.Fault) fault {
		return &serverChange{fraction: t.Fraction, set: setSlowdown(t.Magnitude)}
	},
	"lane_silent": func(t scenario.Fault) fault { return &classSilence{fault: t} },
	"deploy":      func(t scenario.Fault) fault { return &rollingDeploy{fraction: t.Fraction, duration: t.Duration.D()} },
	"mass_change": func(t scenario.Fault) fault { return &massReplacement{fraction: t.Fraction} },
	"hall_lost":   func(t scenario.Fault) fault { return &serverLoss{zone: t.Zone, ofZone: true, fraction: t.Fraction} },
	"link_cut": func(t scenario.Fault) fault {
		return &linkCut{[2]int{min(t.Zone, t.OtherZone), max(t.Zone, t.OtherZone)}}
	},
	"crowd":       func(t scenario.Fault) fault { return &hotspot{zone: t.Zone, fraction: t.Fraction} },
	"blind":       func(t scenario.Fault) fault { return &gatewayIsolation{fraction: t.Fraction} },
	"hall_cut":    func(t scenario.Fault) fault { return &zoneIsolation{t.Zone} },
	"leader_lost": func(scenario.Fault) fault { return &leaderLoss{} },
	"answers_lost": func(t scenario.Fault) fault {
		return &valueChange{target: func(e *engine) *float64 { return &e.answerLoss }, value: t.Fraction}
	},
	"resets": func(t scenario.Fault) fault {
		return &valueChange{target: func(e *engine) *float64 { return &e.resetRate }, value: t.Fraction}
	},
	"counter_slow": func(t scenario.Fault) fault {
		return &valueChange{target: func(e *engine) *float64 { return &e.counter.slowdown }, value: t.Magnitude}
	},
	"counter_silent":   func(scenario.Fault) fault { return &switchOn{func(e *engine) *bool { return &e.counter.silent }} },
	"counter_refusing": func(scenario.Fault) fault { return &switchOn{func(e *engine) *bool { return &e.counter.rejecting }} },
	"counter_empty":    func(scenario.Fault) fault { return counterReset{} },
	"counter_split":    func(scenario.Fault) fault { return counterSplit{} },
	"burst": func(t scenario.Fault) fault {
		return &valueChange{target: func(e *engine) *float64 { return &e.loadFactor }, value: t.Magnitude}
	},
	"flood": func(t scenario.Fault) fault { return &planFlood{fault: t} },
	"kill":  func(t scenario.Fault) fault { return &gatewayKill{fraction: t.Fraction} },
	"rolling": func(t scenario.Fault) fault {
		return &rollingRestart{fraction: t.Fraction, duration: t.Duration.D(), downtime: secondsOf(t.Magnitude)}
	},
	"standstill": func(t scenario.Fault) fault { return &gatewayPause{t.Fraction, t.Duration.D()} },
	"list_lag": func(t scenario.Fault) fault {
		return &valueChange{target: func(e *engine) *float64 { return &e.lagFactor }, value: t.Magnitude}
	},
	"list_lost": func(t scenario.Fault) fault { return &discoveryLoss{fraction: t.Fraction} },
}

func secondsOf(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// schedule sets a trouble's begin and end.
func (e *engine) scheduleFault(t scenario.Fault) error {
	made := faultConstructors[t.Kind]
	if made == nil {
		return fmt.Errorf("trouble %q is not known", t.Kind)
	}
	what := made(t)
	e.clock.At(origin+t.Start.D(), func() { what.begin(e) })
	e.clock.At(origin+t.Start.D()+t.Duration.D(), func() { what.end(e) })
	return nil
}

// hallCut cuts a hall off from the others.
type zoneIsolation struct{ zone int }

func (t *zoneIsolation) begin(e *engine) { e.isolatedZones[t.zone] = true }

func (t *zoneIsolation) end(e *engine) {
	delete(e.isolatedZones, t.zone)
	e.recordReconnection()
}

// linkCut cuts the link between two halls.
type linkCut struct{ zones [2]int }

func (t *linkCut) begin(e *engine) { e.cutLinks[t.zones] = true }
func (t *linkCut) end(e *engine) {
	delete(e.cutLinks, t.zones)
	e.recordReconnection()
}

// linked tells those who hold things in common that what was cut is no more.
func (e *engine) recordReconnection() {
	if e.coordinator != nil {
		e.coordinator.reconnectedAt = e.clock.Now()
	}
}

// leaderLost kills the voter that leads; it comes back with its disk, and nothing of what others saw.
type leaderLoss struct{ affected *voter }

func (t *leaderLoss) begin(e *engine) {
	if e.coordinator != nil && e.coordinator.leader != nil {
		t.affected = e.coordinator.leader
		t.affected.dead = true
		t.affected.waitingReads = nil
	}
}

func (t *leaderLoss) end(*engine) {
	if t.affected != nil {
		t.affected.start()
	}
}

// figure sets a figure of the world and sets it back.
type valueChange struct {
	target          func(*engine) *float64
	value, previous float64
}

func (t *valueChange) begin(e *engine) { t.previous, *t.target(e) = *t.target(e), t.value }

func (t *valueChange) end(e *engine) { *t.target(e) = t.previous }

// flag raises a flag and lowers it.
type switchOn struct{ target func(*engine) *bool }

func (t *switchOn) begin(e *engine) { *t.target(e) = true }

func (t *switchOn) end(e *engine) { *t.target(e) = false }

// counterEmpty has the counter forget.
type counterReset struct{}

func (counterReset) begin(e *engine) { e.counter.totals = [2]map[uint64]total{{}, {}} }
func (counterReset) end(*engine)     {}

// counterSplit gives each half of the gateways a counter, which starts with the same totals.
type counterSplit struct{}

func (counterSplit) begin(e *engine) {
	c := e.counter
	c.split = true
	c.totals[1] = map[uint64]total{}
	for name, t := range c.totals[0] {
		c.totals[1][name] = t
	}
}

func (counterSplit) end(e *engine) { e.counter.split = false }

// flood has the customers of one plan ask more.
type planFlood struct{ fault scenario.Fault }

func (t *planFlood) setFactor(e *engine, to float64) {
	for i, p := range e.scenario.Plans {
		if p.Name == t.fault.Plan || t.fault.Plan == "" && i == 0 {
			e.planLoadFactors[i] = to
		}
	}
}

func (t *planFlood) begin(e *engine) { t.setFactor(e, max(t.fault.Magnitude, 1)) }

func (t *planFlood) end(e *engine) { t.setFactor(e, 1) }
