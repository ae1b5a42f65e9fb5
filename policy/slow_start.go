package policy

import "time"

// warmUpFraction returns the fraction of its full capacity that the server is sure to have. It
// rises linearly from Settings.WarmUpStart at the server's start to 1 after Settings.WarmUpTime.
func (s *server) warmUpFraction() float64 {
	settings := &s.env.settings
	if s.StartedAt <= 0 || settings.WarmUpTime <= 0 {
		return 1
	}
	elapsed := float64(s.env.now-s.StartedAt) / float64(settings.WarmUpTime)
	return min(1, settings.WarmUpStart+(1-settings.WarmUpStart)*max(elapsed, 0))
}

// isWarm reports whether the server has all of its capacity.
func (s *server) isWarm() bool { return s.warmUpFraction() >= 1 }

// slowStartAllows decides at random whether a server may get an attempt now. It always returns true
// for a warm server. The probability for a warming server grows with its warm-up fraction and with
// the time since it was last considered, and is lower for a request of more than the mean expected
// latency. The time credited is bounded, so that hundreds of idle gateways do not all send at the
// same time (docs/design.md derives the bound). This prevents overload of a server that has just
// started.
func (s *server) slowStartAllows(request *requestState) bool {
	probability := s.warmUpFraction()
	if probability >= 1 {
		return true
	}
	settings := &s.env.settings
	maxCredit := settings.OverloadFactor / slowStartCreditDivisor * float64(settings.OverloadSpan)
	credit := min(float64(s.env.now-s.lastConsideredAt), maxCredit)
	dueAttempts := credit / float64(s.balancer.attemptInterval())
	s.lastConsideredAt = s.env.now
	probability *= min(dueAttempts, settings.OverloadFactor/float64(len(s.balancer.ready)))
	relativeLatency := float64(request.expectedLatency(medianDecile)) / max(s.balancer.meanExpectedLatency, 1)
	return s.env.random.Float64()*max(1, relativeLatency) < probability
}

// attemptInterval returns the mean time between this gateway's attempts at one warm server,
// estimated from the latest answers of warm servers. These answers still count when no warm server
// is left, as during a deployment. The estimate is scaled to the number of gateways that share each
// server now, which may differ from the number at the time of the answers. With too few answers, it
// assumes one attempt of all gateways together per Settings.OverloadSpan.
func (b *balancer) attemptInterval() time.Duration {
	count := len(b.warmResponses.samples)
	if count < minRateSamples {
		return time.Duration(float64(b.env.settings.OverloadSpan) * b.sharingGateways)
	}
	newest := b.warmResponses.newest(0)
	oldest := b.warmResponses.newest(count - 1)
	// The span has a lower bound, as a few simultaneous answers show no rate.
	minSpan := b.env.settings.OverloadSpan * time.Duration(responseSamples-count) / responseSamples
	interval := float64(max(newest.at-oldest.at, minSpan, b.env.settings.ClockTick)) / float64(count-1)
	return time.Duration(interval * (newest.warmServers + oldest.warmServers) / 2 * b.sharingGateways)
}
