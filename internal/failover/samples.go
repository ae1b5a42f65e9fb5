package failover

import (
	"time"

	"harrierhoist/internal/zonestats"
)

const (
	// confirmSpan is the length of each of the two spans, one after the other, that must both speak of a change before it
	// counts: digests come in lumps, and a late one of one gateway, that holds much, lies in one of them alone.
	confirmSpan = 400 * time.Millisecond
	// slowConfirmSpan is the same for what is no loss: how much of a hall answers. A few failures by chance are forgotten in
	// that time, and to be late there costs less.
	slowConfirmSpan = 1600 * time.Millisecond
	// minSampleInterval is the least time between two looks that are kept.
	minSampleInterval = 80 * time.Millisecond
	// sampleRetention is how far back looks are kept: the rates of demand are the middle one of five spans.
	sampleRetention = rateSpans*rateSpan + confirmSpan
	// rateSpan and rates: demand is taken over the last of so many spans, and gateways are counted as the middle one.
	rateSpan  = 800 * time.Millisecond
	rateSpans = 5
	// minReportedShare is the part of a gateway's time that must be told to count it: digests are late and unevenly cut.
	minReportedShare = 0.7
)

// countNames are the names of the counts that are looked at, made once.
type countNames struct {
	awake, admitted       []string
	completed             [][]string                        // by from, all
	health                [][][zonestats.Healthy + 1]string // from, to
	readyTime, readyPower [][zonestats.PowerBands]string
}

func newCountNames(zones []string) *countNames {
	c := &countNames{}
	for _, zone := range zones {
		c.awake, c.admitted = append(c.awake, zonestats.AwakeTime(zone)), append(c.admitted, zonestats.Admitted(zone))
		var row [][zonestats.Healthy + 1]string
		var completed []string
		for _, toZone := range zones {
			for _, outcome := range zonestats.Outcomes() {
				completed = append(completed, zonestats.Completed(zone, toZone, outcome))
			}
			var js [zonestats.Healthy + 1]string
			for q := range js {
				js[q] = zonestats.HealthTime(zone, toZone, q)
			}
			row = append(row, js)
		}
		c.health, c.completed = append(c.health, row), append(c.completed, completed)
		var readyTime, readyPower [zonestats.PowerBands]string
		for b := range zonestats.PowerBands {
			readyTime[b], readyPower[b] = zonestats.ReadyTime(zone, b), zonestats.ReadyPower(zone, b)
		}
		c.readyTime, c.readyPower = append(c.readyTime, readyTime), append(c.readyPower, readyPower)
	}
	return c
}

// sample is the sums at a time.
type sample struct {
	at                    time.Duration
	awake, admitted       []float64
	completed             []float64 // pushes of the hall's gateways
	health                [][][zonestats.Healthy + 1]float64
	readyTime, readyPower [][zonestats.PowerBands]float64
}

func (c *countNames) sample(now time.Duration, sums map[string]uint64) *sample {
	s := &sample{at: now}
	for i := range c.awake {
		s.awake, s.admitted = append(s.awake, float64(sums[c.awake[i]])), append(s.admitted, float64(sums[c.admitted[i]]))
		completed := 0.0
		for _, name := range c.completed[i] {
			completed += float64(sums[name])
		}
		s.completed = append(s.completed, completed)
		row := make([][zonestats.Healthy + 1]float64, len(c.awake))
		for to := range row {
			for q := range row[to] {
				row[to][q] = float64(sums[c.health[i][to][q]])
			}
		}
		s.health = append(s.health, row)
		var readyTime, readyPower [zonestats.PowerBands]float64
		for b := range readyTime {
			readyTime[b], readyPower[b] = float64(sums[c.readyTime[i][b]]), float64(sums[c.readyPower[i][b]])
		}
		s.readyTime, s.readyPower = append(s.readyTime, readyTime), append(s.readyPower, readyPower)
	}
	return s
}

// samples are the latest, oldest first.
type samples []*sample

// add keeps a look, and drops those that are too old. False: it came too soon after the last to tell anything.
func (s *samples) add(next *sample) bool {
	if n := len(*s); n > 0 && next.at < (*s)[n-1].at+minSampleInterval {
		return false
	}
	*s = append(*s, next)
	for len(*s) > 2 && (*s)[1].at <= next.at-sampleRetention {
		*s = (*s)[1:]
	}
	return true
}

// before is the latest look that is at least so old, seen from the last; nil: there is none.
func (s samples) before(age time.Duration) *sample {
	now := s[len(s)-1].at
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].at <= now-age {
			return s[i]
		}
	}
	return nil
}

// halves are the two spans that must agree, the older first, each by its two looks; false: not looked for that long yet.
func (s samples) halves(half time.Duration) (spans [2][2]*sample, ok bool) {
	last := s[len(s)-1]
	mid, first := s.before(half), s.before(2*half)
	if mid == nil || first == nil || first.at >= mid.at {
		return spans, false
	}
	return [2][2]*sample{{first, mid}, {mid, last}}, true
}

// reportingGateways is how many gateways of a hall told of their time in a span.
func reportingGateways(start, end *sample, zone int) float64 {
	return (end.awake[zone] - start.awake[zone]) / float64((end.at-start.at)/time.Millisecond)
}
