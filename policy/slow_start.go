package policy

// This file is the slow start of servers that warm up.

// warmUpFraction is the part of its capacity that a server surely has.
func (s *server) warmUpFraction() float64 {
	settings := &s.env.settings
	if s.StartedAt <= 0 || settings.WarmUpTime <= 0 {
		return 1
	}
	grown := float64(s.env.now-s.StartedAt) / float64(settings.WarmUpTime)
	return min(1, settings.WarmUpStart+(1-settings.WarmUpStart)*max(grown, 0))
}

func (s *server) isWarm() bool { return s.warmUpFraction() >= 1 }

// slowStartAllows reports, at random, whether a warming server may have an attempt from us now. The chance is
// what the time since we last considered it brings, at its least warm-up fraction of what a warm one gets,
// and less for a request of more than the mean work. Nothing is saved up. It guards against overloading a
// server that has just started, also by hundreds of gateways in one moment (docs/design.md). Cost: a gateway
// with few requests leaves most of its share unused.
func (s *server) slowStartAllows(request *requestState) bool {
	share, settings := s.warmUpFraction(), &s.env.settings
	if share >= 1 {
		return true
	}
	longest := settings.OverloadFactor / 4 * float64(settings.OverloadSpan)
	brings := min(float64(s.env.now-s.lastConsidered), longest) / float64(s.balancer.attemptInterval())
	s.lastConsidered = s.env.now
	share *= min(brings, settings.OverloadFactor/float64(len(s.balancer.ready)))
	work := max(1, float64(request.expectedLatency(5))/max(s.balancer.meanWork, 1))
	return s.env.random.Float64()*work < share
}
