package discovery

import (
	"context"
	"sync"
	"time"
)

// parallelCalls runs calls for the full list in parallel, each on its own connection.
type parallelCalls struct {
	fetch   func(ctx context.Context, c *connection) (*endpointList, error)
	ctx     context.Context // context of the calls; stop cancels it
	cancel  context.CancelFunc
	running sync.WaitGroup
	results chan fullListResult // buffered for all calls, so that no call blocks when it ends
}

// fullListResult is the result of a call for the full list.
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

// stop cancels the pending calls, waits until they have returned, and closes the connections whose
// results have not been received. No call may be started afterwards.
func (p *parallelCalls) stop() {
	p.cancel()
	p.running.Wait()
	close(p.results)
	for result := range p.results {
		result.connection.close()
	}
}

// fetchFull requests the full list, always on a new connection. While a call is pending it starts
// further ones, because an agent that recovers from an outage may still hold an earlier one
// without answering. The earlier calls stay open, because canceling one would lose its turn at an
// overloaded discovery. The first valid answer cancels the other calls.
func (s *session) fetchFull(ctx context.Context) (*endpointList, error) {
	s.connection.close()
	s.connection = newConnection(s.watcher.dial)
	limit := s.timing.maxCalls()
	calls := newParallelCalls(ctx, s.fetchFullOn, limit)
	defer calls.stop()
	calls.start(s.connection)
	staggerTimer := time.NewTimer(s.drawStagger())
	defer staggerTimer.Stop()
	started := 1
	pending := 1
	for {
		select {
		case <-staggerTimer.C:
			started++
			if started < limit {
				staggerTimer.Reset(s.drawStagger())
			}
			pending++
			calls.start(newConnection(s.watcher.dial))
		case result := <-calls.results:
			pending--
			// A notified agent answers immediately, so a failure of the first call ends the others.
			endsAllCalls := !s.agent.isPolled && result.connection == s.connection
			if result.err == nil || pending == 0 || endsAllCalls {
				s.connection = result.connection
				return result.list, result.err
			}
			result.connection.close() // it is still open if only the answer was malformed
		}
	}
}

// drawStagger returns a random delay before the next parallel call.
func (s *session) drawStagger() time.Duration {
	return s.watcher.randomBetween(s.timing.minStagger, s.timing.maxStagger)
}

// fetchFullOn requests the full list on a connection. It returns errNotFullList if the answer
// contains only changes.
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
