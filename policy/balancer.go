package policy

import (
	"cmp"
	"slices"
	"time"
)

// applyEndpoints obeys the list at once: what it does not call ready gets no new attempt from here on.
func (b *balancer) applyEndpoints(kind ListKind, list []Endpoint) {
	if kind == ListFailed {
		b.env.setTimer(timerListRetry, 0, listRetry)
		return
	}
	if kind == ListCached && b.env.settings.PollList {
		b.env.host.WatchEndpoints()
	}
	if kind != ListDelta {
		for _, s := range b.ready {
			s.State = Removed
		}
	}
	for _, endpoint := range list {
		known := b.serversByID[endpoint.Server]
		if known == nil {
			known = b.addServer(endpoint.Server)
		}
		if known.StartedAt != endpoint.StartedAt {
			known.reset()
		}
		known.Endpoint = endpoint
		if endpoint.State == Ready && !slices.Contains(b.ready, known) {
			b.ready = append(b.ready, known)
		}
	}
	b.ready = slices.DeleteFunc(b.ready, func(s *server) bool { return s.State != Ready })
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		dropped := s.State == Removed && len(s.inFlight) == 0
		if dropped {
			delete(b.serversByID, s.Server)
		}
		return dropped
	})
}

// place sends a request to a server, lets it wait for one, or rejects it.
func (b *balancer) place(request *requestState) {
	if request.completed {
		return
	}
	s, waitUntil := b.pickServer(request)
	shed := len(request.attempts) == 0 && !request.awaitedServer && b.sheds(request)
	switch {
	case s != nil && (!shed || !s.isWarm()): // a turn at a warming server comes seldom enough
		b.env.send(s, startAttempt{request})
	case !shed && b.env.now < waitUntil:
		request.awaitedServer = true
		b.env.setTimer(timerPlacement, request.ID, placementRetry)
	default:
		b.env.send(b.lifecycle, &completeRequest{request, b.capacityWait()})
	}
}

// capacityWait is how long a request waits for a server, and what its client gets as Retry-After if it finds
// none or its attempts fail.
func (b *balancer) capacityWait() time.Duration {
	return time.Duration(capacityWaitFraction * float64(b.env.tightestObjective))
}

// pickServer draws two servers at random and takes the one with the lower load score; where none has room, it
// returns until when to wait for one.
func (b *balancer) pickServer(request *requestState) (picked *server, waitUntil time.Duration) {
	if len(b.ready) == 0 {
		return nil, request.objectiveAt
	}
	candidates := b.candidates(request)
	if len(candidates) == 0 {
		return nil, request.objectiveAt - request.class.LatencyObjective + b.capacityWait()
	}
	b.env.random.Shuffle(len(candidates), func(i, k int) {
		candidates[i], candidates[k] = candidates[k], candidates[i]
	})
	two := candidates[:min(len(candidates), 2)]
	return slices.MinFunc(two, func(a, b *server) int { return cmp.Compare(a.loadScore(), b.loadScore()) }), 0
}

// candidates are the servers that a request may be sent to now.
func (b *balancer) candidates(request *requestState) []*server {
	b.open, b.healthy = b.open[:0], b.healthy[:0]
	exploring, allEjected := b.exploring(), true
	for _, candidate := range b.ready {
		if permitted, _ := request.permits(b.env.now, candidate, &b.env.settings); !permitted {
			continue
		}
		ejected := candidate.isEjectedFor(request)
		allEjected = allEjected && ejected
		if candidate.isFull(exploring) || !candidate.slowStartAllows(request) {
			continue
		}
		b.open = append(b.open, candidate)
		if !ejected {
			b.healthy = append(b.healthy, candidate)
		}
	}
	candidates := b.healthy
	if allEjected { // what strikes every server is no reason to prefer any: it must not stop all service
		candidates = b.open
	}
	// A retry goes elsewhere if it can.
	candidates = preferring(candidates, func(s *server) bool {
		return !slices.ContainsFunc(request.attempts, func(a attempt) bool { return a.server == s })
	})
	if request.PreferOwner != 0 && slices.ContainsFunc(candidates, request.canSettleAt) &&
		b.admissionProbability() >= 1 {
		candidates = preferring(candidates, request.canSettleAt)
	}
	// A warming server has its turn now or not at all.
	return preferring(candidates, func(s *server) bool { return !s.isWarm() })
}

// preferring returns those servers for which a condition holds, or all where it holds for none. It changes
// the slice in place.
func preferring(servers []*server, holds func(*server) bool) []*server {
	if !slices.ContainsFunc(servers, holds) {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *server) bool { return !holds(s) })
}

// recordResult takes samples of an attempt's result.
func (b *balancer) recordResult(request *requestState, result *AttemptResult) {
	objective, s := request.class.LatencyObjective, request.attempts[result.Attempt].server
	switch result.Outcome {
	case Rejected:
		if s.failureScore > 1 { // no answer to anyone between two: it is not about one class or plan
			b.recentLatencies.add(latencySamples, latencySample{b.env.now + objective, 1}) // as slow
		}
	case Answered:
		b.recordAnswer(request, s, result)
	}
}

func (b *balancer) recordAnswer(request *requestState, s *server, result *AttemptResult) {
	class, objective := request.class, request.class.LatencyObjective
	class.latencies.record(result.Latency)
	perUnit := float64(result.Latency) / max(cmp.Or(result.ActualUnits, request.Units), 1)
	if usual := float64(class.unitLatencies.decile(5)); usual > 0 {
		s.slowdown += (perUnit/usual - 1 - s.slowdown) / slowdownSamples
	}
	class.unitLatencies.record(time.Duration(perUnit))
	b.recentLatencies.add(latencySamples, latencySample{
		b.env.now - result.Latency + 2*objective, float64(result.Latency) / float64(objective),
	})
	if s.State == Ready && s.isWarm() {
		b.warmResponses.add(responseSamples, responseSample{b.env.now, b.warmServers() / b.sharingGateways})
		work := float64(request.expectedLatency(5))
		b.meanWork += (work - b.meanWork) / float64(len(b.warmResponses.samples))
	}
}

// attemptInterval is the time between this gateway's attempts at a warm server, by the latest answers of
// such; these stand when none is left, as in a deploy. More gateways may share each server by now than did
// then.
func (b *balancer) attemptInterval() time.Duration {
	n := len(b.warmResponses.samples)
	if n < minRateSamples {
		return time.Duration(float64(b.env.settings.OverloadSpan) * b.sharingGateways)
	}
	newest, oldest := b.warmResponses.newest(0), b.warmResponses.newest(n-1)
	// Some answers at once are no rate.
	shortest := b.env.settings.OverloadSpan * time.Duration(responseSamples-n) / responseSamples
	interval := float64(max(newest.at-oldest.at, shortest, b.env.settings.ClockTick)) / float64(n-1)
	return time.Duration(interval * (newest.warmServers + oldest.warmServers) / 2 * b.sharingGateways)
}
