package simulation

import (
	"math"

	"harrierhoist/policy"
)

const (
	// minReadyCapacity is the part of its full capacity that a zone must have for its utilisation
	// to count: a zone with faults, or with servers that are warming up, is left out.
	minReadyCapacity = 0.9
	// peakSeconds is the number of seconds of the longer mean of a zone's utilisation. In a single
	// second, chance alone brings a small zone half as much again as its mean.
	peakSeconds = 5
)

// recordAttempt counts an attempt that leaves its gateway.
func (e *engine) recordAttempt(a *attempt) {
	e.result.Attempts++
	from := a.gateway.zone
	to := a.server.zone
	e.zoneWork[to] += a.work
	if from != to {
		e.result.CrossZone++
	}
	if e.regions[from] != e.regions[to] {
		e.result.CrossRegion++
	}
	e.checker.AttemptSent(e.clock.Now(), a.gateway.index, a.server.id, a.try.id)
}

// zoneCapacities returns what the servers of each zone can do now and what they could at their
// best, in seconds of work on a core of speed 1 in a second.
func (e *engine) zoneCapacities() (now, full []float64) {
	now = make([]float64, len(e.zoneWork))
	full = make([]float64, len(e.zoneWork))
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

// closeSecond adds a second to the result's timeline.
func (e *engine) closeSecond() {
	e.closeUtilisation()
	r := &e.result
	now := Second{
		r.Offered, r.InTime, r.RejectedRequests, r.Failed, r.ServedValue, r.DueValue, r.Attempts, r.CrossZone,
	}
	last := Second{}
	if n := len(r.totals); n > 0 {
		last = r.totals[n-1]
	}
	r.Timeline = append(r.Timeline, now.minus(last))
	r.totals = append(r.totals, now)
}

// closeUtilisation takes the utilisation of each zone in the second that ends.
func (e *engine) closeUtilisation() {
	result := &e.result
	capacity, full := e.zoneCapacities()
	for zone, work := range e.zoneWork {
		if capacity[zone] <= 0 || capacity[zone] < minReadyCapacity*full[zone] {
			e.recentUtilisation[zone] = nil
			continue
		}
		used := work.Seconds() / capacity[zone]
		result.PeakUtilisation = max(result.PeakUtilisation, used)
		recent := e.recentUtilisation[zone]
		recent = append(recent, used)
		recent = recent[max(len(recent)-peakSeconds, 0):]
		e.recentUtilisation[zone] = recent
		if len(recent) == peakSeconds {
			sum := 0.0
			for _, one := range recent {
				sum += one
			}
			result.PeakUtilisationOver5s = max(result.PeakUtilisationOver5s, sum/peakSeconds)
		}
	}
	clear(e.zoneWork)
}

// finish completes the result at the end of a run.
func (e *engine) finish() *Result {
	result := &e.result
	result.ForwardedUnits = e.checker.ForwardedUnits
	result.OverQuotaUnits = e.checker.OverQuotaUnits
	result.OverQuotaPenalty = e.checker.OverQuotaPenalty
	result.Violations = e.checker.Violations
	result.ViolationCounts = e.checker.Counts
	result.CounterCalls = e.counter.calls
	result.RejectedCounterCalls = e.counter.rejectedCalls
	var loads []float64
	for _, s := range e.servers {
		if s.restarts == 0 && s.state == policy.Ready {
			loads = append(loads, s.workDone.Seconds())
		}
	}
	result.LoadDeviation = relativeDeviation(loads)
	return result
}

// relativeDeviation is the standard deviation of loads over their mean.
func relativeDeviation(loads []float64) float64 {
	sum := 0.0
	squares := 0.0
	for _, load := range loads {
		sum += load
	}
	mean := sum / float64(max(len(loads), 1))
	for _, load := range loads {
		squares += (load - mean) * (load - mean)
	}
	if mean == 0 {
		return 0
	}
	return math.Sqrt(squares/float64(len(loads))) / mean
}
