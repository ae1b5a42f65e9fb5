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

// newParallelCalls returns a parallelCalls without calls. At most maxCalls calls may be started.
func newParallelCalls(
	ctx context.Context, fetch func(context.Context, *connection) (*endpointList, error), maxCalls int,
) *parallelCalls {
	p := &parallelCalls{fetch: fetch, results: make(chan fullListResult, maxCalls)}
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
// further calls, because an agent that recovers from an outage may never answer a call that it
// received before. The earlier calls stay open, because canceling a call would lose its turn at an
// overloaded discovery. The first valid answer cancels the other calls.
func (s *session) fetchFull(ctx context.Context) (*endpointList, error) {
	s.connection.close()
	s.connection = newConnection(s.watcher.dial)
	maxCalls := s.timing.maxCalls()
	calls := newParallelCalls(ctx, s.fetchFullOn, maxCalls)
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
			if started < maxCalls {
				staggerTimer.Reset(s.drawStagger())
			}
			pending++
			calls.start(newConnection(s.watcher.dial))
		case result := <-calls.results:
			pending--
			// If the first call to a notified agent fails, the others are canceled, because such an
			// agent would answer a new call as soon as the pending ones.
			endsAllCalls := !s.agent.isPolled && result.connection == s.connection
			if result.err == nil || pending == 0 || endsAllCalls {
				s.connection = result.connection
				return result.list, result.err
			}
			result.connection.close() // a malformed answer leaves its connection open
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
