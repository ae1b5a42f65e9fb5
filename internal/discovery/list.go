package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"harrierhoist/internal/config"
	"harrierhoist/internal/dispatch"
	"harrierhoist/policy"
)

// endpointList is an answer of discovery.
type endpointList struct {
	version int64
	isFull  bool
	servers []dispatch.Server
}

var errMalformed = errors.New("an answer that is no list")

// decodeAnswer reads an answer. One bad entry spoils it all: what an answer mixed up tells of other servers is no better,
// and part of a whole list would take the rest for gone.
func (w *Watcher) decodeAnswer(body []byte) (*endpointList, error) {
	var page struct {
		Seq   *int64
		Whole *bool
		Hosts json.RawMessage
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if page.Seq == nil || page.Whole == nil || page.Hosts == nil {
		return nil, fmt.Errorf("%w: seq, whole or hosts is missing", errMalformed)
	}
	received, err := w.decodeEntries(page.Hosts)
	if err != nil {
		return nil, err
	}
	received.version, received.isFull = *page.Seq, *page.Whole
	for _, s := range received.servers {
		if s.Name == "" || s.Address == "" && s.Endpoint.State != policy.Removed {
			return nil, fmt.Errorf("%w: an entry without host or dial", errMalformed)
		}
	}
	return received, nil
}

// decodeKnown reads a list as last had, which is told with the settings.
func (w *Watcher) decodeKnown(text []byte) (*endpointList, error) {
	var page struct{ Hosts json.RawMessage }
	if err := json.Unmarshal(text, &page); err != nil || page.Hosts == nil {
		return &endpointList{}, err
	}
	return w.decodeEntries(page.Hosts)
}

// decodeEntries reads those of a list. A server in a state whose word we do not know is not there: nothing is pushed to it.
// Of two entries with one name the later stands.
func (w *Watcher) decodeEntries(hosts []byte) (*endpointList, error) {
	var entries []struct {
		Host, Dial, Site, Class, Health string

		Block  int
		Share  float64
		BornMs float64 `json:"born_ms"`
	}
	if err := json.Unmarshal(hosts, &entries); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	received := &endpointList{}
	for _, h := range entries {
		stage := policy.Removed
		switch h.Health {
		case "in_service":
			stage = policy.Ready
		case "terminating":
			stage = policy.Draining
		}
		received.servers = append(received.servers, dispatch.Server{Name: h.Host, Address: h.Dial, Endpoint: policy.Endpoint{
			State: stage, Capacity: h.Share, StartedAt: config.Milliseconds(h.BornMs), Rack: h.Block,
			Zone: max(slices.Index(w.zones, h.Site), 0), Hardware: max(slices.Index(w.kinds, h.Class), 0)}})
	}
	return received, nil
}

// isEmpty tells that the list leaves no server.
func (received *endpointList) isEmpty() bool {
	return !slices.ContainsFunc(received.servers, func(s dispatch.Server) bool { return s.Endpoint.State != policy.Removed })
}
