package simulation

import (
	"fmt"
	"time"

	"harrierhoist/internal/lab/scenario"
)

// trouble is one thing that goes wrong: it begins, and ends after its time.
type trouble interface {
	begin(e *engine)
	end(e *engine)
}

// troubles makes each kind of trouble. A new one is a type of its own, a line here and one in world.Kinds.
var troubles = map[string]func(scenario.Trouble) trouble{
	"server_lost":   func(t scenario.Trouble) trouble { return &serversLost{part: t.Part} },
	"server_errors": func(t scenario.Trouble) trouble { return &serversChange{part: t.Part, set: errorsOf(t.Size)} },
	"server_slow":   func(t scenario.Trouble) trouble { return &serversChange{part: t.Part, set: slowBy(t.Size)} },
	"lane_silent":   func(t scenario.Trouble) trouble { return &laneSilent{t: t} },
	"deploy":        func(t scenario.Trouble) trouble { return &deploy{part: t.Part, over: t.For.D()} },
	"mass_change":   func(t scenario.Trouble) trouble { return &massChange{part: t.Part} },
	"hall_lost":     func(t scenario.Trouble) trouble { return &serversLost{hall: t.Hall, whole: true, part: t.Part} },
	"link_cut":      func(t scenario.Trouble) trouble { return &linkCut{[2]int{min(t.Hall, t.To), max(t.Hall, t.To)}} },
	"crowd":         func(t scenario.Trouble) trouble { return &crowd{hall: t.Hall, part: t.Part} },
	"blind":         func(t scenario.Trouble) trouble { return &blind{part: t.Part} },
	"hall_cut":      func(t scenario.Trouble) trouble { return &hallCut{t.Hall} },
	"leader_lost":   func(scenario.Trouble) trouble { return &leaderLost{} },
	"answers_lost": func(t scenario.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.answersLost }, to: t.Part}
	},
	"resets": func(t scenario.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.resets }, to: t.Part}
	},
	"counter_slow": func(t scenario.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.counter.slow }, to: t.Size}
	},
	"counter_silent":   func(scenario.Trouble) trouble { return &flag{func(e *engine) *bool { return &e.counter.silent }} },
	"counter_refusing": func(scenario.Trouble) trouble { return &flag{func(e *engine) *bool { return &e.counter.refuses }} },
	"counter_empty":    func(scenario.Trouble) trouble { return counterEmpty{} },
	"counter_split":    func(scenario.Trouble) trouble { return counterSplit{} },
	"burst": func(t scenario.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.loadTimes }, to: t.Size}
	},
	"flood": func(t scenario.Trouble) trouble { return &flood{t: t} },
	"kill":  func(t scenario.Trouble) trouble { return &kill{part: t.Part} },
	"rolling": func(t scenario.Trouble) trouble {
		return &rolling{part: t.Part, over: t.For.D(), away: seconds(t.Size)}
	},
	"standstill": func(t scenario.Trouble) trouble { return &standstill{t.Part, t.For.D()} },
	"list_lag": func(t scenario.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.lagTimes }, to: t.Size}
	},
	"list_lost": func(t scenario.Trouble) trouble { return &listLost{part: t.Part} },
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// schedule sets a trouble's begin and end.
func (e *engine) schedule(t scenario.Trouble) error {
	made := troubles[t.Kind]
	if made == nil {
		return fmt.Errorf("trouble %q is not known", t.Kind)
	}
	what := made(t)
	e.clock.At(origin+t.At.D(), func() { what.begin(e) })
	e.clock.At(origin+t.At.D()+t.For.D(), func() { what.end(e) })
	return nil
}

// hallCut cuts a hall off from the others.
type hallCut struct{ hall int }

func (t *hallCut) begin(e *engine) { e.cut[t.hall] = true }

func (t *hallCut) end(e *engine) {
	delete(e.cut, t.hall)
	e.linked()
}

// linkCut cuts the link between two halls.
type linkCut struct{ ends [2]int }

func (t *linkCut) begin(e *engine) { e.links[t.ends] = true }
func (t *linkCut) end(e *engine) {
	delete(e.links, t.ends)
	e.linked()
}

// linked tells those who hold things in common that what was cut is no more.
func (e *engine) linked() {
	if e.common != nil {
		e.common.back = e.clock.Now()
	}
}

// leaderLost kills the voter that leads; it comes back with its disk, and nothing of what others saw.
type leaderLost struct{ hit *voter }

func (t *leaderLost) begin(e *engine) {
	if e.common != nil && e.common.leader != nil {
		t.hit = e.common.leader
		t.hit.dead = true
		t.hit.reads = nil
	}
}

func (t *leaderLost) end(*engine) {
	if t.hit != nil {
		t.hit.start()
	}
}

// figure sets a figure of the world and sets it back.
type figure struct {
	on       func(*engine) *float64
	to, from float64
}

func (t *figure) begin(e *engine) { t.from, *t.on(e) = *t.on(e), t.to }

func (t *figure) end(e *engine) { *t.on(e) = t.from }

// flag raises a flag and lowers it.
type flag struct{ on func(*engine) *bool }

func (t *flag) begin(e *engine) { *t.on(e) = true }

func (t *flag) end(e *engine) { *t.on(e) = false }

// counterEmpty has the counter forget.
type counterEmpty struct{}

func (counterEmpty) begin(e *engine) { e.counter.totals = [2]map[uint64]total{{}, {}} }
func (counterEmpty) end(*engine)     {}

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
type flood struct{ t scenario.Trouble }

func (t *flood) times(e *engine, to float64) {
	for i, p := range e.w.Plans {
		if p.Name == t.t.Plan || t.t.Plan == "" && i == 0 {
			e.planTimes[i] = to
		}
	}
}

func (t *flood) begin(e *engine) { t.times(e, max(t.t.Size, 1)) }

func (t *flood) end(e *engine) { t.times(e, 1) }
