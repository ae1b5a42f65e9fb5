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

// Errors that a call can return, apart from errors of the network.
var (
	errTimeout          = errors.New("call timed out")
	errRejected         = errors.New("call rejected")
	errConnectionClosed = errors.New("connection that delivered the latest list is closed")
	errTooLong          = fmt.Errorf("answer exceeds %d bytes", maxListBytes)
	errNotFullList      = errors.New("full list requested, but the answer contains only changes")
	errVersionMismatch  = errors.New("answer's version does not follow the version in force")
	errMalformed        = errors.New("an answer that is no list")
)

// dialer opens a connection, as net.Dialer.DialContext does.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// connection is an HTTP client that is bound to one connection to an agent. It dials again only if
// the agent announced that it closes the connection after its answer. By default, net/http retries
// a call on a new connection if the persistent connection is closed while the call is being sent.
// After a restart the agent may have a lower version. It would then hold a retried watch open, or
// answer that nothing has changed.
type connection struct {
	http.Client
	hasDialed atomic.Bool // a further dial fails with errConnectionClosed
}

func newConnection(dial dialer) *connection {
	c := &connection{}
	dialOnce := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if c.hasDialed.Swap(true) {
			return nil, errConnectionClosed
		}
		return dial(ctx, network, addr)
	}
	c.Transport = &http.Transport{
		MaxConnsPerHost: 1, DialContext: dialOnce, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // only the agent serves lists, so a redirect counts as a rejection
	}
	return c
}

func (c *connection) close() { c.CloseIdleConnections() }

// get sends one GET request and returns the body of the answer. The timeout covers the request and
// the complete answer. A call that times out or fails in the network also loses its connection.
// Errors wrap errTimeout, errRejected or errTooLong, or come from the network.
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
	defer func() { _ = response.Body.Close() }() // an incomplete body is reported by ReadAll
	if response.Close {
		c.hasDialed.Store(false)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	return response.StatusCode, body, err
}
