package settlement

import (
	"strings"
	"time"
)

const (
	rateWindow     = 10              // samples over which rates are taken, one per decisionInterval
	minRateSamples = 3               // samples that a leader must have seen before it sets shares
	settlementTail = 5 * time.Second // after shares end, while requests that they moved end
)

// sample is what all gateways had counted at a time.
type sample struct {
	at     time.Duration
	counts map[string]uint64 // of this package's metrics alone
}

// growth returns by how much a partner's metric grew from one sample to a later one; 0 where it
// fell.
func (s sample) growth(later sample, metric Metric, partner string) float64 {
	name := MetricName(metric, partner)
	return float64(later.counts[name] - min(s.counts[name], later.counts[name]))
}

// recordSample takes in what was counted since the sample before. While failover is at work, and
// while its queues drain, nothing tells how partners are served without a settlement.
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
		c.lastSettlingAt = now
	}
	if !settling {
		clear(c.duringSettlement)
		clear(c.sincePaceChange)
	}
	if n := len(c.samples); n > 0 {
		switch {
		case settling:
			c.addService(c.duringSettlement, c.samples[n-1], latest)
		case now >= c.lastSettlingAt+settlementTail:
			c.addService(c.baseline, c.samples[n-1], latest)
		}
	}
	c.sampledAt = now
	c.samples = append(c.samples, latest)
	c.samples = c.samples[max(0, len(c.samples)-rateWindow-1):]
}

// addService adds how partners were served between two samples.
func (c *Controller) addService(to map[string]*serviceStats, previous, latest sample) {
	for _, p := range c.terms.Partners {
		more := serviceStats{
			previous.growth(latest, MetricRequests, p.Name),
			previous.growth(latest, MetricLate, p.Name),
			previous.growth(latest, MetricSlow, p.Name),
		}
		statsOf(to, p.Name).add(more, latest.at-previous.at)
		statsOf(c.sincePaceChange, p.Name).add(more, 0)
	}
}

// statsOf returns a partner's stats, which are made where there are none.
func statsOf(stats map[string]*serviceStats, partner string) *serviceStats {
	if stats[partner] == nil {
		stats[partner] = &serviceStats{}
	}
	return stats[partner]
}

// hasRates reports whether this leader has seen enough samples to set shares by their rates.
func (c *Controller) hasRates() bool { return len(c.samples) > minRateSamples }

// rate returns by how much a partner's metric grew per second, from the first sample in the window
// to the last.
func (c *Controller) rate(metric Metric, partner string) float64 {
	first := c.samples[0]
	last := c.samples[len(c.samples)-1]
	if last.at <= first.at {
		return 0
	}
	return first.growth(last, metric, partner) / (last.at - first.at).Seconds()
}
