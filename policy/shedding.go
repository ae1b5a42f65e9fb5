package policy

import (
	"cmp"
	"math"
	"slices"
)

// sheds decides, at random, whether a request is rejected because the servers are overloaded. What
// weighs least for its work is shed first.
func (b *balancer) sheds(request *requestState) bool {
	draw := b.env.random.Float64()
	return draw >= math.Pow(min(b.admissionProbability(), 1), b.relativeCost(request))
}

// isOverloaded reports whether the servers together are too slow to forward all requests.
func (b *balancer) isOverloaded() bool { return b.admissionProbability() < 1 }

// admissionProbability is the chance that a request is forwarded at all; at 1 and above no overload
// is seen. It falls as the sixth decile of the parts of their objectives that attempts took lately
// passes half of what server.isFull allows.
// Prevents a queue of hundreds of gateways with an attempt or two each.
func (b *balancer) admissionProbability() float64 {
	b.collectFractions()
	if len(b.fractions) < minRateSamples {
		return 1
	}
	slices.Sort(b.fractions)
	explored := exploreAttempts / b.sharingGateways * float64(b.attemptInterval())
	limit := (queueFraction + explored/float64(b.env.tightestObjective)) / overloadDivisor
	ratio := limit / max(decileOf(b.fractions, overloadDecile), queueFraction/latencySamples)
	return max(ratio*ratio, minAdmission)
}

// collectFractions collects the parts of their latency objectives that attempts took lately, those
// still in flight among them. Silent attempts are left out: the server is lost, not slow.
func (b *balancer) collectFractions() {
	b.fractions = b.fractions[:0]
	for i := range b.recentLatencies.samples {
		sample := b.recentLatencies.newest(i)
		if i < minRateSamples || b.env.now < sample.validUntil {
			b.fractions = append(b.fractions, sample.objectiveFraction)
		}
	}
	for _, s := range b.servers {
		for _, request := range s.inFlight {
			age := b.env.now - request.lastAttemptAt()
			if age < request.silenceTimeout() {
				b.fractions = append(b.fractions, float64(age)/float64(request.class.LatencyObjective))
			}
		}
	}
}

// relativeCost is how much less a request weighs for its work than all classes and plans on the
// mean: the power to which the admission probability is taken. 1: its own weight is not known.
func (b *balancer) relativeCost(request *requestState) float64 {
	own := 0.0
	sum := 0.0
	n := 0.0
	for class := range b.env.classes {
		for plan := range b.env.settings.Plans {
			value, known := b.weightForWork(class, plan)
			if !known {
				continue
			}
			sum += value
			n++
			if class == request.Class && plan == request.Plan {
				own = value
			}
		}
	}
	if own == 0 {
		return 1
	}
	return sum / n / own
}

// weightForWork is the priority weight of a class and plan for each nanosecond that a unit takes;
// not known before an answer, nor for what is retired.
func (b *balancer) weightForWork(class, plan int) (weight float64, known bool) {
	c := &b.env.classes[class]
	p := &b.env.settings.Plans[plan]
	usual := c.unitLatencies.decile(medianDecile)
	if usual <= 0 || c.Retired || p.Retired {
		return 0, false
	}
	return max(c.Weight*cmp.Or(p.Price, 1), minWeight) / float64(usual), true
}
