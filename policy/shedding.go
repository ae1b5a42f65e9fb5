package policy

import (
	"cmp"
	"math"
	"slices"
)

// shouldShed decides at random whether to reject a request because the servers are overloaded.
// Requests with the least weight per unit of work are shed first.
func (b *balancer) shouldShed(request *requestState) bool {
	draw := b.env.random.Float64()
	return draw >= math.Pow(min(b.admissionProbability(), 1), b.relativeCost(request))
}

// isOverloaded reports whether the servers together are too slow for all requests.
func (b *balancer) isOverloaded() bool { return b.admissionProbability() < 1 }

// admissionProbability returns the probability that a request of relative cost 1 is forwarded. A
// value of 1 or more means that the servers are not overloaded. The probability falls once the
// sixth decile of recent latencies, as fractions of their objectives, exceeds half of the queueing
// time that server.isFull allows. This prevents a queue of one or two attempts from each of
// hundreds of gateways.
func (b *balancer) admissionProbability() float64 {
	b.collectLatencyFractions()
	if len(b.latencyFractions) < minRateSamples {
		return 1
	}
	slices.Sort(b.latencyFractions)
	headroom := headroomAttempts / b.sharingGateways * float64(b.attemptInterval())
	limit := (queueFraction + headroom/float64(b.env.tightestObjective)) / overloadQueueDivisor
	ratio := limit / max(decileOf(b.latencyFractions, overloadDecile), queueFraction/latencySamples)
	return max(ratio*ratio, minAdmissionProbability)
}

// collectLatencyFractions sets latencyFractions to the latencies of recent attempts as fractions of
// their latency objectives. An attempt in flight counts with its age. Attempts past their silence
// timeout are left out: their server is lost, not slow.
func (b *balancer) collectLatencyFractions() {
	b.latencyFractions = b.latencyFractions[:0]
	for i := range b.recentLatencies.samples {
		sample := b.recentLatencies.newest(i)
		if i < minRateSamples || b.env.now < sample.validUntil {
			b.latencyFractions = append(b.latencyFractions, sample.objectiveFraction)
		}
	}
	for _, s := range b.servers {
		for _, request := range s.inFlight {
			age := b.env.now - request.lastAttemptAt()
			if age < request.silenceTimeout() {
				b.latencyFractions = append(b.latencyFractions, float64(age)/float64(request.class.LatencyObjective))
			}
		}
	}
}

// relativeCost returns the mean weightPerWork of all classes and plans, divided by the request's
// own. It is the exponent of the admission probability. It is 1 if the request's own value is not
// known.
func (b *balancer) relativeCost(request *requestState) float64 {
	own := 0.0
	sum := 0.0
	count := 0.0
	for class := range b.env.classes {
		for plan := range b.env.settings.Plans {
			value, known := b.weightPerWork(class, plan)
			if !known {
				continue
			}
			sum += value
			count++
			if class == request.Class && plan == request.Plan {
				own = value
			}
		}
	}
	if own == 0 {
		return 1
	}
	return sum / count / own
}

// weightPerWork returns the priority weight of a class and plan, divided by the class's median
// latency of one unit in nanoseconds. It is not known before the first answer of the class, or for
// a retired class or plan.
func (b *balancer) weightPerWork(class, plan int) (weight float64, known bool) {
	c := &b.env.classes[class]
	p := &b.env.settings.Plans[plan]
	median := c.unitLatencies.decile(medianDecile)
	if median <= 0 || c.Retired || p.Retired {
		return 0, false
	}
	return max(c.Weight*cmp.Or(p.Price, 1), minWeight) / float64(median), true
}
