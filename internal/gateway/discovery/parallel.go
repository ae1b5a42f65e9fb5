package discovery

import (
	"context"
	"sync"
	"time"
)

// parallelCalls are calls for the full list that are out at once, each on a connection of its own.
type parallelCalls struct {
	fetch   func(ctx context.Context, c *connection) (*endpointList, error)
	ctx     context.Context // ends with stop
	cancel  context.CancelFunc
	running sync.WaitGroup
	answers chan fullAnswer // has room for all
}

// fullAnswer is how a call for the full list ended.
type fullAnswer struct {
	connection *connection
	list       *endpointList
	err        error
}

func (p *parallelCalls) start(c *connection) {
	p.running.Go(func() {
		list, err := p.fetch(p.ctx, c)
		p.answers <- fullAnswer{c, list, err}
	})
}

// stop ends the calls that are out, and closes all connections but those of answers that were taken.
func (p *parallelCalls) stop() {
	p.cancel()
	p.running.Wait()
	close(p.answers)
	for answer := range p.answers {
		answer.connection.close()
	}
}

// fetchFull requests the full list, always on a new connection. Further calls begin in parallel to one that is not answered,
// and the first good answer ends them all. This guards against an agent that is back from an outage while our call from
// before is still out, and, where discovery is polled, against giving up a call that waits for its turn at a discovery that
// is overbooked: the turn is used all the same, what it answers a moment later counts as known, and calls given up so by
// all gateways would go on overbooking it.
func (s *session) fetchFull(ctx context.Context) (*endpointList, error) {
	s.connection.close()
	s.connection = newConnection(s.watcher.dial)
	limit := int(s.timing.listTimeout / s.timing.minStagger)
	calls := &parallelCalls{fetch: s.fetchFullOn, answers: make(chan fullAnswer, limit)}
	calls.ctx, calls.cancel = context.WithCancel(ctx)
	defer calls.stop()
	calls.start(s.connection)
	next := time.NewTimer(s.stagger())
	defer next.Stop()
	for begun, pending := 1, 1; ; {
		select {
		case <-next.C:
			if begun++; begun < limit {
				next.Reset(s.stagger())
			}
			pending++
			calls.start(newConnection(s.watcher.dial))
		case answer := <-calls.answers:
			pending--
			// Where the agent is notified it answers at once: a failure of the first call ends the others, which began later.
			isDecisive := !s.agent.isPolled && answer.connection == s.connection
			if answer.err == nil || pending == 0 || isDecisive {
				s.connection = answer.connection
				return answer.list, answer.err
			}
			answer.connection.close() // it may have failed by its answer, on a connection that stands
		}
	}
}

// stagger draws the time until the next parallel call.
func (s *session) stagger() time.Duration {
	return s.watcher.randomBetween(s.timing.minStagger, s.timing.maxStagger)
}

func (s *session) fetchFullOn(ctx context.Context, c *connection) (*endpointList, error) {
	body, err := c.get(ctx, s.url(), s.timing.listTimeout)
	if err != nil {
		return nil, err
	}
	received, err := s.watcher.decoder.decodeAnswer(body)
	if err == nil && !received.isFull {
		return nil, errNotFull
	}
	return received, err
}
