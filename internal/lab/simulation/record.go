package simulation

import (
	"math"

	"harrierhoist/policy"
)

// wholeLeast is the part of a hall's full strength that it must have for the work sent to it to say something of
// those who send it: a hall that was struck, or whose servers are cold, is no receiver.
const wholeLeast = 0.9

// warmOver is the seconds over which a hall's utilisation is taken besides a single one, in which chance alone brings
// a small hall half as much again.
const warmOver = 5

// pushed records a push to a hall.
func (e *engine) pushed(a *attempt) {
	from, to := a.g.hall, a.server.hall
	e.sent[to] += a.work
	if from != to {
		e.result.Crossed++
	}
	if e.regions[from] != e.regions[to] {
		e.result.Far++
	}
}

// strengths are what the servers of each hall can do now and what they could at their best, in core-seconds of
// speed 1 a second.
func (e *engine) strengths() (now, full []float64) {
	now, full = make([]float64, len(e.sent)), make([]float64, len(e.sent))
	for _, s := range e.servers {
		if s.stage != policy.Ready {
			continue
		}
		full[s.hall] += float64(e.w.Servers.Cores) * s.speed
		if !s.dead && !s.silent && e.clock.Now() >= s.fallen {
			now[s.hall] += s.capacity()
		}
	}
	return now, full
}

// second closes a second of the play's record.
func (e *engine) second() {
	r := &e.result
	strength, full := e.strengths()
	for hall, work := range e.sent {
		if strength[hall] <= 0 || strength[hall] < wholeLeast*full[hall] {
			e.lately[hall] = nil
			continue
		}
		used := work.Seconds() / strength[hall]
		r.Hottest = max(r.Hottest, used)
		l := append(e.lately[hall], used)
		e.lately[hall] = l[max(len(l)-warmOver, 0):]
		if len(l) >= warmOver {
			sum := 0.0
			for _, one := range e.lately[hall] {
				sum += one
			}
			r.Warmest = max(r.Warmest, sum/warmOver)
		}
	}
	clear(e.sent)
	now := Second{r.Offered, r.InTime, r.Refused, r.Failed, r.GainServed, r.GainDue, r.Pushes, r.Crossed}
	last := Second{}
	if n := len(r.totals); n > 0 {
		last = r.totals[n-1]
	}
	r.Seconds = append(r.Seconds, now.less(last))
	r.totals = append(r.totals, now)
}

func (e *engine) finish() *Result {
	r := &e.result
	r.Units, r.Beyond, r.BeyondGain = e.ledger.Sent, e.ledger.Beyond, e.ledger.BeyondGain
	r.Breaches, r.Broken = e.ledger.Breaches, e.ledger.Counts
	r.Calls, r.CallsRefused = e.counter.calls, e.counter.refused
	var loads []float64
	for _, s := range e.servers {
		if s.starts == 0 && s.stage == policy.Ready {
			loads = append(loads, s.worked.Seconds())
		}
	}
	r.Uneven = uneven(loads)
	return r
}

// uneven is the deviation of loads over their mean.
func uneven(loads []float64) float64 {
	sum, square := 0.0, 0.0
	for _, l := range loads {
		sum += l
	}
	mean := sum / float64(max(len(loads), 1))
	for _, l := range loads {
		square += (l - mean) * (l - mean)
	}
	if mean == 0 {
		return 0
	}
	return math.Sqrt(square/float64(len(loads))) / mean
}
