package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Errors of calls. Others are those of the network.
var (
	errTimeout          = errors.New("no answer in time")
	errRejected         = errors.New("call rejected")
	errConnectionClosed = errors.New("the connection of the latest list has ended")
	errTooLong          = fmt.Errorf("answer of over %d bytes", maxListBytes)
	errNotFullList      = errors.New("changes in place of the full list")
	errVersionMismatch  = errors.New("version does not follow ours")
	errMalformed        = errors.New("an answer that is no list")
)

// dialer is net.Dialer.DialContext.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// connection is one connection to an agent, which is dialed again only where the agent announced
// its end. net/http repeats a call on a new connection if a persistent one ends as the call begins:
// an agent that restarted in a lower version would hold such a watch, or answer that nothing
// changed.
type connection struct {
	http.Client
	hasDialed atomic.Bool
}

func newConnection(dial dialer) *connection {
	c := &connection{}
	dialOnce := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c.hasDialed.Swap(true) {
			return nil, errConnectionClosed
		}
		return dial(ctx, network, addr)
	}
	c.Transport = &http.Transport{MaxConnsPerHost: 1, DialContext: dialOnce}
	c.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // only the agent gives lists: a redirect counts as rejected
	}
	return c
}

func (c *connection) close() { c.CloseIdleConnections() }

// get calls once; the timeout bounds the call with its whole answer. A call that fails has lost its
// connection too. Errors wrap errTimeout, errRejected or errTooLong, or are of the network.
func (c *connection) get(ctx context.Context, url string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // what was read is complete, or has its own error
	if response.Close {
		c.hasDialed.Store(false)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	return response.StatusCode, body, err
}
