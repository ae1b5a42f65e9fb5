package policy

import (
	"cmp"
	"math"
	"slices"
)

// This file is how the balancer sheds load while the servers together are too slow.

// sheds reports, at random, whether a request is rejected as the servers are overloaded.
func (b *balancer) sheds(request *requestState) bool {
	draw := b.env.random.Float64()
	return draw >= math.Pow(min(b.admissionProbability(), 1), b.relativeCost(request))
}

// admissionProbability is the chance that a request is forwarded at all: it falls as the sixth decile of the
// parts of their objectives that attempts took lately, those still out among them, passes half of what the
// bound of server.isFull allows. It guards against the same queue where hundreds of gateways have an attempt
// or two out each. At 1 and above no overload is seen.
func (b *balancer) admissionProbability() float64 {
	b.fractions = b.fractions[:0]
	for i := range b.recentLatencies.samples {
		if sample := b.recentLatencies.newest(i); i < minRateSamples || b.env.now < sample.validUntil {
			b.fractions = append(b.fractions, sample.objectiveFraction)
		}
	}
	for _, s := range b.servers {
		for _, request := range s.inFlight {
			if age := b.env.now - request.lastAttemptAt(); age < request.silenceTimeout() { // silent is not slow
				b.fractions = append(b.fractions, float64(age)/float64(request.class.LatencyObjective))
			}
		}
	}
	if len(b.fractions) < minRateSamples {
		return 1
	}
	slices.Sort(b.fractions)
	sixthDecile := b.fractions[len(b.fractions)*6/10]
	free := exploreAttempts / b.sharingGateways * float64(b.attemptInterval())
	limit := (queueFraction + free/float64(b.env.tightestObjective)) / 2
	ratio := limit / max(sixthDecile, queueFraction/latencySamples)
	return max(ratio*ratio, minAdmission)
}

// relativeCost is how much less a request weighs for its work than all classes and plans on the mean: the
// power of the chance that it is forwarded under overload. Work is the class's latency a unit. Cost: classes
// and plans that weigh little are served least when there is too little for all.
func (b *balancer) relativeCost(request *requestState) float64 {
	own, sum, n := 0.0, 0.0, 0.0
	for class := range b.env.classes {
		for plan := range b.env.settings.Plans {
			value, known := b.weightForWork(class, plan)
			if !known {
				continue
			}
			if sum, n = sum+value, n+1; class == request.Class && plan == request.Plan {
				own = value
			}
		}
	}
	if own == 0 {
		return 1
	}
	return sum / n / own
}

func (b *balancer) weightForWork(class, plan int) (weight float64, known bool) {
	c, p := &b.env.classes[class], &b.env.settings.Plans[plan]
	usual := c.unitLatencies.decile(5)
	if usual <= 0 || c.Retired || p.Retired {
		return 0, false
	}
	return max(c.Weight*cmp.Or(p.Price, 1), minWeight) / float64(usual), true
}
