package failover

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

const (
	// confirmSpan is the length of each of the confirmSpans consecutive intervals that must all
	// show a change before it counts. A late digest, which covers a long time of one gateway, falls
	// into only one of them.
	confirmSpan  = 400 * time.Millisecond
	confirmSpans = 2
	// slowConfirmSpan is the length of the intervals that determine the health of a zone that is
	// not lost. It is long enough for a few random failures to average out.
	slowConfirmSpan = 1600 * time.Millisecond
	// minSampleInterval is the minimum time between two samples that are kept.
	minSampleInterval = 80 * time.Millisecond
	// rateSpan is the length of each of the rateSpans intervals in which gateways are counted.
	// Their median is the number of gateways.
	rateSpan  = 800 * time.Millisecond
	rateSpans = 5
	// sampleRetention is the time for which samples are kept.
	sampleRetention = rateSpans*rateSpan + confirmSpan
	// minReportedShare is the part of its time that a gateway must report to be counted. It is
	// below 1 because digests may be late and cover uneven spans.
	minReportedShare = 0.7
)

// byHealth is an array indexed by health, in quarters from zonestats.Lost to zonestats.Healthy.
type byHealth[T any] [zonestats.Healthy + 1]T

// byPowerBand is an array indexed by the band of a zone's ready power.
type byPowerBand[T any] [zonestats.PowerBands]T

// countNames holds the names of the sampled counts, so that they are built only once.
type countNames struct {
	awakeTime, admitted   []string              // by zone
	completed             [][]string            // by zone; names for all outcomes and receivers
	health                [][]byHealth[string]  // by observing and observed zone
	readyTime, readyPower []byPowerBand[string] // by zone
}

func newCountNames(zones []string) *countNames {
	names := &countNames{}
	for _, zone := range zones {
		names.awakeTime = append(names.awakeTime, zonestats.AwakeTimeName(zone))
		names.admitted = append(names.admitted, zonestats.AdmittedName(zone))
		var completed []string
		var health []byHealth[string]
		for _, toZone := range zones {
			for _, outcome := range zonestats.Outcomes() {
				completed = append(completed, zonestats.CompletedName(zone, toZone, outcome))
			}
			var byQuarter byHealth[string]
			for quarter := range byQuarter {
				byQuarter[quarter] = zonestats.HealthTimeName(zone, toZone, quarter)
			}
			health = append(health, byQuarter)
		}
		names.completed = append(names.completed, completed)
		names.health = append(names.health, health)
		var readyTime, readyPower byPowerBand[string]
		for band := range zonestats.PowerBands {
			readyTime[band] = zonestats.ReadyTimeName(zone, band)
			readyPower[band] = zonestats.ReadyPowerName(zone, band)
		}
		names.readyTime = append(names.readyTime, readyTime)
		names.readyPower = append(names.readyPower, readyPower)
	}
	return names
}

// sample holds the counts at one time, summed over all gateways since their start.
type sample struct {
	at                    time.Duration
	awakeTime             []float64              // milliseconds, without pauses, for which gateways reported, by zone
	admitted              []float64              // thousandths of units admitted, by zone
	completed             []float64              // attempts completed, by the zone of the gateway
	health                [][]byHealth[float64]  // milliseconds, by observing and observed zone
	readyTime, readyPower []byPowerBand[float64] // milliseconds, and power times milliseconds, by zone
}

// newSample returns the counts of all zones from the merged sums.
func (c *countNames) newSample(now time.Duration, sums map[string]uint64) *sample {
	next := &sample{at: now}
	for from := range c.awakeTime {
		next.awakeTime = append(next.awakeTime, float64(sums[c.awakeTime[from]]))
		next.admitted = append(next.admitted, float64(sums[c.admitted[from]]))
		completed := 0.0
		for _, name := range c.completed[from] {
			completed += float64(sums[name])
		}
		next.completed = append(next.completed, completed)
		health := make([]byHealth[float64], len(c.awakeTime))
		for to := range health {
			for quarter := range health[to] {
				health[to][quarter] = float64(sums[c.health[from][to][quarter]])
			}
		}
		next.health = append(next.health, health)
		var readyTime, readyPower byPowerBand[float64]
		for band := range readyTime {
			readyTime[band] = float64(sums[c.readyTime[from][band]])
			readyPower[band] = float64(sums[c.readyPower[from][band]])
		}
		next.readyTime = append(next.readyTime, readyTime)
		next.readyPower = append(next.readyPower, readyPower)
	}
	return next
}

// samples holds the latest samples, oldest first.
type samples []*sample

// add appends a sample and drops those older than sampleRetention. It ignores the sample and
// returns false if less than minSampleInterval has passed since the last one.
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

// last returns the latest sample.
func (s samples) last() *sample { return s[len(s)-1] }

// sampleBefore returns the latest sample that was taken at least age before the last one, or nil if
// there is none.
func (s samples) sampleBefore(age time.Duration) *sample {
	now := s.last().at
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].at <= now-age {
			return s[i]
		}
	}
	return nil
}

// interval is the time between two samples, and what was counted in it.
type interval struct{ start, end *sample }

// milliseconds returns the interval's length.
func (i interval) milliseconds() float64 { return float64((i.end.at - i.start.at) / time.Millisecond) }

// gatewayCount returns the number of gateways of a zone that reported in the interval, as their
// awake time divided by the interval's length.
func (i interval) gatewayCount(zone int) float64 {
	return (i.end.awakeTime[zone] - i.start.awakeTime[zone]) / i.milliseconds()
}

// intervalPair holds two consecutive intervals that must both show a change.
type intervalPair struct{ older, newer interval }

// latestPair returns the last two consecutive intervals of the given length. ok is false if the
// samples do not go back that far.
func (s samples) latestPair(span time.Duration) (pair intervalPair, ok bool) {
	last := s.last()
	middle := s.sampleBefore(span)
	first := s.sampleBefore(confirmSpans * span)
	if middle == nil || first == nil || first.at >= middle.at {
		return intervalPair{}, false
	}
	return intervalPair{interval{first, middle}, interval{middle, last}}, true
}
