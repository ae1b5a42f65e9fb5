package failover

import (
	"time"

	"harrierhoist/internal/control/failover/zonestats"
)

const (
	// confirmSpan is the length of each of the confirmSpans consecutive spans that must all show a
	// loss before it counts: a late digest of one gateway, which holds much, falls into one alone.
	confirmSpan  = 400 * time.Millisecond
	confirmSpans = 2
	// slowConfirmSpan is the same for the part of a zone that answers where it is not lost: a few
	// random failures are forgotten in that time.
	slowConfirmSpan = 1600 * time.Millisecond
	// minSampleInterval is the least time between two samples that are kept.
	minSampleInterval = 80 * time.Millisecond
	// rateSpan is the length of each of the rateSpans spans over which the number of gateways is
	// taken, as their median.
	rateSpan  = 800 * time.Millisecond
	rateSpans = 5
	// sampleRetention is how far back samples are kept.
	sampleRetention = rateSpans*rateSpan + confirmSpan
	// minReportedShare is the part of a gateway's time that must be reported to count it: digests
	// are late and unevenly cut.
	minReportedShare = 0.7
)

// byHealth is an array over the quarters of a zone's servers that answer, from zonestats.Lost to
// zonestats.Healthy.
type byHealth[T any] [zonestats.Healthy + 1]T

// byPowerBand is an array over the bands of a zone's ready power.
type byPowerBand[T any] [zonestats.PowerBands]T

// countNames are the names of the counts that are sampled, made once.
type countNames struct {
	awake, admitted       []string             // by zone
	completed             [][]string           // by zone, those of all outcomes and receivers
	health                [][]byHealth[string] // by from and to
	readyTime, readyPower []byPowerBand[string]
}

func newCountNames(zones []string) *countNames {
	names := &countNames{}
	for _, zone := range zones {
		names.awake = append(names.awake, zonestats.AwakeTime(zone))
		names.admitted = append(names.admitted, zonestats.Admitted(zone))
		var completed []string
		var health []byHealth[string]
		for _, toZone := range zones {
			for _, outcome := range zonestats.Outcomes() {
				completed = append(completed, zonestats.Completed(zone, toZone, outcome))
			}
			var byQuarter byHealth[string]
			for quarter := range byQuarter {
				byQuarter[quarter] = zonestats.HealthTime(zone, toZone, quarter)
			}
			health = append(health, byQuarter)
		}
		names.completed = append(names.completed, completed)
		names.health = append(names.health, health)
		var readyTime, readyPower byPowerBand[string]
		for band := range zonestats.PowerBands {
			readyTime[band] = zonestats.ReadyTime(zone, band)
			readyPower[band] = zonestats.ReadyPower(zone, band)
		}
		names.readyTime = append(names.readyTime, readyTime)
		names.readyPower = append(names.readyPower, readyPower)
	}
	return names
}

// sample is the sums of the counts at a time: of all gateways, since their start.
type sample struct {
	at                    time.Duration
	awake                 []float64 // by zone, milliseconds that its gateways were awake
	admitted              []float64 // by zone, thousandths of units admitted there
	completed             []float64 // by zone, attempts of its gateways that ended
	health                [][]byHealth[float64]
	readyTime, readyPower []byPowerBand[float64]
}

// sample reads the counts of all zones from the merged sums.
func (c *countNames) sample(now time.Duration, sums map[string]uint64) *sample {
	next := &sample{at: now}
	for from := range c.awake {
		next.awake = append(next.awake, float64(sums[c.awake[from]]))
		next.admitted = append(next.admitted, float64(sums[c.admitted[from]]))
		completed := 0.0
		for _, name := range c.completed[from] {
			completed += float64(sums[name])
		}
		next.completed = append(next.completed, completed)
		health := make([]byHealth[float64], len(c.awake))
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

// samples are the latest samples, oldest first.
type samples []*sample

// add keeps a sample and drops those that are too old. It reports false, and keeps nothing, where
// the sample comes less than minSampleInterval after the last.
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

// last is the latest sample.
func (s samples) last() *sample { return s[len(s)-1] }

// before is the latest sample at least so much older than the last; nil if there is none.
func (s samples) before(age time.Duration) *sample {
	now := s.last().at
	for i := len(s) - 1; i >= 0; i-- {
		if s[i].at <= now-age {
			return s[i]
		}
	}
	return nil
}

// interval is what was counted between two samples.
type interval struct{ start, end *sample }

// milliseconds is the interval's length.
func (i interval) milliseconds() float64 { return float64((i.end.at - i.start.at) / time.Millisecond) }

// gateways is how many gateways of a zone reported their time in the interval.
func (i interval) gateways(zone int) float64 {
	return (i.end.awake[zone] - i.start.awake[zone]) / i.milliseconds()
}

// halves are two consecutive intervals that must both show a change.
type halves struct{ older, newer interval }

// halves gives the last two intervals of a length; ok is false where samples do not go back that
// far.
func (s samples) halves(span time.Duration) (h halves, ok bool) {
	last := s.last()
	middle := s.before(span)
	first := s.before(confirmSpans * span)
	if middle == nil || first == nil || first.at >= middle.at {
		return halves{}, false
	}
	return halves{interval{first, middle}, interval{middle, last}}, true
}
