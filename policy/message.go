package policy

import (
	"fmt"
	"time"
)

// message is one of the types below, each of which goes to one kind of actor, attemptEnded to
// three.
type message any

// To admission.
type (
	checkQuota   struct{ request *requestState }
	countArrived struct{ result CountResult }
	settleUnits  struct { // the request, or its one answer, is over
		request *requestState
		units   float64 // that it took
	}
)

// To the balancer.
type (
	endpointsArrived struct {
		kind      ListKind
		endpoints []Endpoint
	}
	placeRequest struct{ request *requestState }
)

// To a server.
type startAttempt struct{ request *requestState }

// To the server, which passes it on to balancer and lifecycle.
type attemptEnded struct {
	request *requestState
	result  AttemptResult
}

// To the lifecycle.
type (
	clientDisconnected struct{ request *requestState }
	completeRequest    struct { // with no answer of a server
		request    *requestState
		retryAfter time.Duration
	}
)

func (a *admission) receive(m message) {
	switch m := m.(type) {
	case checkQuota:
		a.check(m.request)
	case *countArrived:
		a.handleCount(&m.result)
	case *settleUnits:
		a.settle(m.request, m.units)
	default:
		panic(unexpected(m))
	}
}

func (b *balancer) receive(m message) {
	switch m := m.(type) {
	case *endpointsArrived:
		b.applyEndpoints(m.kind, m.endpoints)
	case placeRequest:
		b.place(m.request)
	case *attemptEnded:
		b.recordResult(m.request, &m.result)
	default:
		panic(unexpected(m))
	}
}

func (s *server) receive(m message) {
	switch m := m.(type) {
	case startAttempt:
		s.startAttempt(m.request)
	case *attemptEnded:
		s.handleResult(m)
	default:
		panic(unexpected(m))
	}
}

func (l *lifecycle) receive(m message) {
	switch m := m.(type) {
	case clientDisconnected:
		l.handleDisconnect(m.request)
	case *attemptEnded:
		l.followUp(m.request, &m.result)
	case *completeRequest:
		l.complete(m.request, m.retryAfter)
	default:
		panic(unexpected(m))
	}
}

// unexpected says which message came to an actor that does not handle it: a fault of this package.
func unexpected(m message) string {
	return fmt.Sprintf("policy: a message of type %T has the wrong receiver", m)
}
