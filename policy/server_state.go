package policy

import "time"

// balancer finds a server for each attempt, and sheds load where the servers together are too slow.
type balancer struct {
	mailbox
	env       *environment
	lifecycle *lifecycle

	sharingGateways float64 // that send attempts to each listed server
	serversByID     map[uint32]*server
	servers         []*server // the same; a removed one is dropped once none of its attempts is in flight
	ready           []*server // in the order in which they first became ready

	recentLatencies ring[latencySample]
	warmResponses   ring[responseSample]
	meanWork        float64 // of the requests behind these, as expected latency

	open, healthy []*server // space of openServers
	fractions     []float64 // space of collectFractions
}

// classHealth is when a server last served, and last failed, a class.
type classHealth struct{ lastSuccess, lastFailure eventTime }

// latest is when the server last served or failed the class.
func (h classHealth) latest() eventTime { return max(h.lastSuccess, h.lastFailure) }

// server is an endpoint, and how it has served.
type server struct {
	Endpoint
	mailbox
	env       *environment
	balancer  *balancer
	lifecycle *lifecycle

	inFlight       []*requestState
	health         []classHealth // by class
	rejectedAt     []eventTime   // by class and plan: the latest rejection with no answer since
	slowdown       float64       // how much longer than others it takes, as a part
	failureScore   int           // since the latest answer
	lastFailure    eventTime
	responses      ring[time.Duration] // when it answered
	lastConsidered time.Duration       // for an attempt, while it warms up
	ejected        bool                // as last logged
}

func (b *balancer) addServer(id uint32) *server {
	classes := len(b.env.classes)
	plans := len(b.env.settings.Plans)
	s := &server{
		env: b.env, balancer: b, lifecycle: b.lifecycle,
		health: make([]classHealth, classes), rejectedAt: make([]eventTime, classes*plans),
	}
	b.serversByID[id] = s
	b.servers = append(b.servers, s)
	return s
}

// reset forgets what was learned of a server that has started again.
func (s *server) reset() {
	s.responses = ring[time.Duration]{}
	s.failureScore = 0
	s.lastFailure = 0
	clear(s.health)
	clear(s.rejectedAt)
	s.lastConsidered = s.env.now
}

// rejectionIndex is where the server's rejections of a request's class and plan are kept.
func (s *server) rejectionIndex(request *requestState) int {
	return request.Class*len(s.env.settings.Plans) + request.Plan
}

// exploring is how many attempts are in flight at servers whose rate is not known.
func (b *balancer) exploring() int {
	n := 0
	for _, s := range b.ready {
		if !s.hasKnownRate() {
			n += len(s.inFlight)
		}
	}
	return n
}

// warmServers counts the ready servers that have all of their capacity, elective ones apart.
func (b *balancer) warmServers() float64 {
	n := 0.0
	for _, s := range b.ready {
		if !s.Elective && s.isWarm() {
			n++
		}
	}
	return n
}
