package failover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Table is the name of the table that holds the plan.
const Table = "failover"

// fullShare is all requests of a zone, in thousandths.
const fullShare = 1000

// Plan is the value of the table. All shares are thousandths of the requests that come in at a
// zone. Its tags are its stored form, which never changes.
type Plan struct {
	// Rows are, by the zone at which requests come in, the shares of the zones that they are sent
	// to: they sum to 1000.
	Rows map[string]map[string]int `cbor:"1,keyasint"`
	// Health is, by zone, the part of its listed power that answers, in thousandths; 0 for a lost
	// zone.
	Health map[string]int `cbor:"2,keyasint"`
	// Fallback are the shares that gateways without a plan may send elsewhere while their own zone
	// is lost by their own observations. The shares of all zones to one fit above what plans use
	// there.
	Fallback map[string]map[string]int `cbor:"3,keyasint"`
	// Previous are the rows before, which some gateways may act on until their lease ends; nil if
	// none do.
	Previous map[string]map[string]int `cbor:"4,keyasint"`
	// HoldDown are the zones that were in hold-down when this plan was written. The value holds no
	// time, as processes share no clock: a new leader counts a full hold-down from its own start.
	HoldDown []string `cbor:"5,keyasint"`
	// LostLinks are the pairs of zones (from, to) whose link is held to be lost.
	LostLinks [][2]string `cbor:"6,keyasint"`
	// Shed is the part of a row's local share that fits nowhere and is rejected at once, as the
	// zone is lost or recovering. In a zone that is merely full the decision module sheds, and this
	// is 0.
	Shed map[string]int `cbor:"7,keyasint"`
	// Reasons tell operators, by zone, why its row moved last.
	Reasons map[string]string `cbor:"8,keyasint"`
	// Demand is, by zone, the demand that the plan was made for, in thousandths of a unit a second.
	// A new leader starts from it.
	Demand map[string]uint64 `cbor:"9,keyasint"`
}

// encoding is canonical: the same plan has the same bytes.
var encoding = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options are valid
	}
	return m
}()

// DecodePlan reads a plan from the table's value. An empty value is no plan (nil) without an error.
func DecodePlan(value []byte) (*Plan, error) {
	if len(value) == 0 {
		return nil, nil
	}
	plan := &Plan{}
	if err := cbor.Unmarshal(value, plan); err != nil {
		return nil, fmt.Errorf("malformed failover plan: %w", err)
	}
	return plan, nil
}

// Encode gives the plan's stored form.
func (p *Plan) Encode() ([]byte, error) { return encoding.Marshal(p) }

// Assignment is how a gateway in a zone acts.
type Assignment struct {
	// Weights are, by zone, in what proportion its servers are offered to the decision module. Where
	// all are 0, no server is offered.
	Weights map[string]float64
	// Shed is the part of the requests, 0 to 1, that is rejected at once, as it fits nowhere.
	Shed float64
}

// Zones are the zones with weight, in the order of their names.
func (a Assignment) Zones() []string { return sortedKeys(a.Weights) }

// local is the assignment of a gateway that sends all requests to its own zone.
func local(zone string) Assignment { return Assignment{Weights: map[string]float64{zone: 1}} }

// Assignment decides how a gateway in a zone acts on the plan. Of a zone that answers in part more
// servers are offered, as the decision module ejects those that do not. A zone that the plan does
// not know serves locally.
func (p *Plan) Assignment(zone string) Assignment {
	row := p.Rows[zone]
	if len(row) == 0 {
		return local(zone)
	}
	assignment := Assignment{Weights: map[string]float64{}, Shed: float64(p.Shed[zone]) / fullShare}
	for _, toZone := range sortedKeys(row) {
		share := float64(row[toZone]) / fullShare
		if toZone == zone {
			share -= assignment.Shed
		}
		if health := p.Health[toZone]; health > 0 {
			share *= fullShare / float64(health)
		}
		if share > 0 {
			assignment.Weights[toZone] = share
		}
	}
	return assignment
}

// fallbackProbeShare is the part of requests that probes the own zone while it is lost, without a
// plan.
const fallbackProbeShare = 0.05

// FallbackAssignment decides how a gateway in a zone acts once its lease on the latest plan has
// ended: it serves locally. Where its own zone is lost it sends to others what the plan has
// reserved for that, probes its own zone and sheds the rest. A nil plan has reserved nothing.
func (p *Plan) FallbackAssignment(zone string, isLost bool) Assignment {
	if !isLost {
		return local(zone)
	}
	assignment := Assignment{Weights: map[string]float64{zone: fallbackProbeShare}, Shed: 1 - fallbackProbeShare}
	if p == nil {
		return assignment
	}
	for _, toZone := range sortedKeys(p.Fallback[zone]) {
		share := min(float64(p.Fallback[zone][toZone])/fullShare, assignment.Shed)
		if share > 0 && toZone != zone {
			assignment.Weights[toZone] = share
			assignment.Shed -= share
		}
	}
	return assignment
}

// Describe gives a zone's row in words, in thousandths.
func (p *Plan) Describe(zone string) string {
	var shares []string
	for _, toZone := range sortedKeys(p.Rows[zone]) {
		shares = append(shares, fmt.Sprintf("%s %d", toZone, p.Rows[zone][toZone]))
	}
	if shed := p.Shed[zone]; shed > 0 {
		shares = append(shares, fmt.Sprintf("shed %d of its own", shed))
	}
	return strings.Join(shares, ", ")
}

// sortedKeys are a map's keys in their order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
