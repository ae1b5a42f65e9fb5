package policy

import "time"

// balancer chooses a server for each attempt and sheds load while the servers are overloaded.
type balancer struct {
	mailbox
	env       *environment
	lifecycle *lifecycle

	sharingGateways float64 // number of gateways that send attempts to each listed server
	serversByID     map[uint32]*server
	servers         []*server // values of serversByID; removed ones stay while attempts are in flight
	ready           []*server // servers that may get attempts, in the order in which they became ready

	recentLatencies     ring[latencySample]  // latencies by which overload is detected
	warmResponses       ring[responseSample] // latest answers of warm servers
	meanExpectedLatency float64              // mean over the requests of warmResponses, in nanoseconds

	withCapacity, healthy []*server // buffers of eligibleServers
	latencyFractions      []float64 // buffer of collectLatencyFractions
}

// classHealth holds the times at which a server last answered and last failed a class.
type classHealth struct{ lastSuccess, lastFailure eventTime }

// latest returns the time of the latest answer or failure.
func (h classHealth) latest() eventTime { return max(h.lastSuccess, h.lastFailure) }

// server is an endpoint and its record at this gateway.
type server struct {
	Endpoint
	mailbox
	env       *environment
	balancer  *balancer
	lifecycle *lifecycle

	inFlight         []*requestState
	health           []classHealth       // health by class index
	rejectedAt       []eventTime         // time of the latest rejection with no answer since, by rejectionIndex
	slowdown         float64             // mean excess of its latencies over the class medians, as a fraction
	failureScore     int                 // sum of the failure scores since the latest answer
	lastFailure      eventTime           // time of the latest failure in any class
	answeredAt       ring[time.Duration] // times of the latest answers
	lastConsideredAt time.Duration       // time of the latest slow-start decision
	loggedEjected    bool                // whether the latest log line said that it is ejected
}

// addServer adds a server without an endpoint; the caller sets it.
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

// reset discards the record of a server that has restarted, except its slowdown.
func (s *server) reset() {
	s.answeredAt = ring[time.Duration]{}
	s.failureScore = 0
	s.lastFailure = 0
	clear(s.health)
	clear(s.rejectedAt)
	s.lastConsideredAt = s.env.now
}

// rejectionIndex returns the index in rejectedAt of the request's class and plan.
func (s *server) rejectionIndex(request *requestState) int {
	return request.Class*len(s.env.settings.Plans) + request.Plan
}

// exploratoryAttempts returns the number of attempts in flight at ready servers of unknown rate.
func (b *balancer) exploratoryAttempts() int {
	count := 0
	for _, s := range b.ready {
		if !s.hasKnownRate() {
			count += len(s.inFlight)
		}
	}
	return count
}

// warmServers returns the number of ready servers that are warm and not elective.
func (b *balancer) warmServers() float64 {
	count := 0.0
	for _, s := range b.ready {
		if !s.Elective && s.isWarm() {
			count++
		}
	}
	return count
}
