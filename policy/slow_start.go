package policy

import "time"

// warmUpFraction is the part of its capacity that a server surely has, from 0 to 1.
func (s *server) warmUpFraction() float64 {
	settings := &s.env.settings
	if s.StartedAt <= 0 || settings.WarmUpTime <= 0 {
		return 1
	}
	grown := float64(s.env.now-s.StartedAt) / float64(settings.WarmUpTime)
	return min(1, settings.WarmUpStart+(1-settings.WarmUpStart)*max(grown, 0))
}

func (s *server) isWarm() bool { return s.warmUpFraction() >= 1 }

// slowStartAllows decides, at random, whether a warming server may have an attempt now: by the time
// since it was last considered, its warm-up fraction, and the request's work. Nothing is saved up,
// so hundreds of gateways that had rested do not come at once (docs/design.md has the bound).
// Prevents overload of a server that has just started.
func (s *server) slowStartAllows(request *requestState) bool {
	probability := s.warmUpFraction()
	if probability >= 1 {
		return true
	}
	settings := &s.env.settings
	longestRest := settings.OverloadFactor / slowStartRest * float64(settings.OverloadSpan)
	rest := min(float64(s.env.now-s.lastConsidered), longestRest)
	dueAttempts := rest / float64(s.balancer.attemptInterval())
	s.lastConsidered = s.env.now
	probability *= min(dueAttempts, settings.OverloadFactor/float64(len(s.balancer.ready)))
	relativeWork := float64(request.expectedLatency(medianDecile)) / max(s.balancer.meanWork, 1)
	return s.env.random.Float64()*max(1, relativeWork) < probability
}

// attemptInterval is the time between this gateway's attempts at a warm server, by the latest
// answers of such; these count when none is left, as in a deploy. More gateways may share each
// server by now than did then.
func (b *balancer) attemptInterval() time.Duration {
	n := len(b.warmResponses.samples)
	if n < minRateSamples {
		return time.Duration(float64(b.env.settings.OverloadSpan) * b.sharingGateways)
	}
	newest := b.warmResponses.newest(0)
	oldest := b.warmResponses.newest(n - 1)
	// Some answers at one moment tell no rate.
	shortest := b.env.settings.OverloadSpan * time.Duration(responseSamples-n) / responseSamples
	interval := float64(max(newest.at-oldest.at, shortest, b.env.settings.ClockTick)) / float64(n-1)
	return time.Duration(interval * (newest.warmServers + oldest.warmServers) / 2 * b.sharingGateways)
}
