package roster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// pause waits after a failed call for the time drawn, then for the gate to want the list, which it does after
// its own pause; a wish left from before the failure does not count. False: the context ended.
func (r *Roster) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-r.gate.Wanted():
	default:
	}
	if !r.rest(ctx, wait) {
		return false
	}
	select {
	case <-r.gate.Wanted():
	case <-ctx.Done():
		return false
	case <-time.After(againMost):
	}
	return true
}

// rest waits. False: the context ended.
func (r *Roster) rest(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

var (
	errSilent     = errors.New("discovery is silent")
	errTurnedAway = errors.New("discovery turns the call away")
)

// ask calls once, over the whole answer for at most so long. A call that fails so has lost its connection too.
func (r *Roster) ask(ctx context.Context, url string, most time.Duration) (*list, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	status, body, err := r.fetch(ctx, url)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, fmt.Errorf("%w: %w", errSilent, err)
	case err != nil:
		return nil, err
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: %d %s", errTurnedAway, status, http.StatusText(status))
	}
	return r.decode(body)
}

func (r *Roster) fetch(ctx context.Context, url string) (status int, body []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, listMost))
	return resp.StatusCode, body, err
}
