package simulation

import (
	"time"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

// serversLost has servers fall silent, with all connections open, and come back cold.
type serverLoss struct {
	fraction float64
	zone     int
	ofZone   bool // a whole hall, or a part of one
	affected []*server
}

func (t *serverLoss) begin(e *engine) {
	up := e.readyServers()
	if t.ofZone {
		for _, s := range up {
			if s.zone == t.zone {
				t.affected = append(t.affected, s)
			}
		}
		if all := t.affected; t.fraction > 0 {
			t.affected = nil
			for _, i := range e.pick(len(all), t.fraction) {
				t.affected = append(t.affected, all[i])
			}
		}
	} else {
		for _, i := range e.pick(len(up), t.fraction) {
			t.affected = append(t.affected, up[i])
		}
	}
	for _, s := range t.affected {
		s.silent = true
	}
	if t.ofZone && t.fraction == 0 && e.coordinator != nil {
		e.coordinator.zoneLost(t.zone)
	}
}

func (t *serverLoss) end(e *engine) {
	for _, s := range t.affected {
		if s.state == policy.Ready {
			s.restart()
			e.announce(s)
		}
	}
	if t.ofZone && e.coordinator != nil {
		e.coordinator.zoneRestored(t.zone)
	}
}

// serversChange changes something of some servers and sets it back.
type serverChange struct {
	fraction float64
	set      func(s *server, on bool)
	affected []*server
}

func setErrorRate(part float64) func(*server, bool) {
	return func(s *server, on bool) {
		s.errorRate = s.engine.scenario.Servers.ErrorRate
		if on {
			s.errorRate = part
		}
	}
}

func setSlowdown(times float64) func(*server, bool) {
	return func(s *server, on bool) {
		s.slowdown = 1
		if on {
			s.slowdown = max(times, 1)
		}
	}
}

func (t *serverChange) begin(e *engine) {
	up := e.readyServers()
	for _, i := range e.pick(len(up), t.fraction) {
		t.affected = append(t.affected, up[i])
		t.set(up[i], true)
	}
}

func (t *serverChange) end(*engine) {
	for _, s := range t.affected {
		t.set(s, false)
	}
}

// laneSilent has servers swallow the tasks of one lane.
type classSilence struct {
	fault    scenario.Fault
	affected []*server
}

func (t *classSilence) class(e *engine) int {
	for i, l := range e.scenario.Classes {
		if l.Name == t.fault.Class {
			return i
		}
	}
	return 0
}

func (t *classSilence) begin(e *engine) {
	up := e.readyServers()
	for _, i := range e.pick(len(up), t.fault.Fraction) {
		t.affected = append(t.affected, up[i])
		up[i].silentClasses[t.class(e)] = true
	}
}

func (t *classSilence) end(e *engine) {
	for _, s := range t.affected {
		delete(s.silentClasses, t.class(e))
	}
}

// replace starts a cold server in the place of one, and gives it.
func (e *engine) replaceServer(old *server) *server {
	s := e.addServer(old.zone, old.rack, e.clock.Now())
	e.announce(s)
	return s
}

// deploy replaces servers one by one: the old one is told to drain, and ends two seconds after the grace.
type rollingDeploy struct {
	fraction float64
	duration time.Duration
}

func (t *rollingDeploy) begin(e *engine) {
	up := e.readyServers()
	hit := e.pick(len(up), t.fraction)
	for k, i := range hit {
		s := up[i]
		e.clock.After(time.Duration(float64(t.duration)*float64(k)/float64(len(hit))), func() {
			if s.state != policy.Ready {
				return
			}
			e.replaceServer(s)
			s.state = policy.Draining
			e.announce(s)
			last := time.Duration(float64(e.scenario.Discovery.Lag[1].D())*max(e.lagFactor, 1)) + e.scenario.Rules.DrainGrace.D()
			for _, l := range e.settings.Classes {
				last = max(last, e.scenario.Rules.DrainGrace.D()+l.Timeout)
			}
			e.clock.After(last+2*time.Second, func() {
				s.state = policy.Removed
				s.dropWork()
				s.dead = true
				e.announce(s)
			})
		})
	}
}

func (t *rollingDeploy) end(*engine) {}

// massChange has servers gone at once, with cold ones in their place.
type massReplacement struct{ fraction float64 }

func (t *massReplacement) begin(e *engine) {
	up := e.readyServers()
	for _, i := range e.pick(len(up), t.fraction) {
		s := up[i]
		s.state = policy.Removed
		s.dropWork()
		s.dead = true
		e.announce(s)
		e.replaceServer(s)
	}
}

func (t *massReplacement) end(*engine) {}
