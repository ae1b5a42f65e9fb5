package discovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/policy"
)

// noVersion is the version of a list that has none.
const noVersion = -1

// endpointList is an answer of discovery: the full list, or what changed after a version.
type endpointList struct {
	version int64
	isFull  bool
	servers []dispatch.Server
}

// isEmpty tells whether the list leaves no server.
func (l *endpointList) isEmpty() bool {
	return !slices.ContainsFunc(l.servers, func(server dispatch.Server) bool {
		return server.Endpoint.State != policy.Removed
	})
}

// follows reports whether the list can come after a version. A full list can always; changes can
// where their version is later, or the same without any entry.
func (l *endpointList) canFollow(version int64) bool {
	isNewer := l.version > version
	isUnchanged := l.version == version && len(l.servers) == 0
	return l.isFull || isNewer || isUnchanged
}

// decoder reads lists. Zones and kinds of hardware are numbered by their index; unknown names count
// as the first.
type decoder struct{ zones, hardware []string }

// entry is the layout of an endpoint in a list. It is an alias without tags, as the text of a
// refusal prints the type of what cannot be decoded: a name or a tag would change it.
type entry = struct {
	Host, Dial, Site, Class, Health string

	Block  int
	Share  float64
	BornMs float64 `json:"born_ms"`
}

// decodeAnswer reads an answer. One malformed entry makes it malformed as a whole: its other
// entries are no more reliable, and a full list without one would take a server for removed.
func (d *decoder) decodeAnswer(body []byte) (*endpointList, error) {
	var answer struct {
		Seq   *int64
		Whole *bool
		Hosts json.RawMessage
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if answer.Seq == nil || answer.Whole == nil || answer.Hosts == nil {
		return nil, fmt.Errorf("%w: seq, whole or hosts is missing", errMalformed)
	}
	servers, err := d.decodeEntries(answer.Hosts)
	if err != nil {
		return nil, err
	}
	for _, server := range servers {
		if server.Name == "" || server.Address == "" && server.Endpoint.State != policy.Removed {
			return nil, fmt.Errorf("%w: an entry without host or dial", errMalformed)
		}
	}
	return &endpointList{version: *answer.Seq, isFull: *answer.Whole, servers: servers}, nil
}

// decodeKnown reads the list of an earlier run, which comes with the configuration and may have no
// version.
func (d *decoder) decodeKnown(text []byte) (*endpointList, error) {
	var known struct{ Hosts json.RawMessage }
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, err
	}
	if known.Hosts == nil {
		return &endpointList{version: noVersion}, nil
	}
	servers, err := d.decodeEntries(known.Hosts)
	if err != nil {
		return nil, err
	}
	return &endpointList{version: decodeKnownVersion(text), servers: servers}, nil
}

// decodeKnownVersion reads the version of the list of an earlier run, which may have none.
func decodeKnownVersion(text []byte) int64 {
	var known struct{ Seq *int64 }
	if err := json.Unmarshal(text, &known); err != nil || known.Seq == nil {
		return noVersion
	}
	return *known.Seq
}

// decodeEntries reads the entries of a list. A server in an unknown state counts as removed:
// nothing is sent to it. Of two entries with one name the later counts.
func (d *decoder) decodeEntries(hosts []byte) ([]dispatch.Server, error) {
	var entries []entry
	if err := json.Unmarshal(hosts, &entries); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	var servers []dispatch.Server
	for _, e := range entries {
		servers = append(servers, dispatch.Server{
			Name:    e.Host,
			Address: e.Dial,
			Endpoint: policy.Endpoint{
				State:     decodeState(e.Health),
				Capacity:  e.Share,
				StartedAt: config.Milliseconds(e.BornMs),
				Rack:      e.Block,
				Zone:      max(slices.Index(d.zones, e.Site), 0),
				Hardware:  max(slices.Index(d.hardware, e.Class), 0),
			},
		})
	}
	return servers, nil
}

func decodeState(health string) policy.EndpointState {
	switch health {
	case "in_service":
		return policy.Ready
	case "terminating":
		return policy.Draining
	default:
		return policy.Removed
	}
}
