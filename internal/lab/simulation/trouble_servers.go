package simulation

import (
	"time"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

// serversLost has servers fall silent, with all connections open, and come back cold.
type serversLost struct {
	part  float64
	hall  int
	whole bool // a whole hall, or a part of one
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
		if all := t.hit; t.part > 0 {
			t.hit = nil
			for _, i := range e.some(len(all), t.part) {
				t.hit = append(t.hit, all[i])
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
	if t.whole && t.part == 0 && e.common != nil {
		e.common.hallLost(t.hall)
	}
}

func (t *serversLost) end(e *engine) {
	for _, s := range t.hit {
		if s.stage == policy.Ready {
			s.restart()
			e.tell(s)
		}
	}
	if t.whole && e.common != nil {
		e.common.hallBack(t.hall)
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
	t   scenario.Trouble
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
	s := e.addServer(old.hall, old.cell, e.clock.Now())
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
		e.clock.After(time.Duration(float64(t.over)*float64(k)/float64(len(hit))), func() {
			if s.stage != policy.Ready {
				return
			}
			e.replace(s)
			s.stage = policy.Draining
			e.tell(s)
			last := time.Duration(float64(e.w.Discovery.Lag[1].D())*max(e.lagTimes, 1)) + e.w.Rules.DrainGrace.D()
			for _, l := range e.site.Classes {
				last = max(last, e.w.Rules.DrainGrace.D()+l.Timeout)
			}
			e.clock.After(last+2*time.Second, func() {
				s.stage = policy.Removed
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
		s.stage = policy.Removed
		s.die()
		s.dead = true
		e.tell(s)
		e.replace(s)
	}
}

func (t *massChange) end(*engine) {}
