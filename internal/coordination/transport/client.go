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

// StatusError reports that a voter answered a call with a status other than that of success.
type StatusError struct {
	Address, Path string
	Status        int
	Message       string // the beginning of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s%s: status %d: %s", e.Address, e.Path, e.Status, e.Message)
}

// maxStatusMessage is how many bytes of an error response's body are read.
const maxStatusMessage = 200

// maxDiscardedBytes is how many bytes of a response's rest are read, so that its connection can be
// reused.
const maxDiscardedBytes = 1 << 10

// Client makes calls to voters, on few connections that are reused. It owns them. It may be used by
// several goroutines at once. No call is retried. Errors of a call: a *StatusError, a
// *NotLoopbackError, or the connection's.
type Client struct {
	http http.Client
}

// NewClient makes a client that opens up to connectionsPerVoter connections to each voter.
func NewClient(network Network, connectionsPerVoter int) *Client {
	return &Client{http.Client{
		Transport: &http.Transport{
			DialContext:            network.dialer(),
			MaxConnsPerHost:        connectionsPerVoter,
			MaxIdleConnsPerHost:    connectionsPerVoter,
			IdleConnTimeout:        clientIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes connections that no call is on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends a body and decodes the response into a result; either may be nil.
func (c *Client) call(
	ctx context.Context,
	timeout time.Duration,
	method, address, path string,
	body, result any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() {
		// The rest is read so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
		_ = response.Body.Close()
	}()
	switch {
	case response.StatusCode == http.StatusNoContent && result == nil:
		return nil
	case response.StatusCode != http.StatusOK || result == nil:
		// A message that cannot be read to its end is left out in part: the status says enough.
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxStatusMessage))
		return &StatusError{
			Address: address, Path: path, Status: response.StatusCode,
			Message: string(bytes.TrimSpace(message)),
		}
	}
	return readBody(response.Body, response.ContentLength, maxBodyBytes, response.Header.Get(headerChecksum), result)
}

// newRequest makes a request that net/http never repeats.
func newRequest(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var encoded []byte
	if body != nil {
		var err error
		encoded, err = encoding.Marshal(body)
		if err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // net/http would use it to retry a call: a proposal would be repeated unseen
	request.Header.Set(headerChecksum, checksum(encoded))
	request.Header.Set("User-Agent", "") // leaves the header out
	return request, nil
}

// Info asks a voter who it is. It may be retried.
func (c *Client) Info(ctx context.Context, address string) (VoterInfo, error) {
	var info VoterInfo
	err := c.call(ctx, dialTimeout+responseGrace, http.MethodGet, address, pathInfo, nil, &info)
	return info, err
}

// Digests sends a voter the digests of processes. It may be retried.
func (c *Client) Digests(ctx context.Context, address string, digests []observation.Digest) error {
	return c.call(ctx, dialTimeout+responseGrace, http.MethodPost, address, pathDigests, digests, nil)
}

// Read is that of coordination.Voter, at the voter of an address, with the voters' group ID. It may
// be retried.
func (c *Client) Read(ctx context.Context, address string, known map[string]uint64, wait time.Duration) (
	found map[string]statemachine.Table, groupID []byte, err error,
) {
	var response Response
	request := ReadRequest{KnownEpochs: known, Wait: wait}
	if err := c.call(ctx, wait+responseGrace, http.MethodPost, address, pathRead, request, &response); err != nil {
		return nil, nil, err
	}
	return response.Tables, response.GroupID, decodeError(response.Error)
}

// Propose is that of coordination.Voter, at the voter of an address. After an error other than
// ErrNotLeader the command may be written all the same: it may be proposed again under the same
// number, and under no other.
func (c *Client) Propose(
	ctx context.Context,
	address string,
	command statemachine.Command,
) (statemachine.Result, error) {
	var response Response
	timeout := proposeTimeout + responseGrace
	if err := c.call(ctx, timeout, http.MethodPost, address, pathPropose, command, &response); err != nil {
		return statemachine.Result{}, err
	}
	return response.Result, decodeError(response.Error)
}

// sendMessages hands a voter messages of another one. It is never retried: the consensus node that
// made them sends what matters again.
func (c *Client) sendMessages(ctx context.Context, timeout time.Duration, address string, batch MessageBatch) error {
	return c.call(ctx, timeout, http.MethodPost, address, pathMessages, batch, nil)
}
