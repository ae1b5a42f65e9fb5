package policy

import (
	"cmp"
	"slices"
	"time"
)

// applyEndpoints applies an endpoint list immediately: servers that are no longer ready get no new
// attempts. After ListFailed it requests the list again later.
func (b *balancer) applyEndpoints(kind ListKind, list []Endpoint) {
	if kind == ListFailed {
		b.env.setTimer(timerListRetry, 0, listRetryDelay)
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

// dropRemoved deletes servers that are not ready from b.ready. It also deletes removed servers from
// the balancer, except those with attempts in flight, which stay until a later list.
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

// placeRequest sends a request to a server, lets it wait for one, or rejects it. Only new requests
// are shed. A request for which pickServer found a warming server is not shed, because slow start
// allows few such attempts.
func (b *balancer) placeRequest(request *requestState) {
	if request.completed {
		return
	}
	s := b.pickServer(request)
	isNew := len(request.attempts) == 0 && !request.awaitedServer
	shed := isNew && b.shouldShed(request)
	switch {
	case s != nil && (!shed || !s.isWarm()):
		b.startAttempt(request, s)
	case !shed && b.env.now < b.waitDeadline(request):
		request.awaitedServer = true
		b.env.setTimer(timerPlacement, request.ID, placementRetryDelay)
	default:
		b.env.send(b.lifecycle, &completeRequest{request, b.capacityWait()})
	}
}

// startAttempt sends a request to a server if its client is known to be connected. If it is not, no
// attempt may begin: the request waits without a server, up to the end of its latency objective. It
// is completed immediately if nothing but its own answer can show whether the client is connected.
func (b *balancer) startAttempt(request *requestState, s *server) {
	presence := request.presence()
	switch {
	case presence == ClientConnected:
		b.env.send(s, startAttempt{request})
	case presence != ClientUnverifiable && b.env.now < request.objectiveAt:
		request.awaitedClient = true
		b.env.setTimer(timerPlacement, request.ID, placementRetryDelay)
	default:
		b.env.send(b.lifecycle, &completeRequest{request, b.capacityWait()})
	}
}

// waitDeadline returns the time until which a request without a server waits for one: capacityWait
// after its arrival, or the end of its latency objective if no server is ready or the request could
// not use a server because the presence of its client was unknown.
func (b *balancer) waitDeadline(request *requestState) time.Duration {
	if len(b.ready) == 0 || request.awaitedClient {
		return request.objectiveAt
	}
	return request.objectiveAt - request.class.LatencyObjective + b.capacityWait()
}

// capacityWait returns how long a request waits for a server with capacity. It is also the
// Retry-After of a request that found no server or whose attempts failed.
func (b *balancer) capacityWait() time.Duration {
	return time.Duration(capacityWaitFraction * float64(b.env.tightestObjective))
}

// pickServer returns the server with the lower load score of two candidates chosen at random. It
// returns nil if no server can take the request now.
func (b *balancer) pickServer(request *requestState) *server {
	candidates := b.candidates(request)
	if len(candidates) == 0 {
		return nil
	}
	b.env.random.Shuffle(len(candidates), func(i, k int) {
		candidates[i], candidates[k] = candidates[k], candidates[i]
	})
	choices := candidates[:min(len(candidates), choiceCount)]
	return slices.MinFunc(choices, func(a, b *server) int { return cmp.Compare(a.loadScore(), b.loadScore()) })
}

// candidates returns the servers among which pickServer chooses. Servers that the request has not
// tried take precedence, then servers of its preferred owner, then warming servers, because slow
// start has used up the credit of such a server whether or not it gets this attempt.
func (b *balancer) candidates(request *requestState) []*server {
	servers := b.eligibleServers(request)
	servers = preferMatching(servers, func(s *server) bool { return !request.hasTried(s) })
	if b.shouldPreferOwner(request, servers) {
		servers = preferMatching(servers, request.canSettleAt)
	}
	return preferMatching(servers, func(s *server) bool { return !s.isWarm() })
}

// shouldPreferOwner reports whether the request goes to a server of the owner that it prefers: if
// one is available and the servers are not overloaded.
func (b *balancer) shouldPreferOwner(request *requestState, servers []*server) bool {
	return request.PreferredOwner != 0 && slices.ContainsFunc(servers, request.canSettleAt) && !b.isOverloaded()
}

// eligibleServers returns the ready servers that the request may go to now: those with capacity,
// without ejected ones. If all servers are ejected, they are included: a failure that affects every
// server is no reason to avoid any of them, and must not stop all service. The call uses up the
// slow-start credit of each warming server with capacity. The result is valid until the next call.
func (b *balancer) eligibleServers(request *requestState) []*server {
	b.withCapacity = b.withCapacity[:0]
	b.healthy = b.healthy[:0]
	exploratoryAttempts := b.exploratoryAttempts()
	allEjected := true
	for _, candidate := range b.ready {
		if !request.canAttempt(b.env.now, candidate, &b.env.settings) {
			continue
		}
		ejected := candidate.isEjectedFor(request)
		allEjected = allEjected && ejected
		if candidate.isFull(exploratoryAttempts) || !candidate.slowStartAllows(request) {
			continue
		}
		b.withCapacity = append(b.withCapacity, candidate)
		if !ejected {
			b.healthy = append(b.healthy, candidate)
		}
	}
	if allEjected {
		return b.withCapacity
	}
	return b.healthy
}

// preferMatching returns the servers that match, or all servers if none matches. It modifies the
// slice in place.
func preferMatching(servers []*server, matches func(*server) bool) []*server {
	if !slices.ContainsFunc(servers, matches) {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *server) bool { return !matches(s) })
}

// recordResult records the latency sample of an attempt's result. A rejection counts as a latency
// of one whole objective if the server has rejected or failed before with no answer since: such a
// rejection does not concern a single class or plan.
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

// recordAnswer records an answer's latency for its class, for its server and for overload
// detection. An answer of a warm server also counts toward attemptInterval.
func (b *balancer) recordAnswer(request *requestState, s *server, result *AttemptResult) {
	class := request.class
	objective := class.LatencyObjective
	class.latencies.record(result.Latency)
	perUnit := float64(result.Latency) / max(cmp.Or(result.ActualUnits, request.Units), 1)
	medianPerUnit := float64(class.unitLatencies.decile(medianDecile))
	if medianPerUnit > 0 {
		s.slowdown += (perUnit/medianPerUnit - 1 - s.slowdown) / slowdownSamples
	}
	class.unitLatencies.record(time.Duration(perUnit))
	b.recentLatencies.add(latencySamples, latencySample{
		b.env.now - result.Latency + latencyValidity*objective, float64(result.Latency) / float64(objective),
	})
	if s.State == Ready && s.isWarm() {
		b.warmResponses.add(responseSamples, responseSample{b.env.now, b.warmServers() / b.sharingGateways})
		expected := float64(request.expectedLatency(medianDecile))
		b.meanExpectedLatency += (expected - b.meanExpectedLatency) / float64(len(b.warmResponses.samples))
	}
}
