package policy

import (
	"fmt"
	"time"
)

// message is one of the types below. Each type goes to one kind of actor, except attemptEnded,
// which goes to three.
type message any

// Messages to admission.
type (
	checkQuota   struct{ request *requestState }
	countArrived struct{ result CountResult }
	releaseQuota struct { // a request was answered or released
		request *requestState
		units   float64 // units that it took
	}
)

// Messages to the balancer.
type (
	endpointsArrived struct {
		kind      ListKind
		endpoints []Endpoint
	}
	placeRequest struct{ request *requestState }
)

// startAttempt is a message to a server.
type startAttempt struct{ request *requestState }

// attemptEnded is a message to a server, which forwards it to the balancer and the lifecycle.
type attemptEnded struct {
	request *requestState
	result  AttemptResult
}

// Messages to the lifecycle.
type (
	clientDisconnected struct{ request *requestState }
	completeRequest    struct { // sends the final answer without a server's answer
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
	case *releaseQuota:
		a.releaseQuota(m.request, m.units)
	default:
		panic(unexpectedMessage(m))
	}
}

func (b *balancer) receive(m message) {
	switch m := m.(type) {
	case *endpointsArrived:
		b.applyEndpoints(m.kind, m.endpoints)
	case placeRequest:
		b.placeRequest(m.request)
	case *attemptEnded:
		b.recordResult(m.request, &m.result)
	default:
		panic(unexpectedMessage(m))
	}
}

func (s *server) receive(m message) {
	switch m := m.(type) {
	case startAttempt:
		s.startAttempt(m.request)
	case *attemptEnded:
		s.handleResult(m)
	default:
		panic(unexpectedMessage(m))
	}
}

func (l *lifecycle) receive(m message) {
	switch m := m.(type) {
	case clientDisconnected:
		l.handleDisconnect(m.request)
	case *attemptEnded:
		l.handleAttemptResult(m.request, &m.result)
	case *completeRequest:
		l.complete(m.request, m.retryAfter)
	default:
		panic(unexpectedMessage(m))
	}
}

// unexpectedMessage describes a message to an actor that does not handle its type, which is a bug
// in this package.
func unexpectedMessage(m message) string {
	return fmt.Sprintf("policy: message of type %T sent to an actor that does not handle it", m)
}
