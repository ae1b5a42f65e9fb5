package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errTimeout         = errors.New("discovery is silent")
	errRejected        = errors.New("discovery turns the call away")
	errConnectionEnded = errors.New("the connection that the list came on has ended")
	errTooLong         = fmt.Errorf("an answer of over %d bytes", maxListBytes)
	errNotFull         = errors.New("changes in place of the whole list")
	errVersionMismatch = errors.New("discovery's version does not follow ours")
)

// connection is one connection to an agent, and is given up with it. net/http sends a call once more by itself if a connection
// that it kept ends as the call begins; a watch sent so from our version to an agent that started anew, in a lower one,
// would be held, or told that there is nothing new. Harm: an agent that ends its connections and doesn't say so is
// asked for whole lists alone. One that does say so is dialed again, and found out by its version.
type connection struct {
	http.Client
	hasDialed atomic.Bool
}

func (w *Watcher) newConnection() *connection {
	c := &connection{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c.hasDialed.Swap(true) {
			return nil, errConnectionEnded
		}
		return w.dial(ctx, network, addr)
	}
	c.Transport = &http.Transport{MaxConnsPerHost: 1, DialContext: dial}
	c.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // nobody but the agent tells us lists: it counts as turned away
	}
	return c
}

func (c *connection) close() { c.CloseIdleConnections() }

// get calls once, over the whole answer for at most so long. A call that fails so has lost its connection too.
func (c *connection) get(ctx context.Context, url string, most time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	status, body, err := c.fetch(ctx, url)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, fmt.Errorf("%w: %w", errTimeout, err)
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: %d %s", errRejected, status, http.StatusText(status))
	case len(body) > maxListBytes:
		return nil, errTooLong
	}
	return body, nil
}

func (c *connection) fetch(ctx context.Context, url string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Close {
		c.hasDialed.Store(false)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	return resp.StatusCode, body, err
}

// fetchFull asks for the whole list, always on a new connection. Further calls begin beside one that is left unanswered,
// each on a connection of its own, and the first good answer ends them all. Guards against an agent that is back from
// an outage while our call from before is still out, and, where lists are asked for, against giving up a call that
// waits for its turn at a discovery that is overbooked: it costs that its turn all the same, what it is answered a
// moment later counts as told, and calls given up so by all keep it overbooked.
func (s *session) fetchFull(ctx context.Context) (*endpointList, error) {
	s.connection.close()
	s.connection = s.newConnection()
	least, most, wait := minPushedStagger, maxPushedStagger, pushedListTimeout
	if !s.isPushed {
		least, most, wait = minPolledStagger, maxPolledStagger, polledListTimeout
	}
	beside := int(wait / least)
	type answer struct {
		*connection
		list *endpointList
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan answer, beside)
	var calls sync.WaitGroup
	defer func() {
		cancel()
		calls.Wait()
		close(answers)
		for a := range answers {
			a.close()
		}
	}()
	call := func(c *connection) {
		calls.Go(func() {
			got, err := s.decodeFull(c.get(ctx, s.url, wait))
			answers <- answer{c, got, err}
		})
	}
	call(s.connection)
	next := time.NewTimer(s.randomBetween(least, most))
	defer next.Stop()
	for begun, out := 1, 1; ; {
		select {
		case <-next.C:
			if begun++; begun < beside {
				next.Reset(s.randomBetween(least, most))
			}
			out++
			call(s.newConnection())
		case a := <-answers:
			out--
			// The first one's failure ends the others, which began after it, at an agent that answers at once.
			if a.err == nil || out == 0 || s.isPushed && a.connection == s.connection {
				s.connection = a.connection
				return a.list, a.err
			}
			a.close() // it may have failed by what it was told, on a connection that stands
		}
	}
}

func (s *session) decodeFull(body []byte, err error) (*endpointList, error) {
	if err != nil {
		return nil, err
	}
	received, err := s.decodeAnswer(body)
	if err == nil && !received.isFull {
		return nil, errNotFull
	}
	return received, err
}

// fetchDelta asks for what is new since our version. Changes that do not follow it are none of ours: an agent that started
// anew counts from the front, and what changed before its first is told by its whole list alone.
func (s *session) fetchDelta(ctx context.Context) (*endpointList, error) {
	wait := s.randomBetween(minWatch, maxWatch)
	if !s.isPushed {
		wait = s.randomBetween(minPolledWatch, maxPolledWatch)
	}
	body, err := s.connection.get(ctx, fmt.Sprintf("%s?since=%d&timeout_ms=%d", s.url, s.version, wait.Milliseconds()), wait+watchGrace)
	if err != nil {
		return nil, err
	}
	received, err := s.decodeAnswer(body)
	if err == nil && !received.isFull && (received.version < s.version || received.version == s.version && len(received.servers) > 0) {
		return nil, fmt.Errorf("%w: %d after %d", errVersionMismatch, received.version, s.version)
	}
	return received, err
}
