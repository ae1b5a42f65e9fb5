package failover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// TableName is the name of the table that holds the plan.
const TableName = "failover"

// fullShare is all requests of a zone, in thousandths.
const fullShare = 1000

// Plan is the value of the table. All shares are thousandths of the requests that arrive at a zone.
// The tags define the stored form, which must not change.
type Plan struct {
	// Rows contains the shares of receivers, by the zone at which requests arrive and by the zone
	// that serves them. Each row adds up to 1000.
	Rows map[string]map[string]int `cbor:"1,keyasint"`
	// Health is the part of the power of a zone's listed servers that answers, in thousandths,
	// relative to the healthiest zone. It is 0 for a lost zone.
	Health map[string]int `cbor:"2,keyasint"`
	// FallbackRows contains the shares that gateways without a plan may send to other zones while
	// they observe their own zone to be lost. For each receiver the shares of all zones together
	// fit into the capacity that plans do not use.
	FallbackRows map[string]map[string]int `cbor:"3,keyasint"`
	// PreviousRows contains, for each pair of zones, the largest share in the earlier plans that
	// some gateways may still act on until their lease ends; nil if there are none.
	PreviousRows map[string]map[string]int `cbor:"4,keyasint"`
	// HeldDownZones lists the zones that were in hold-down when this plan was written. It contains
	// no time, as processes share no clock: a new leader starts a full hold-down.
	HeldDownZones []string `cbor:"5,keyasint"`
	// LostLinks lists the pairs of zones (from, to) whose link counts as lost.
	LostLinks [][2]string `cbor:"6,keyasint"`
	// Shed is the share of a zone's requests that fits in no zone and is rejected immediately,
	// because the zone is lost or recovering. The zone's own share in Rows includes it. Shed is 0
	// for a zone that is merely full, where the gateways' decision module sheds load.
	Shed map[string]int `cbor:"7,keyasint"`
	// Reasons contains, by zone, why its row last changed, in words for operators.
	Reasons map[string]string `cbor:"8,keyasint"`
	// Demand is the demand of each zone that the plan was made for, in thousandths of a unit a
	// second. A new leader starts from it.
	Demand map[string]uint64 `cbor:"9,keyasint"`
}

// encoding is canonical: equal plans have equal bytes.
var encoding = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the library's own options are valid
	}
	return m
}()

// DecodePlan decodes the table's value. It returns nil without an error if the value is empty.
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

// Encode returns the plan's stored form.
func (p *Plan) Encode() ([]byte, error) { return encoding.Marshal(p) }

// Assignment states how a gateway distributes its requests over zones.
type Assignment struct {
	// Weights are relative weights by zone. The decision module is offered servers of each zone in
	// proportion to them. If all are 0, no server is offered.
	Weights map[string]float64
	// Shed is the part of the requests, 0 to 1, that fits in no zone and is rejected immediately.
	Shed float64
}

// Zones returns the names of the zones that have a weight, sorted.
func (a Assignment) Zones() []string { return sortedKeys(a.Weights) }

// local returns the assignment of a gateway that sends all requests to its own zone.
func local(zone string) Assignment { return Assignment{Weights: map[string]float64{zone: 1}} }

// Assignment returns the assignment of a gateway in a zone under the plan. A receiver of which only
// some servers answer gets a higher weight, since the decision module ejects the others. A gateway
// in a zone without a row in the plan serves locally.
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

// fallbackProbeShare is the part of requests with which a gateway without a plan probes its own
// zone while that zone is lost.
const fallbackProbeShare = 0.05

// FallbackAssignment returns the assignment of a gateway in a zone once its lease on the latest
// plan has ended. The gateway serves locally unless its own zone is lost. In that case it sends the
// shares in FallbackRows to other zones, probes its own zone and sheds the rest. A nil plan has no
// FallbackRows.
func (p *Plan) FallbackAssignment(zone string, isLost bool) Assignment {
	if !isLost {
		return local(zone)
	}
	assignment := Assignment{Weights: map[string]float64{zone: fallbackProbeShare}, Shed: 1 - fallbackProbeShare}
	if p == nil {
		return assignment
	}
	for _, toZone := range sortedKeys(p.FallbackRows[zone]) {
		share := min(float64(p.FallbackRows[zone][toZone])/fullShare, assignment.Shed)
		if share > 0 && toZone != zone {
			assignment.Weights[toZone] = share
			assignment.Shed -= share
		}
	}
	return assignment
}

// Describe returns a zone's row as text for operators, with shares in thousandths.
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

// sortedKeys returns the keys of a map, sorted.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
