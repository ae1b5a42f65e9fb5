package discovery

import (
	"encoding/json"
	"fmt"
	"slices"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/numbering"
	"harrierhoist/policy"
)

// unnamedZonePrefix precedes the name of a server whose entry names no zone, to make a name for its
// zone that no zone has.
const unnamedZonePrefix = "\x00"

// onlyZone is the number of the only zone, where at most one is configured.
const onlyZone = 0

// noVersion stands for the version of a list that has none.
const noVersion = -1

// endpointList is a decoded endpoint list: the full list, or the changes after a version.
type endpointList struct {
	version int64 // version of the list once the changes are applied
	isFull  bool  // the list contains all servers; if false, only those that changed
	servers []dispatch.Server
	// unknownZones lists the zones, not configured, of servers that are not removed. A zone is "" if
	// the server's entry names none, and may stand more than once.
	unknownZones []string
}

// isEmpty reports whether every entry of the list is a removed server, or there is no entry.
func (l *endpointList) isEmpty() bool {
	return !slices.ContainsFunc(l.servers, func(server dispatch.Server) bool {
		return server.Endpoint.State != policy.Removed
	})
}

// canFollow reports whether the list is valid after the given version. A full list always is.
// Changes are valid if their version is higher, or if it is the same and there is no entry.
func (l *endpointList) canFollow(version int64) bool {
	isNewer := l.version > version
	isUnchanged := l.version == version && len(l.servers) == 0
	return l.isFull || isNewer || isUnchanged
}

// decoder decodes endpoint lists. It decodes the names of zones and of hardware models as numbers.
type decoder struct{ zones, hardware numbering.Numbering }

// entry is the JSON form of an endpoint in a list. Apart from born_ms, keys are decoded by the
// names of the fields. The error message of a malformed list contains this type, so entry is an
// alias, and born_ms is its only tag. A type name or another tag would change the message.
type entry = struct {
	Host, Dial, Site, Class, Health string

	Block  int
	Share  float64
	BornMs float64 `json:"born_ms"`
}

// decodeAnswer decodes an answer of the agent. Errors wrap errMalformed. One malformed entry makes
// the whole answer malformed: the other entries are no more reliable, and a full list that lacks an
// entry would remove that server.
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
	received := &endpointList{version: *answer.Seq, isFull: *answer.Whole}
	if err := d.decodeEntries(answer.Hosts, received); err != nil {
		return nil, err
	}
	for _, server := range received.servers {
		if server.Name == "" || server.Address == "" && server.Endpoint.State != policy.Removed {
			return nil, fmt.Errorf("%w: entry without host or dial", errMalformed)
		}
	}
	return received, nil
}

// decodeKnown decodes the known list: the endpoint list of an earlier run of the gateway, which is
// part of the configuration. Its entries and its version may be missing.
func (d *decoder) decodeKnown(text []byte) (*endpointList, error) {
	var known struct{ Hosts json.RawMessage }
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, err
	}
	if known.Hosts == nil {
		return &endpointList{version: noVersion}, nil
	}
	list := &endpointList{version: decodeKnownVersion(text)}
	if err := d.decodeEntries(known.Hosts, list); err != nil {
		return nil, err
	}
	return list, nil
}

// decodeKnownVersion decodes the version of the known list. It returns noVersion if the version is
// missing or malformed.
func decodeKnownVersion(text []byte) int64 {
	var known struct{ Seq *int64 }
	if err := json.Unmarshal(text, &known); err != nil || known.Seq == nil {
		return noVersion
	}
	return *known.Seq
}

// decodeEntries decodes the entries of a list in their order into list.servers and
// list.unknownZones. A server in an unknown state counts as removed, so nothing is sent to it. If
// two entries have the same name, the later one takes effect when the list is applied.
func (d *decoder) decodeEntries(hosts []byte, list *endpointList) error {
	var entries []entry
	if err := json.Unmarshal(hosts, &entries); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	for _, e := range entries {
		zone, isKnown := d.zoneNumber(e)
		endpoint := policy.Endpoint{
			State:     decodeState(e.Health),
			Capacity:  e.Share,
			StartedAt: config.Milliseconds(e.BornMs),
			Rack:      e.Block,
			Zone:      zone,
			Hardware:  d.hardware.Of(e.Class),
		}
		list.servers = append(list.servers, dispatch.Server{Name: e.Host, Address: e.Dial, Endpoint: endpoint})
		if !isKnown && endpoint.State != policy.Removed {
			list.unknownZones = append(list.unknownZones, e.Site)
		}
	}
	return nil
}

// zoneNumber returns the number of the zone of an entry's server, and whether the zone is known. An
// entry may name no zone. Where at most one zone is configured, the server is in that one. Elsewhere
// it is not known which servers share a zone, so the server has a zone to itself.
func (d *decoder) zoneNumber(e entry) (number int, isKnown bool) {
	switch {
	case e.Site != "":
		number = d.zones.Of(e.Site)
		return number, d.zones.IsConfigured(number)
	case d.zones.Configured() <= 1:
		return onlyZone, true
	default:
		return d.zones.Of(unnamedZonePrefix + e.Host), false
	}
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
