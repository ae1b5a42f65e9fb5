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
	results chan fullListResult // has room for all
}

// fullAnswer is how a call for the full list ended.
type fullListResult struct {
	connection *connection
	list       *endpointList
	err        error
}

func newParallelCalls(
	ctx context.Context, fetch func(context.Context, *connection) (*endpointList, error), limit int,
) *parallelCalls {
	p := &parallelCalls{fetch: fetch, results: make(chan fullListResult, limit)}
	p.ctx, p.cancel = context.WithCancel(ctx)
	return p
}

func (p *parallelCalls) start(c *connection) {
	p.running.Go(func() {
		list, err := p.fetch(p.ctx, c)
		p.results <- fullListResult{c, list, err}
	})
}

// stop ends the calls that are out, and closes all connections but those of answers that were
// taken.
func (p *parallelCalls) stop() {
	p.cancel()
	p.running.Wait()
	close(p.results)
	for answer := range p.results {
		answer.connection.close()
	}
}

// fetchFull requests the full list, always on a new connection. Beside a call that is not answered
// further ones begin, as an agent that is back from an outage may still hold it; it stays open, as
// giving it up would lose its turn at an overbooked discovery. The first good answer ends them all.
func (s *session) fetchFull(ctx context.Context) (*endpointList, error) {
	s.connection.close()
	s.connection = newConnection(s.watcher.dial)
	limit := s.timing.maxCalls()
	calls := newParallelCalls(ctx, s.fetchFullOn, limit)
	defer calls.stop()
	calls.start(s.connection)
	next := time.NewTimer(s.drawStagger())
	defer next.Stop()
	started := 1
	pending := 1
	for {
		select {
		case <-next.C:
			started++
			if started < limit {
				next.Reset(s.drawStagger())
			}
			pending++
			calls.start(newConnection(s.watcher.dial))
		case answer := <-calls.results:
			pending--
			// A notified agent answers at once: a failure of the first call ends the others.
			endsAllCalls := !s.agent.isPolled && answer.connection == s.connection
			if answer.err == nil || pending == 0 || endsAllCalls {
				s.connection = answer.connection
				return answer.list, answer.err
			}
			answer.connection.close() // it is open still where only the answer was malformed
		}
	}
}

// stagger draws the time until another call begins beside those that are not answered.
func (s *session) drawStagger() time.Duration {
	return s.watcher.randomBetween(s.timing.minStagger, s.timing.maxStagger)
}

func (s *session) fetchFullOn(ctx context.Context, c *connection) (*endpointList, error) {
	body, err := c.get(ctx, s.listURL(), s.timing.listTimeout)
	if err != nil {
		return nil, err
	}
	received, err := s.watcher.decoder.decodeAnswer(body)
	if err == nil && !received.isFull {
		return nil, errNotFullList
	}
	return received, err
}
