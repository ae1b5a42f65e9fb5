package simulation

import (
	"math"

	"harrierhoist/policy"
)

// wholeLeast is the part of a hall's full strength that it must have for the work sent to it to say something of
// those who send it: a hall that was struck, or whose servers are cold, is no receiver.
const minReadyCapacity = 0.9

// warmOver is the seconds over which a hall's utilisation is taken besides a single one, in which chance alone brings
// a small hall half as much again.
const peakSeconds = 5

// pushed records a push to a hall.
func (e *engine) recordAttempt(a *attempt) {
	from, to := a.gateway.zone, a.server.zone
	e.zoneWork[to] += a.work
	if from != to {
		e.result.CrossZone++
	}
	if e.regions[from] != e.regions[to] {
		e.result.CrossRegion++
	}
}

// strengths are what the servers of each hall can do now and what they could at their best, in core-seconds of
// speed 1 a second.
func (e *engine) zoneCapacities() (now, full []float64) {
	now, full = make([]float64, len(e.zoneWork)), make([]float64, len(e.zoneWork))
	for _, s := range e.servers {
		if s.state != policy.Ready {
			continue
		}
		full[s.zone] += float64(e.scenario.Servers.Cores) * s.speed
		if !s.dead && !s.silent && e.clock.Now() >= s.overloadedUntil {
			now[s.zone] += s.capacity()
		}
	}
	return now, full
}

// second closes a second of the play's record.
func (e *engine) closeSecond() {
	r := &e.result
	strength, full := e.zoneCapacities()
	for hall, work := range e.zoneWork {
		if strength[hall] <= 0 || strength[hall] < minReadyCapacity*full[hall] {
			e.recentUtilisation[hall] = nil
			continue
		}
		used := work.Seconds() / strength[hall]
		r.PeakUtilisation = max(r.PeakUtilisation, used)
		l := append(e.recentUtilisation[hall], used)
		e.recentUtilisation[hall] = l[max(len(l)-peakSeconds, 0):]
		if len(l) >= peakSeconds {
			sum := 0.0
			for _, one := range e.recentUtilisation[hall] {
				sum += one
			}
			r.PeakUtilisationOver5s = max(r.PeakUtilisationOver5s, sum/peakSeconds)
		}
	}
	clear(e.zoneWork)
	now := Second{r.Offered, r.InTime, r.RejectedRequests, r.Failed, r.ServedValue, r.DueValue, r.Attempts, r.CrossZone}
	last := Second{}
	if n := len(r.totals); n > 0 {
		last = r.totals[n-1]
	}
	r.Timeline = append(r.Timeline, now.minus(last))
	r.totals = append(r.totals, now)
}

func (e *engine) finish() *Result {
	r := &e.result
	r.ForwardedUnits, r.OverQuotaUnits, r.OverQuotaPenalty = e.checker.ForwardedUnits, e.checker.OverQuotaUnits, e.checker.OverQuotaPenalty
	r.Violations, r.ViolationCounts = e.checker.Violations, e.checker.Counts
	r.CounterCalls, r.RejectedCounterCalls = e.counter.calls, e.counter.rejectedCalls
	var loads []float64
	for _, s := range e.servers {
		if s.restarts == 0 && s.state == policy.Ready {
			loads = append(loads, s.workDone.Seconds())
		}
	}
	r.LoadDeviation = relativeDeviation(loads)
	return r
}

// uneven is the deviation of loads over their mean.
func relativeDeviation(loads []float64) float64 {
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
