package policy

import (
	"math"
	"slices"
	"time"
)

// This file is one server's actor, and how long tasks take there.

// warmth is the part of its full capacity that a server surely has at a time.
func (s *server) warmth(at time.Duration) float64 {
	if s.Since <= 0 || s.site.WarmAfter <= 0 {
		return 1
	}
	grown := float64(at-s.Since) / float64(s.site.WarmAfter)
	return min(1, s.site.ColdFrom+(1-s.site.ColdFrom)*max(grown, 0))
}

// ripe tells whether a cold server may have its next push from us: its share grows by what a warm one gets,
// times its least warmth, from a start drawn by lot. It guards against pushing over a server that has just
// started, also by hundreds of gateways that have a push to spare each.
func (s *server) ripe() bool {
	mean := (s.warmth(s.grown) + s.warmth(s.now)) / 2
	return s.warmth(s.now) >= 1 || s.share+mean*float64(s.now-s.grown)/float64(s.fleet.apart()) >= 1
}

// filled tells that we have as many pushes out at a server as it answers us in the time that a push may
// take (Little's law), and our part of a few more. It guards against a queue that outlives its cause, in
// which all work is done and all of it late, whatever filled it. Under one push, as with many gateways, one
// server's answers tell too little; calm speaks then. Of servers whose rate is not known, with strange pushes
// out, no more are tried at once than leaves the others' part, and twice its chance spread.
func (s *server) filled(strange int) bool {
	n := len(s.answers.items)
	if n < boundLeast {
		first := 2 * boundFree / s.fleet.sharers
		all := first * float64(len(s.fleet.up))
		return float64(len(s.out)) >= max(1, first) || float64(strange) >= all+2*math.Sqrt(all)
	}
	span := max(s.now-s.answers.latest(n-1), s.site.Tick)
	bound := boundFree/s.fleet.sharers + boundPart*float64(s.tightest)*float64(n)/float64(span)
	return float64(len(s.out)+1) > max(bound, 1)
}

// sick tells whether a server is to be set aside for a lane, whatever the trouble looks like: fast errors and
// refused connects (which draw tasks, as few are out there), turning away, silence. It counts for its lane
// and for those not tried there, as others may be served. Harm: a good server is left alone for a while.
func (s *server) sick(j *job) bool {
	own, told := s.fates[j.Lane], s.fates[j.Lane]
	for _, other := range s.fates {
		if own == (fate{}) && max(other.good, other.bad) > max(told.good, told.bad) {
			told = other
		}
	}
	for _, o := range s.out {
		if o.Lane == j.Lane && o.sentAt() >= own.good && s.now-o.sentAt() > o.silence() {
			return true
		}
	}
	turned, while := s.turned[s.kind(j)], s.fleet.while()
	return told.bad > told.good && s.now < told.bad+while || turned > 0 && s.now < turned+while
}

// silence is how long a push may have no answer before it counts as lost: the longer, the more units it has.
func (j *job) silence() time.Duration { return max(silentTimes*j.takes(9), silentLeast) }

// takes is a decile of the time that a task will take, by its units; 0 before any answer.
func (j *job) takes(tenth int) time.Duration {
	if n := len(j.row.paces); n > 0 {
		return time.Duration(max(j.Units, 1) * float64(j.row.paces[n*tenth/10]))
	}
	return 0
}

// pace is how long a unit takes; 0 before any answer.
func (r *row) pace() time.Duration {
	if len(r.paces) == 0 {
		return 0
	}
	return max(r.paces[len(r.paces)/2], 1)
}

// decile is a decile of a lane's answer times; 0 before any came.
func (r *row) decile(tenth int) time.Duration {
	if len(r.sorted) == 0 {
		return 0
	}
	return r.sorted[len(r.sorted)*tenth/10]
}

// fullness is what the draw of two goes by: what we have out there for its size.
func (s *server) fullness() float64 {
	full := float64(len(s.out)) + 1
	if s.Hall != s.site.MyHall {
		full += hallPrice
	}
	if s.Power > 0 {
		full /= s.Power
	}
	return full * (1 + s.slow)
}

func (s *server) carry(n note) {
	j := n.job
	s.share, s.grown = 0, s.now
	s.out = append(s.out, j)
	j.pushes = append(j.pushes, sent{server: s, at: s.now})
	s.host.Push(j.ID, s.Server, j.Expires)
}

// ended takes a sample of an outcome and passes it on.
func (s *server) ended(n note) {
	p, j := n.push, n.job
	if i := slices.Index(s.out, j); i >= 0 {
		s.out = slices.Delete(s.out, i, i+1)
	}
	worse := 0
	switch p.Outcome {
	case Answered:
		s.ill, s.fates[j.Lane].good, s.turned[s.kind(j)] = 0, s.now, 0
		s.answers.add(samplesRate, s.now)
	case Full:
		worse, s.turned[s.kind(j)] = 1, s.now
	case Errored, TimedOut, NoConnect, Reset, Cancelled:
		if p.Outcome != Cancelled || p.Took > j.silence() { // called off silent is as good as timed out
			worse, s.failed = illLeast, s.now
		}
	}
	if s.ill += worse; worse > 0 && s.ill >= s.fleet.proof() {
		s.fates[j.Lane].bad = s.now
	}
	if sick := s.sick(j); sick != s.aside {
		s.aside = sick
		s.host.Log(map[bool]string{true: "a server is set aside: it fails or is silent",
			false: "a server set aside is back"}[sick])
	}
	s.post(&s.fleet.part, note{what: s.fleet.learn, job: j, push: p})
	s.post(&s.course.part, note{what: s.course.back, job: j, push: p})
}
