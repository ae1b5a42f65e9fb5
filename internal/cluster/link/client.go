package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
)

// Client makes calls to voters, on few connections that are used again. It owns them. All calls may be made by several
// goroutines at once; none repeats itself.
type Client struct {
	http http.Client
}

// NewClient makes a client that opens at most so many connections to each voter.
func NewClient(plain Plain, each int) *Client {
	return &Client{http.Client{
		Transport: &http.Transport{DialContext: plain.dialer(), MaxConnsPerHost: each, MaxIdleConnsPerHost: each,
			IdleConnTimeout:    idleMost / 2, // before the other end closes it: a call sent into a closing one is lost
			DisableCompression: true, MaxResponseHeaderBytes: headMost},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes connections that no call is on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends a body and takes the answer, both where there are any.
func (c *Client) call(ctx context.Context, within time.Duration, method, address, path string, ask, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var text []byte
	if ask != nil {
		var err error
		if text, err = encoding.Marshal(ask); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.GetBody = nil // the client's own second try of a call: a proposal would be repeated unseen
	r.Header.Set(headerSum, sum(text))
	r.Header.Set("User-Agent", "") // short
	got, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() {
		_, _ = io.CopyN(io.Discard, got.Body, 1<<10) // so that the connection can be used again
		_ = got.Body.Close()
	}()
	switch {
	case got.StatusCode == http.StatusNoContent && answer == nil:
		return nil
	case got.StatusCode != http.StatusOK || answer == nil:
		why, _ := io.ReadAll(io.LimitReader(got.Body, 200))
		return fmt.Errorf("%s%s: status %d: %s", address, path, got.StatusCode, bytes.TrimSpace(why))
	}
	return take(got.Body, got.ContentLength, bodyMost, got.Header.Get(headerSum), answer)
}

// Standing asks a voter what it is. It may be repeated.
func (c *Client) Standing(ctx context.Context, address string) (Standing, error) {
	var s Standing
	err := c.call(ctx, dialWithin+slack, http.MethodGet, address, pathStanding, nil, &s)
	return s, err
}

// Digests tells a voter what processes saw. It may be repeated.
func (c *Client) Digests(ctx context.Context, address string, all []evidence.Digest) error {
	return c.call(ctx, dialWithin+slack, http.MethodPost, address, pathDigests, all, nil)
}

// Read is cluster.Voter's, of the voter at an address, with the mark of the tables' beginning. It may be repeated.
func (c *Client) Read(ctx context.Context, address string, known map[string]uint64, wait time.Duration) (
	found map[string]tables.Entry, group []byte, err error) {
	var a Answer
	if err := c.call(ctx, wait+slack, http.MethodPost, address, pathRead, Question{known, wait}, &a); err != nil {
		return nil, nil, err
	}
	return a.Tables, a.Group, heard(a.Fault)
}

// Propose is cluster.Voter's, of the voter at an address. After an error other than cluster.ErrNotLeader the command
// may be written all the same: it may be proposed again under the same number, and under no other.
func (c *Client) Propose(ctx context.Context, address string, command tables.Command) (tables.Result, error) {
	var a Answer
	if err := c.call(ctx, proposeMost+slack, http.MethodPost, address, pathPropose, command, &a); err != nil {
		return tables.Result{}, err
	}
	return a.Result, heard(a.Fault)
}
