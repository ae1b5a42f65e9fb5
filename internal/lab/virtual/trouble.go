package virtual

import (
	"fmt"
	"time"

	"harrierhoist/internal/lab/world"
	"harrierhoist/policy"
)

// trouble is one thing that goes wrong: it begins, and ends after its time.
type trouble interface {
	begin(e *engine)
	end(e *engine)
}

// troubles makes each kind of trouble. A new one is a type of its own, a line here and one in world.Kinds.
var troubles = map[string]func(world.Trouble) trouble{
	"server_lost":   func(t world.Trouble) trouble { return &serversLost{part: t.Part} },
	"server_errors": func(t world.Trouble) trouble { return &serversChange{part: t.Part, set: errorsOf(t.Size)} },
	"server_slow":   func(t world.Trouble) trouble { return &serversChange{part: t.Part, set: slowBy(t.Size)} },
	"lane_silent":   func(t world.Trouble) trouble { return &laneSilent{t: t} },
	"deploy":        func(t world.Trouble) trouble { return &deploy{part: t.Part, over: t.For.D()} },
	"mass_change":   func(t world.Trouble) trouble { return &massChange{part: t.Part} },
	"hall_lost":     func(t world.Trouble) trouble { return &serversLost{hall: t.Hall, whole: true} },
	"hall_cut":      func(t world.Trouble) trouble { return &hallCut{t.Hall} },
	"answers_lost": func(t world.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.answersLost }, to: t.Part}
	},
	"resets": func(t world.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.resets }, to: t.Part}
	},
	"counter_slow": func(t world.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.counter.slow }, to: t.Size}
	},
	"counter_silent":   func(world.Trouble) trouble { return &flag{func(e *engine) *bool { return &e.counter.silent }} },
	"counter_refusing": func(world.Trouble) trouble { return &flag{func(e *engine) *bool { return &e.counter.refuses }} },
	"counter_empty":    func(world.Trouble) trouble { return counterEmpty{} },
	"counter_split":    func(world.Trouble) trouble { return counterSplit{} },
	"burst": func(t world.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.loadTimes }, to: t.Size}
	},
	"flood":      func(t world.Trouble) trouble { return &flood{t: t} },
	"kill":       func(t world.Trouble) trouble { return &kill{part: t.Part} },
	"rolling":    func(t world.Trouble) trouble { return &rolling{part: t.Part, over: t.For.D(), away: seconds(t.Size)} },
	"standstill": func(t world.Trouble) trouble { return &standstill{t.Part, t.For.D()} },
	"list_lag": func(t world.Trouble) trouble {
		return &figure{on: func(e *engine) *float64 { return &e.lagTimes }, to: t.Size}
	},
	"list_lost": func(t world.Trouble) trouble { return &listLost{part: t.Part} },
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// schedule sets a trouble's begin and end.
func (e *engine) schedule(t world.Trouble) error {
	made := troubles[t.Kind]
	if made == nil {
		return fmt.Errorf("trouble %q is not known", t.Kind)
	}
	what := made(t)
	e.at(origin+t.At.D(), func() { what.begin(e) })
	e.at(origin+t.At.D()+t.For.D(), func() { what.end(e) })
	return nil
}

// serversLost has servers fall silent, with all connections open, and come back cold.
type serversLost struct {
	part  float64
	hall  int
	whole bool // a whole hall
	hit   []*server
}

func (t *serversLost) begin(e *engine) {
	up := e.up()
	if t.whole {
		for _, s := range up {
			if s.hall == t.hall {
				t.hit = append(t.hit, s)
			}
		}
	} else {
		for _, i := range e.some(len(up), t.part) {
			t.hit = append(t.hit, up[i])
		}
	}
	for _, s := range t.hit {
		s.silent = true
	}
}

func (t *serversLost) end(e *engine) {
	for _, s := range t.hit {
		if s.stage == policy.Ready {
			s.restart()
			e.tell(s)
		}
	}
}

// serversChange changes something of some servers and sets it back.
type serversChange struct {
	part float64
	set  func(s *server, on bool)
	hit  []*server
}

func errorsOf(part float64) func(*server, bool) {
	return func(s *server, on bool) {
		s.errors = s.e.w.Servers.Errors
		if on {
			s.errors = part
		}
	}
}

func slowBy(times float64) func(*server, bool) {
	return func(s *server, on bool) {
		s.slow = 1
		if on {
			s.slow = max(times, 1)
		}
	}
}

func (t *serversChange) begin(e *engine) {
	up := e.up()
	for _, i := range e.some(len(up), t.part) {
		t.hit = append(t.hit, up[i])
		t.set(up[i], true)
	}
}

func (t *serversChange) end(*engine) {
	for _, s := range t.hit {
		t.set(s, false)
	}
}

// laneSilent has servers swallow the tasks of one lane.
type laneSilent struct {
	t   world.Trouble
	hit []*server
}

func (t *laneSilent) lane(e *engine) int {
	for i, l := range e.w.Lanes {
		if l.Name == t.t.Lane {
			return i
		}
	}
	return 0
}

func (t *laneSilent) begin(e *engine) {
	up := e.up()
	for _, i := range e.some(len(up), t.t.Part) {
		t.hit = append(t.hit, up[i])
		up[i].mute[t.lane(e)] = true
	}
}

func (t *laneSilent) end(e *engine) {
	for _, s := range t.hit {
		delete(s.mute, t.lane(e))
	}
}

// replace starts a cold server in the place of one, and gives it.
func (e *engine) replace(old *server) *server {
	s := e.addServer(old.hall, old.cell, e.now)
	e.tell(s)
	return s
}

// deploy replaces servers one by one: the old one is told to drain, and ends two seconds after the grace.
type deploy struct {
	part float64
	over time.Duration
}

func (t *deploy) begin(e *engine) {
	up := e.up()
	hit := e.some(len(up), t.part)
	for k, i := range hit {
		s := up[i]
		e.after(time.Duration(float64(t.over)*float64(k)/float64(len(hit))), func() {
			if s.stage != policy.Ready {
				return
			}
			e.replace(s)
			s.stage = policy.Draining
			e.tell(s)
			last := time.Duration(float64(e.w.Discovery.Lag[1].D())*max(e.lagTimes, 1)) + e.w.Rules.DrainGrace.D()
			for _, l := range e.site.Lanes {
				last = max(last, e.w.Rules.DrainGrace.D()+l.Patience)
			}
			e.after(last+2*time.Second, func() {
				s.stage = policy.Gone
				s.die()
				s.dead = true
				e.tell(s)
			})
		})
	}
}

func (t *deploy) end(*engine) {}

// massChange has servers gone at once, with cold ones in their place.
type massChange struct{ part float64 }

func (t *massChange) begin(e *engine) {
	up := e.up()
	for _, i := range e.some(len(up), t.part) {
		s := up[i]
		s.stage = policy.Gone
		s.die()
		s.dead = true
		e.tell(s)
		e.replace(s)
	}
}

func (t *massChange) end(*engine) {}

// hallCut cuts a hall off from the others.
type hallCut struct{ hall int }

func (t *hallCut) begin(e *engine) { e.cut[t.hall] = true }
func (t *hallCut) end(e *engine)   { delete(e.cut, t.hall) }

// figure sets a figure of the world and sets it back.
type figure struct {
	on       func(*engine) *float64
	to, from float64
}

func (t *figure) begin(e *engine) { t.from, *t.on(e) = *t.on(e), t.to }
func (t *figure) end(e *engine)   { *t.on(e) = t.from }

// flag raises a flag and lowers it.
type flag struct{ on func(*engine) *bool }

func (t *flag) begin(e *engine) { *t.on(e) = true }
func (t *flag) end(e *engine)   { *t.on(e) = false }

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
type flood struct{ t world.Trouble }

func (t *flood) times(e *engine, to float64) {
	for i, p := range e.w.Plans {
		if p.Name == t.t.Plan || t.t.Plan == "" && i == 0 {
			e.planTimes[i] = to
		}
	}
}

func (t *flood) begin(e *engine) { t.times(e, max(t.t.Size, 1)) }
func (t *flood) end(e *engine)   { t.times(e, 1) }

// kill ends gateways at once; they start again after the time.
type kill struct {
	part float64
	hit  []*gateway
}

func (t *kill) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		if g := e.gateways[i]; g.alive {
			g.kill()
			t.hit = append(t.hit, g)
		}
	}
}

func (t *kill) end(e *engine) {
	for _, g := range t.hit {
		e.again(g)
	}
}

// again starts a gateway anew; it was started once with the same settings, so that it can.
func (e *engine) again(g *gateway) {
	if err := g.start(e.fate.Uint64()); err != nil {
		panic(err)
	}
}

// rolling restarts gateways in turn.
type rolling struct {
	part       float64
	over, away time.Duration
}

func (t *rolling) begin(e *engine) {
	hit := e.some(len(e.gateways), t.part)
	for k, i := range hit {
		g := e.gateways[i]
		e.after(time.Duration(float64(t.over)*float64(k)/float64(len(hit))), func() {
			if !g.alive {
				return
			}
			g.kill()
			e.after(max(t.away, time.Millisecond), func() { e.again(g) })
		})
	}
}

func (t *rolling) end(*engine) {}

// standstill stops gateways' machines for a time: what comes waits.
type standstill struct {
	part float64
	long time.Duration
}

func (t *standstill) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		e.gateways[i].still = e.now + t.long
		e.ledger.Still(e.now, i, e.now+t.long)
	}
}

func (t *standstill) end(*engine) {}

// listLost keeps discovery's news from gateways until it ends.
type listLost struct {
	part float64
	hit  []*gateway
}

func (t *listLost) begin(e *engine) {
	for _, i := range e.some(len(e.gateways), t.part) {
		t.hit = append(t.hit, e.gateways[i])
		e.gateways[i].deaf = true
	}
}

func (t *listLost) end(*engine) {
	for _, g := range t.hit {
		g.deaf = false
		held := g.held
		g.held = nil
		for _, l := range held {
			g.told(l)
		}
	}
}
