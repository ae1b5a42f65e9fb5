package simulation

import (
	"slices"
	"time"

	"harrierhoist/internal/lab/scenario"
	"harrierhoist/policy"
)

// serverLoss makes servers silent, with all connections open; at its end they start again and warm
// up.
type serverLoss struct {
	fraction float64 // of a zone, 0: all of its servers
	zone     int
	ofZone   bool // of the servers of one zone, or of all
	affected []*server
}

func newZoneLoss(f scenario.Fault) fault {
	return &serverLoss{zone: f.Zone, ofZone: true, fraction: f.Fraction}
}

func (f *serverLoss) begin(engine *engine) {
	candidates := engine.readyServers()
	if f.ofZone {
		candidates = slices.DeleteFunc(candidates, func(s *server) bool { return s.zone != f.zone })
	}
	if f.isWholeZone() {
		f.affected = candidates
	} else {
		f.affected = engine.pickServers(candidates, f.fraction)
	}
	for _, s := range f.affected {
		s.silent = true
	}
	if f.isWholeZone() && engine.coordinator != nil {
		engine.coordinator.zoneLost(f.zone)
	}
}

func (f *serverLoss) end(e *engine) {
	for _, s := range f.affected {
		if s.state == policy.Ready {
			s.restart()
			e.announce(s)
		}
	}
	if f.ofZone && e.coordinator != nil {
		e.coordinator.zoneRestored(f.zone)
	}
}

func (f *serverLoss) isWholeZone() bool { return f.ofZone && f.fraction <= 0 }

// pickServers draws a fraction of some servers.
func (e *engine) pickServers(from []*server, fraction float64) []*server {
	var picked []*server
	for _, i := range e.pick(len(from), fraction) {
		picked = append(picked, from[i])
	}
	return picked
}

// serverChange changes some servers and changes them back.
type serverChange struct {
	fraction float64
	set      func(s *server, on bool)
	affected []*server
}

func newErrorRateChange(f scenario.Fault) fault {
	return &serverChange{fraction: f.Fraction, set: func(s *server, on bool) {
		s.errorRate = s.engine.scenario.Servers.ErrorRate
		if on {
			s.errorRate = f.Magnitude
		}
	}}
}

func newSlowdown(f scenario.Fault) fault {
	return &serverChange{fraction: f.Fraction, set: func(s *server, on bool) {
		s.slowdown = 1
		if on {
			s.slowdown = max(f.Magnitude, 1)
		}
	}}
}

func (f *serverChange) begin(e *engine) {
	f.affected = e.pickServers(e.readyServers(), f.fraction)
	for _, s := range f.affected {
		f.set(s, true)
	}
}

func (f *serverChange) end(*engine) {
	for _, s := range f.affected {
		f.set(s, false)
	}
}

// classSilence has servers never answer the requests of one class, the first if the fault names
// none.
type classSilence struct {
	fault    scenario.Fault
	affected []*server
}

func (f *classSilence) begin(e *engine) {
	f.affected = e.pickServers(e.readyServers(), f.fault.Fraction)
	for _, s := range f.affected {
		s.silentClasses[f.class(e)] = true
	}
}

func (f *classSilence) end(e *engine) {
	for _, s := range f.affected {
		delete(s.silentClasses, f.class(e))
	}
}

func (f *classSilence) class(e *engine) int {
	named := func(c scenario.TrafficClass) bool { return c.Name == f.fault.Class }
	return max(slices.IndexFunc(e.scenario.Classes, named), 0)
}

// replaceServer starts a server in the place of another; it warms up.
func (e *engine) replaceServer(old *server) {
	e.announce(e.addServer(old.zone, old.rack, e.clock.Now()))
}

// removalMargin is how long a drained server's process outlives the last request that it may have.
const removalMargin = 2 * time.Second

// rollingDeploy replaces servers one by one: the old one drains, and ends when all that it may
// still get has ended.
type rollingDeploy struct {
	fraction float64
	duration time.Duration
}

func (f *rollingDeploy) begin(e *engine) {
	picked := e.pickServers(e.readyServers(), f.fraction)
	for n, s := range picked {
		e.clock.After(turnOf(n, len(picked), f.duration), func() {
			if s.state != policy.Ready {
				return
			}
			e.replaceServer(s)
			s.state = policy.Draining
			e.announce(s)
			e.clock.After(e.drainTime()+removalMargin, s.remove)
		})
	}
}

func (f *rollingDeploy) end(*engine) {}

// drainTime is how long a draining server may get attempts, or have some in flight.
func (e *engine) drainTime() time.Duration {
	grace := e.scenario.Rules.DrainGrace.D()
	longest := time.Duration(float64(e.scenario.Discovery.Lag[1].D())*max(e.faults.lagFactor, 1)) + grace
	for _, class := range e.settings.Classes {
		longest = max(longest, grace+class.Timeout)
	}
	return longest
}

// massReplacement removes servers at once, without draining, and starts others in their place.
type massReplacement struct{ fraction float64 }

func (f *massReplacement) begin(e *engine) {
	for _, s := range e.pickServers(e.readyServers(), f.fraction) {
		s.remove()
		e.replaceServer(s)
	}
}

func (f *massReplacement) end(*engine) {}
