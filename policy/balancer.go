package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// fleet seats tasks: two servers drawn, one taken.
type fleet struct {
	*Gateway
	actor
	sharingGateways float64 // gateways that push to each server listed
	serversByID     map[uint32]*server
	servers         []*server // the same; the gone are forgotten once nothing is out there
	ready           []*server // ready, in the order in which they were first named
	recentLatencies ring[latencySample]
	warmResponses   ring[responseSample] // of warm servers
	meanWork        float64              // the mean of these, as the time that such tasks take
}

// applyEndpoints obeys the list at once: what it does not call ready gets nothing new from here on.
func (f *fleet) applyEndpoints(n message) {
	if n.kind == ListFailed {
		f.setTimer(timerListRetry, 0, listRetry)
		return
	}
	if n.kind == ListCached && f.settings.PollList {
		f.host.WatchEndpoints()
	}
	if n.kind != ListDelta {
		for _, s := range f.ready {
			s.State = Removed
		}
	}
	for _, l := range n.endpoints {
		s := f.serversByID[l.Server]
		if s == nil {
			s = &server{Gateway: f.Gateway, health: make([]classHealth, len(f.classes)),
				rejectedAt: make([]time.Duration, len(f.classes)*len(f.settings.Plans))}
			f.serversByID[l.Server] = s
			f.servers = append(f.servers, s)
		}
		if s.StartedAt != l.StartedAt {
			s.responses, s.failureScore, s.lastFailure = ring[time.Duration]{}, 0, 0 // a new life
			clear(s.health)
			clear(s.rejectedAt)
			s.lastConsidered = f.now
		}
		s.Endpoint = l
		if l.State == Ready && !slices.Contains(f.ready, s) {
			f.ready = append(f.ready, s)
		}
	}
	f.ready = slices.DeleteFunc(f.ready, func(s *server) bool { return s.State != Ready })
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		over := s.State == Removed && len(s.inFlight) == 0
		if over {
			delete(f.serversByID, s.Server)
		}
		return over
	})
}

func (f *fleet) warmServers() float64 {
	cold := func(s *server) bool { return s.Elective || s.warmUpFraction(s.now) < 1 }
	return float64(len(slices.DeleteFunc(slices.Clone(f.ready), cold)))
}

// attemptInterval is the time between this gateway's pushes to a warm server, by the last answers of such; these stand
// when none is left, as in a deploy. More gateways may share each server by now than did then.
func (f *fleet) attemptInterval() time.Duration {
	n := len(f.warmResponses.samples)
	if n < minRateSamples {
		return time.Duration(float64(f.settings.OverloadSpan) * f.sharingGateways)
	}
	newest, oldest := f.warmResponses.newest(0), f.warmResponses.newest(n-1)
	few := f.settings.OverloadSpan * time.Duration(responseSamples-n) / responseSamples // some answers at once are no rate
	each := float64(max(newest.at-oldest.at, few, f.settings.ClockTick)) / float64(n-1)
	return time.Duration(each * (newest.warmServers + oldest.warmServers) / 2 * f.sharingGateways)
}

// admissionProbability is the chance that a task is pushed at all: it falls as the sixth decile of the parts of their soft
// limits that pushes took lately, those still out among them, passes half of what the same law allows. It
// guards against the same queue where hundreds of gateways have a push or two out each.
func (f *fleet) admissionProbability() float64 {
	var parts []float64
	for i := range f.recentLatencies.samples {
		if t := f.recentLatencies.newest(i); i < minRateSamples || f.now < t.validUntil {
			parts = append(parts, t.objectiveFraction)
		}
	}
	for _, s := range f.servers {
		for _, request := range s.inFlight {
			if age := f.now - request.lastAttemptAt(); age < request.silenceTimeout() {
				parts = append(parts, float64(age)/float64(request.class.LatencyObjective)) // what is silent is not slow
			}
		}
	}
	if len(parts) < minRateSamples {
		return 1
	}
	slices.Sort(parts)
	free := exploreAttempts / f.sharingGateways * float64(f.attemptInterval())
	easy := (queueFraction + free/float64(f.tightestObjective)) / 2 / max(parts[len(parts)*6/10], queueFraction/latencySamples)
	return max(easy*easy, minAdmission)
}

func (f *fleet) ejectionTime() time.Duration {
	return max(minEjection, time.Duration(ejectionAttempts*float64(f.attemptInterval())))
}

// ejectionThreshold is how ill a server must be. One failure does: healthy servers hardly ever fail, and hundreds of
// gateways see no more. Two in a row where they strike everywhere, as spoilt answers do: by one each would be
// set aside in turn, and the rest overrun. Harm: a bad one then gets a push more.
func (f *fleet) ejectionThreshold() int {
	struck := 0
	for _, s := range f.ready {
		if s.lastFailure > 0 && f.now < s.lastFailure+2*f.ejectionTime() {
			struck++
		}
	}
	if float64(struck) <= max(minSuspected, suspectedFraction*float64(len(f.ready))) {
		return failureWeight
	}
	return 2 * failureWeight
}

// place seats a task, lets it wait for a server, or says that none can be had in time.
func (f *fleet) place(n message) {
	request := n.request
	if request.completed {
		return
	}
	s, wait := f.pickServer(request)
	shed := len(request.attempts) == 0 && !request.awaitedServer && f.random.Float64() >= math.Pow(min(f.admissionProbability(), 1), f.relativeCost(request))
	switch {
	case s != nil && (!shed || s.warmUpFraction(s.now) < 1): // a turn there comes seldom enough
		f.send(&s.actor, message{handle: s.startAttempt, request: request})
	case !shed && f.now < wait:
		request.awaitedServer = true
		f.setTimer(timerPlacement, request.ID, placementRetry)
	default:
		f.send(&f.lifecycle.actor, message{handle: f.lifecycle.complete, request: request, retryAfter: f.capacityWait()})
	}
}

// relativeCost is how much less a task gains for its work than all lanes and plans on the mean: the power of the
// chance that it is pushed while the fleet is pressed. Work is the lane's answer time a unit. Harm: lanes and
// plans that gain little are served least when there is too little for all.
func (f *fleet) relativeCost(request *requestState) float64 {
	own, sum, n := 0.0, 0.0, 0.0
	for i, r := range f.classes {
		for k, p := range f.settings.Plans {
			if pace := r.unitLatency(); pace > 0 && !r.Retired && !p.Retired {
				gain := max(r.Weight*cmp.Or(p.Price, 1), minWeight) / float64(pace)
				if sum, n = sum+gain, n+1; i == request.Class && k == request.Plan {
					own = gain
				}
			}
		}
	}
	if own == 0 {
		return 1
	}
	return sum / n / own
}

// capacityWait is how long a task waits for a server, and is told to stay away if it finds none or its pushes fail.
func (f *fleet) capacityWait() time.Duration {
	return time.Duration(capacityWaitFraction * float64(f.tightestObjective))
}

// pickServer draws two servers at random and takes the one that our own counts favour, or says how long to wait.
func (f *fleet) pickServer(request *requestState) (*server, time.Duration) {
	strange := 0
	for _, s := range f.ready {
		if len(s.responses.samples) < minRateSamples {
			strange += len(s.inFlight)
		}
	}
	var well, open []*server
	sound := false
	for _, s := range f.ready {
		if push, _ := request.permits(f.now, s, &f.settings); !push {
			continue
		}
		sick := s.isEjectedFor(request)
		sound = sound || !sick
		if s.isFull(strange) || !s.slowStartAllows(request) {
			continue
		}
		open = append(open, s)
		if !sick {
			well = append(well, s)
		}
	}
	// What strikes every server is no reason to prefer any: a trouble of the whole fleet must not shut it.
	if !sound {
		well = open
	}
	// A further push goes elsewhere if it can.
	if fresh := slices.DeleteFunc(slices.Clone(well), func(s *server) bool {
		return slices.ContainsFunc(request.attempts, func(p attempt) bool { return p.server == s })
	}); len(fresh) > 0 {
		well = fresh
	}
	well = f.preferOwned(request, well)
	// A cold server has its turn now or not at all.
	warm := func(s *server) bool { return s.warmUpFraction(s.now) >= 1 }
	if turn := slices.DeleteFunc(slices.Clone(well), warm); len(turn) > 0 {
		well = turn
	}
	switch {
	case len(f.ready) == 0:
		return nil, request.objectiveAt
	case len(well) == 0:
		return nil, request.objectiveAt - request.class.LatencyObjective + f.capacityWait()
	}
	f.random.Shuffle(len(well), func(i, k int) { well[i], well[k] = well[k], well[i] })
	two := well[:min(len(well), 2)]
	return slices.MinFunc(two, func(a, b *server) int { return cmp.Compare(a.loadScore(), b.loadScore()) }), 0
}

// recordResult takes a sample of an outcome for the fleet as a whole. Turned away counts as slow.
func (f *fleet) recordResult(n message) {
	soft, s := n.request.class.LatencyObjective, n.request.attempts[n.result.Attempt].server
	switch n.result.Outcome {
	case Rejected:
		if s.failureScore > 1 { // no answer to anyone between two: no mere quarrel with a lane or a plan
			f.recentLatencies.add(latencySamples, latencySample{f.now + soft, 1})
		}
	case Answered:
		n.request.class.latencies.add(latencySamples, n.result.Latency)
		n.request.class.sortedLatencies = slices.Sorted(slices.Values(n.request.class.latencies.samples))
		each, pace := float64(n.result.Latency)/max(cmp.Or(n.result.ActualUnits, n.request.Units), 1), float64(n.request.class.unitLatency())
		if pace > 0 {
			s.slowdown += (each/pace - 1 - s.slowdown) / slowdownSamples
		}
		n.request.class.unitLatencies.add(latencySamples, time.Duration(each))
		n.request.class.sortedUnitLatencies = slices.Sorted(slices.Values(n.request.class.unitLatencies.samples))
		f.recentLatencies.add(latencySamples, latencySample{f.now - n.result.Latency + 2*soft, float64(n.result.Latency) / float64(soft)})
		if s.State == Ready && s.warmUpFraction(f.now) >= 1 {
			f.warmResponses.add(responseSamples, responseSample{at: f.now, warmServers: f.warmServers() / f.sharingGateways})
			f.meanWork += (float64(n.request.expectedLatency(5)) - f.meanWork) / float64(len(f.warmResponses.samples))
		}
	}
}
