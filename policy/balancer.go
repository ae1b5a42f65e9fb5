package policy

import (
	"cmp"
	"slices"
	"time"
)

// applyEndpoints takes an endpoint list at once: a server that is not ready by it gets no new
// attempt from here on.
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
	b.dropRemoved()
}

// dropRemoved drops the servers that are not ready from those that get attempts, and removed ones
// altogether once none of their attempts is in flight.
func (b *balancer) dropRemoved() {
	b.ready = slices.DeleteFunc(b.ready, func(s *server) bool { return s.State != Ready })
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		dropped := s.State == Removed && len(s.inFlight) == 0
		if dropped {
			delete(b.serversByID, s.Server)
		}
		return dropped
	})
}

// place sends a request to a server, lets it wait for one, or rejects it. A warming server's turn
// is taken even where load is shed, as it comes seldom enough.
func (b *balancer) place(request *requestState) {
	if request.completed {
		return
	}
	s := b.pickServer(request)
	isNew := len(request.attempts) == 0 && !request.awaitedServer
	shed := isNew && b.sheds(request)
	switch {
	case s != nil && (!shed || !s.isWarm()):
		b.env.send(s, startAttempt{request})
	case !shed && b.env.now < b.waitEnd(request):
		request.awaitedServer = true
		b.env.setTimer(timerPlacement, request.ID, placementRetry)
	default:
		b.env.send(b.lifecycle, &completeRequest{request, b.capacityWait()})
	}
}

// waitEnd decides until when a request without a server waits for one: the capacityWait after its
// arrival, or the end of its latency objective where no server is ready at all.
func (b *balancer) waitEnd(request *requestState) time.Duration {
	if len(b.ready) == 0 {
		return request.objectiveAt
	}
	return request.objectiveAt - request.class.LatencyObjective + b.capacityWait()
}

// capacityWait is how long a request waits for a server with capacity, and what its client gets as
// Retry-After if it finds none or its attempts fail.
func (b *balancer) capacityWait() time.Duration {
	return time.Duration(capacityWaitFraction * float64(b.env.tightestObjective))
}

// pickServer draws two servers at random and takes the one with the lower load score; nil: no
// server is ready, or none has capacity.
func (b *balancer) pickServer(request *requestState) *server {
	candidates := b.candidates(request)
	if len(candidates) == 0 {
		return nil
	}
	b.env.random.Shuffle(len(candidates), func(i, k int) {
		candidates[i], candidates[k] = candidates[k], candidates[i]
	})
	two := candidates[:min(len(candidates), drawnServers)]
	return slices.MinFunc(two, func(a, b *server) int { return cmp.Compare(a.loadScore(), b.loadScore()) })
}

// candidates are the servers that a request may be sent to now. A retry goes elsewhere if it can,
// and a warming server has its turn now or not at all.
func (b *balancer) candidates(request *requestState) []*server {
	servers := b.openServers(request)
	servers = preferring(servers, func(s *server) bool { return !request.hasTried(s) })
	if b.shouldSettle(request, servers) {
		servers = preferring(servers, request.canSettleAt)
	}
	return preferring(servers, func(s *server) bool { return !s.isWarm() })
}

// shouldSettle decides whether a request goes to servers of the owner that it prefers: while no
// overload is seen.
func (b *balancer) shouldSettle(request *requestState, servers []*server) bool {
	return request.PreferOwner != 0 && slices.ContainsFunc(servers, request.canSettleAt) && !b.isOverloaded()
}

// openServers are the servers that a request may go to and that have capacity, without the ejected
// ones. Where all are ejected they are included: what strikes every server is no reason to prefer
// any, and must not stop all service. A warming server that is asked has had its turn.
func (b *balancer) openServers(request *requestState) []*server {
	b.open = b.open[:0]
	b.healthy = b.healthy[:0]
	exploring := b.exploring()
	allEjected := true
	for _, candidate := range b.ready {
		if !request.canAttempt(b.env.now, candidate, &b.env.settings) {
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
	if allEjected {
		return b.open
	}
	return b.healthy
}

// preferring returns those servers for which a condition holds, or all where it holds for none. It
// changes the slice in place.
func preferring(servers []*server, holds func(*server) bool) []*server {
	if !slices.ContainsFunc(servers, holds) {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *server) bool { return !holds(s) })
}

// recordResult takes samples of an attempt's result. A server that rejects again with no answer to
// anyone since counts as slow as a whole objective: the rejection is not about one class or plan.
func (b *balancer) recordResult(request *requestState, result *AttemptResult) {
	s := request.attempts[result.Attempt].server
	if result.Outcome == Answered {
		b.recordAnswer(request, s, result)
		return
	}
	if result.Outcome == Rejected && s.failureScore > rejectionWeight {
		validUntil := b.env.now + request.class.LatencyObjective
		b.recentLatencies.add(latencySamples, latencySample{validUntil, 1})
	}
}

// recordAnswer takes an answer's latency into what is known of its class, its server and all
// servers.
func (b *balancer) recordAnswer(request *requestState, s *server, result *AttemptResult) {
	class := request.class
	objective := class.LatencyObjective
	class.latencies.record(result.Latency)
	perUnit := float64(result.Latency) / max(cmp.Or(result.ActualUnits, request.Units), 1)
	usualPerUnit := float64(class.unitLatencies.decile(medianDecile))
	if usualPerUnit > 0 {
		s.slowdown += (perUnit/usualPerUnit - 1 - s.slowdown) / slowdownSamples
	}
	class.unitLatencies.record(time.Duration(perUnit))
	b.recentLatencies.add(latencySamples, latencySample{
		b.env.now - result.Latency + latencyValidity*objective, float64(result.Latency) / float64(objective),
	})
	if s.State == Ready && s.isWarm() {
		b.warmResponses.add(responseSamples, responseSample{b.env.now, b.warmServers() / b.sharingGateways})
		work := float64(request.expectedLatency(medianDecile))
		b.meanWork += (work - b.meanWork) / float64(len(b.warmResponses.samples))
	}
}
