// Package policy is the whole of a gateway's decisions. A gateway makes one with New, hands it each event by
// a call with the time now, and carries out what that asks of its Host (host.go) within the call.
// Each call drops a note at the door; one loop empties the inboxes until none holds a note. A task's way is:
// door, quota desk (the count says push or reject), fleet (two servers drawn, one taken), server (pushes),
// course (what follows an outcome, the final answer). Parts may read others' figures; only notes change them.
package policy

import (
	"math/rand"
	"time"
)

const (
	maxCounterTTL           = 60 * time.Second       // the longest that the counter keeps a name
	maxChargeAge            = time.Minute            // a charge that waited longer is dropped, as the design says
	minWindow               = time.Second            // shorter windows would change within the time that an answer takes
	inFlightWindow          = 2 * time.Second        // of a count of pushes out: what is lost of it stays no longer
	burstFillsPerWindow     = 2.0                    // a window lasts as long as a burst takes to fill so often
	counterWaitFraction     = 0.25                   // part of the soft limit that a check may take
	blockedFraction         = 0.25                   // part of an answer's time that a limit reached stays so
	demandDecay             = 20 * time.Second       // how far back own tries tell what a customer asks
	minWeight               = 1e-3                   // of a task, where lane or plan gain nothing
	maxUsageReports         = 8.0                    // words of a meter that count: each tells of a moment
	guessedInFlightFraction = 0.07                   // part of a limit on pushes out that may be used on a guess
	callBackoff             = 0.75                   // a failed call makes the next this much less likely
	callRecovery            = 0.01                   // quick answers make it more likely, each in a row by so much more
	maxFastAnswers          = 25                     // so many of them end a pause; at rest one call in nine fails
	fullNeedGateways        = 16.0                   // gateways in a set for which its power is 1 whatever the store holds
	requiredDecile          = 8                      // the decile of answer times that a try must be given
	minCallProbability      = 0.05                   // the least chance of a call: a lost counter is found again in a second
	sparseRequests          = 2.0                    // tasks a window under which a gateway learns too little of a customer
	sparseRampFactor        = 4.0                    // so many answer times' units, a thin customer's last, go by lot
	maxRetries              = 2                      // further pushes of a task while no overload is seen: the users' way
	latencySamples          = 64                     // samples kept of a lane or the fleet: enough for a ninth decile
	responseSamples         = 128                    // answers of warm servers kept to tell the load that they bear
	failureWeight           = 3                      // a failure counts so much, turned away 1: less in a row may be chance
	suspectedFraction       = 0.25                   // where more of the ready servers failed lately, one tells little
	minSuspected            = 2.0                    // and more than so many: these may all be bad
	minEjection             = time.Second            // a server set aside is left alone so long at least
	ejectionAttempts        = 4.0                    // and for so many of our usual pushes to one: a fifth of its part
	silenceFactor           = 4                      // a push out this many ninth deciles with no answer since means silence
	minSilence              = 500 * time.Millisecond // and at least this, against one heavy task
	placementRetry          = 20 * time.Millisecond  // how often tasks that wait for a server look again
	listRetry               = 500 * time.Millisecond // pause before asking for a list again
	rateSamples             = 16                     // answers kept a server to tell its rate
	minAdmission            = 0.1                    // part of the tasks that is pushed at any push times: to learn better
	slowdownSamples         = 8.0                    // answers of a server that tell how much longer it takes than others
	exploreAttempts         = 2.0                    // pushes of all gateways at a server beyond its rate: to find a higher
	minRateSamples          = 4                      // answers of a server that tell its rate
	queueFraction           = 0.3                    // part of the tightest soft limit that a push may spend at a server
	capacityWaitFraction    = 0.25                   // part of the tightest soft limit that a task waits for a full server
	crossZonePenalty        = 0.25                   // a server in another hall counts as this much fuller: ties stay near
)

// Gateway is one instance.
type Gateway struct {
	settings          Settings
	host              Host
	random            *rand.Rand
	now               time.Duration
	standstill        time.Duration // from the event before to the latest: we may have stood still so long
	runnable          []*actor      // parts with notes, in the order of their first note
	classes           []classState
	tightestObjective time.Duration            // the shortest soft limit of all lanes
	requests          map[uint32]*requestState // tasks that are not over, or still have pushes out
	startedAt         time.Duration            // of the first list
	admission         admission
	balancer          fleet
	lifecycle         lifecycle
}

// New makes a gateway with no memory of an earlier life. It asks nothing of the host yet.
func New(settings Settings, seed int64, host Host) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{host: host, random: rand.New(rand.NewSource(seed)), requests: map[uint32]*requestState{}}
	g.applySettings(settings)
	g.admission = admission{Gateway: g, customers: map[uint64]*customerState{}, calls: map[uint64][]counterCall{}, callProbability: 1, acceptedFraction: 1}
	g.balancer = fleet{Gateway: g, sharingGateways: float64(settings.Gateways), serversByID: map[uint32]*server{}}
	g.lifecycle = lifecycle{Gateway: g}
	return g, nil
}

func (g *Gateway) send(to *actor, n message) {
	if to.mailbox = append(to.mailbox, n); len(to.mailbox) == 1 {
		g.runnable = append(g.runnable, to)
	}
}

// deliver is the one loop that empties the inboxes.
func (g *Gateway) deliver() {
	for len(g.runnable) > 0 {
		p := g.runnable[0]
		g.runnable = g.runnable[1:]
		notes := p.mailbox
		p.mailbox = nil
		for _, n := range notes {
			n.handle(n)
		}
	}
}

const ( // the kinds of token, in the low bits; the rest is the task's id
	timerDeadline = iota
	timerCounterWait
	timerPlacement
	timerListRetry
	timerKinds
)

func (g *Gateway) setTimer(kind uint64, id uint32, after time.Duration) {
	g.host.SetTimer(uint64(id)*timerKinds+kind, max(after, 0))
}

// advanceClock moves the clock to an event's time.
func (g *Gateway) advanceClock(now time.Duration) {
	if now > g.now {
		g.standstill, g.now = now-g.now, now
	}
}

// dispatch drops an event's note at the door and lets the parts work.
func (g *Gateway) dispatch(now time.Duration, to *actor, n message) {
	g.advanceClock(now)
	g.send(to, n)
	g.deliver()
}

// HandleEndpoints takes what the list of servers brings.
func (g *Gateway) HandleEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if g.startedAt == 0 {
		g.startedAt = now
	}
	g.dispatch(now, &g.balancer.actor, message{handle: g.balancer.applyEndpoints, kind: kind, endpoints: list})
}

// SetSharers tells how many gateways push to each server listed, where each has but a part of them all.
func (g *Gateway) SetSharers(by float64) { g.balancer.sharingGateways = max(by, 1) }

// HandleRequest takes a task; from here on it is owed one final answer.
func (g *Gateway) HandleRequest(now time.Duration, r Request) {
	g.advanceClock(now)
	row := &g.classes[r.Class]
	request := &requestState{Request: r, objectiveAt: min(now+row.LatencyObjective, r.Deadline), class: row, customer: g.admission.customerOf(r)}
	g.requests[r.ID] = request
	// A task given less time than first tries of its lane and plan has used up some of its soft limit: a repeat
	// has what its earlier tries left, a first one what our standstill left. What is late is rejected. What
	// lacks beyond our standstill is the client's own: it is not late.
	given, usual := r.Deadline-now, &row.firstTimeouts[r.Plan]
	if !r.Repeat && (given > *usual || *usual-given > g.standstill+g.settings.ArrivalSlack) {
		*usual = given
	}
	if *usual-given > g.settings.ArrivalSlack {
		from := *usual
		if r.Repeat {
			from = row.Timeout
		}
		request.objectiveAt = min(r.Deadline-from+row.LatencyObjective, r.Deadline)
	}
	// A little before the client leaves: a tick may be late, and a later answer would be none.
	g.setTimer(timerDeadline, r.ID, r.Deadline-now-2*g.settings.ClockTick)
	g.dispatch(now, &g.admission.actor, message{handle: g.admission.admit, request: request})
}

// HandleAttemptResult takes the outcome of a push.
func (g *Gateway) HandleAttemptResult(now time.Duration, p AttemptResult) {
	if request := g.requests[p.RequestID]; request != nil && p.Attempt < len(request.attempts) && !request.attempts[p.Attempt].ended {
		s := request.attempts[p.Attempt].server
		g.dispatch(now, &s.actor, message{handle: s.handleResult, request: request, result: p})
	}
}

// HandleStreamStart tells that a streamed answer has started: the task has no time limit then.
func (g *Gateway) HandleStreamStart(_ time.Duration, task uint32, _ int) {
	if request := g.requests[task]; request != nil {
		request.streaming = true
	}
}

// HandleDisconnect tells that the client has gone.
func (g *Gateway) HandleDisconnect(now time.Duration, task uint32) {
	if request := g.requests[task]; request != nil {
		g.dispatch(now, &g.lifecycle.actor, message{handle: g.lifecycle.handleDisconnect, request: request})
	}
}

// HandleTimer takes a timer.
func (g *Gateway) HandleTimer(now time.Duration, token uint64) {
	request := g.requests[uint32(token/timerKinds)]
	switch kind := token % timerKinds; {
	case kind == timerListRetry:
		g.host.WatchEndpoints()
	case request == nil:
	case kind == timerCounterWait:
		g.dispatch(now, &g.admission.actor, message{handle: g.admission.admit, request: request})
	case kind == timerPlacement:
		g.dispatch(now, &g.balancer.actor, message{handle: g.balancer.place, request: request})
	case !request.streaming:
		g.dispatch(now, &g.lifecycle.actor, message{handle: g.lifecycle.complete, request: request})
	}
}

// HandleCount takes the counter's answer to a call.
func (g *Gateway) HandleCount(now time.Duration, t CountResult) {
	g.dispatch(now, &g.admission.actor, message{handle: g.admission.handleCount, count: t})
}

// HandleHealthCheck takes the answer to a probe. No probes are sent yet.
func (g *Gateway) HandleHealthCheck(time.Duration, uint32, Outcome, time.Duration, []float32) {}

// HandlePeerMessage takes a peer's message. Peers are not listened to: gateways learn of each other from the counter.
func (g *Gateway) HandlePeerMessage(time.Duration, int, []byte) {}

// classPlanIndex numbers a task's lane and plan.
func (g *Gateway) classPlanIndex(request *requestState) int {
	return request.Class*len(g.settings.Plans) + request.Plan
}
