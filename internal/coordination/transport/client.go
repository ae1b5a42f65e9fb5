package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Client makes calls to voters, on few connections that are used again. It owns them. All calls may be made by several
// goroutines at once; none repeats itself.
type Client struct {
	http http.Client
}

// NewClient makes a client that opens at most so many connections to each voter.
func NewClient(network Network, each int) *Client {
	return &Client{http.Client{
		Transport: &http.Transport{DialContext: network.dialer(), MaxConnsPerHost: each, MaxIdleConnsPerHost: each,
			IdleConnTimeout:    idleTimeout / 2, // before the other end closes it: a call sent into a closing one is lost
			DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes connections that no call is on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends a body and takes the answer, both where there are any.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, address, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body []byte
	if request != nil {
		var err error
		if body, err = encoding.Marshal(request); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.GetBody = nil // the client's own second try of a call: a proposal would be repeated unseen
	r.Header.Set(headerChecksum, checksum(body))
	r.Header.Set("User-Agent", "") // short
	response, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, response.Body, 1<<10) // so that the connection can be used again
		_ = response.Body.Close()
	}()
	switch {
	case response.StatusCode == http.StatusNoContent && result == nil:
		return nil
	case response.StatusCode != http.StatusOK || result == nil:
		why, _ := io.ReadAll(io.LimitReader(response.Body, 200))
		return fmt.Errorf("%s%s: status %d: %s", address, path, response.StatusCode, bytes.TrimSpace(why))
	}
	return readBody(response.Body, response.ContentLength, maxBodyBytes, response.Header.Get(headerChecksum), result)
}

// Info asks a voter what it is. It may be repeated.
func (c *Client) Info(ctx context.Context, address string) (VoterInfo, error) {
	var info VoterInfo
	err := c.call(ctx, dialTimeout+responseGrace, http.MethodGet, address, pathInfo, nil, &info)
	return info, err
}

// Digests tells a voter what processes saw. It may be repeated.
func (c *Client) Digests(ctx context.Context, address string, digests []observation.Digest) error {
	return c.call(ctx, dialTimeout+responseGrace, http.MethodPost, address, pathDigests, digests, nil)
}

// Read is cluster.Voter's, of the voter at an address, with the mark of the tables' beginning. It may be repeated.
func (c *Client) Read(ctx context.Context, address string, known map[string]uint64, wait time.Duration) (
	found map[string]statemachine.Table, group []byte, err error) {
	var response Response
	if err := c.call(ctx, wait+responseGrace, http.MethodPost, address, pathRead, ReadRequest{known, wait}, &response); err != nil {
		return nil, nil, err
	}
	return response.Tables, response.GroupID, decodeError(response.Error)
}

// Propose is cluster.Voter's, of the voter at an address. After an error other than cluster.ErrNotLeader the command
// may be written all the same: it may be proposed again under the same number, and under no other.
func (c *Client) Propose(ctx context.Context, address string, command statemachine.Command) (statemachine.Result, error) {
	var response Response
	if err := c.call(ctx, proposeTimeout+responseGrace, http.MethodPost, address, pathPropose, command, &response); err != nil {
		return statemachine.Result{}, err
	}
	return response.Result, decodeError(response.Error)
}
