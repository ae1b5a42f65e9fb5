package settlement

import (
	"strings"
	"time"
)

const (
	rateWindow     = 10              // number of intervals between samples over which rates are computed
	minRateSamples = 3               // a leader sets shares once it has more samples than this
	drainDuration  = 5 * time.Second // after shares end, until the requests that they moved have ended
)

// sample is the sum of all gateways' counters at a time.
type sample struct {
	at     time.Duration
	counts map[string]uint64 // by name, of this package's metrics only
}

// growth returns the increase of a partner's metric from this sample to a later one. It returns 0
// if the metric decreased.
func (s sample) growth(later sample, metric Metric, partner string) float64 {
	name := MetricName(metric, partner)
	return float64(later.counts[name] - min(s.counts[name], later.counts[name]))
}

// recordSample adds a sample of the counters, and the increase since the previous sample to the
// service statistics. The baseline excludes the time of settlement and failover, and drainDuration
// after each: samples of that time do not show how partners are served without a settlement.
func (c *Controller) recordSample(now time.Duration, sums map[string]uint64, current State, failingOver bool) {
	latest := sample{now, map[string]uint64{}}
	for name, n := range sums {
		if strings.HasPrefix(name, metricPrefix) {
			latest.counts[name] = n
		}
	}
	settling := len(current.Shares) > 0
	if failingOver {
		clear(c.baseline)
	}
	if settling || failingOver {
		c.lastRedirectAt = now
	}
	if !settling {
		clear(c.duringSettlement)
		clear(c.sincePaceAdjustment)
	}
	if n := len(c.samples); n > 0 {
		switch {
		case settling:
			c.addServiceStats(c.duringSettlement, c.samples[n-1], latest)
		case now >= c.lastRedirectAt+drainDuration:
			c.addServiceStats(c.baseline, c.samples[n-1], latest)
		}
	}
	c.lastSampleAt = now
	c.samples = append(c.samples, latest)
	c.samples = c.samples[max(0, len(c.samples)-rateWindow-1):]
}

// addServiceStats adds the requests between two samples to stats and to c.sincePaceAdjustment, for
// each partner.
func (c *Controller) addServiceStats(stats map[string]*serviceStats, previous, latest sample) {
	for _, p := range c.terms.Partners {
		increment := serviceStats{
			previous.growth(latest, MetricRequests, p.Name),
			previous.growth(latest, MetricLate, p.Name),
			previous.growth(latest, MetricSlow, p.Name),
		}
		statsFor(stats, p.Name).add(increment, latest.at-previous.at)
		statsFor(c.sincePaceAdjustment, p.Name).add(increment, 0)
	}
}

// statsFor returns the entry of a partner, and adds an empty one if there is none.
func statsFor(stats map[string]*serviceStats, partner string) *serviceStats {
	if stats[partner] == nil {
		stats[partner] = &serviceStats{}
	}
	return stats[partner]
}

// hasEnoughSamples reports whether this leader has enough samples to compute rates for shares.
func (c *Controller) hasEnoughSamples() bool { return len(c.samples) > minRateSamples }

// rate returns the average increase per second of a partner's metric, from the first sample in the
// window to the last. It returns 0 if the window spans no time.
func (c *Controller) rate(metric Metric, partner string) float64 {
	first := c.samples[0]
	last := c.samples[len(c.samples)-1]
	if last.at <= first.at {
		return 0
	}
	return first.growth(last, metric, partner) / (last.at - first.at).Seconds()
}
