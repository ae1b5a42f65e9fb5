package settlement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"harrierhoist/internal/numbering"
)

// PartnerIndex maps customers and zones to partners. Partners are numbered from 1 in the order of
// the operators' file; 0 means no partner. A PartnerIndex does not change after its construction.
type PartnerIndex struct {
	Names          []string        // by partner number; Names[0] is empty
	customerRanges []customerRange // in ascending order
	planPartners   []int           // partner numbers, by plan number
	zonePartners   map[int]int     // partner numbers, by zone number; includes zones that the gateway does not know
	zoneCount      int             // number of zones that the gateway knows
}

// NewPartnerIndex returns an index for the zones and plans of a gateway, which are named in the
// order of their numbers. Package numbering numbers the zones of partners that the gateway does not
// know. The terms must have passed Check.
func NewPartnerIndex(terms Terms, zones, plans []string) *PartnerIndex {
	index := &PartnerIndex{
		Names:        []string{""},
		planPartners: make([]int, len(plans)),
		zonePartners: map[int]int{},
		zoneCount:    len(zones),
	}
	zoneNumbers := numbering.New(zones)
	index.customerRanges, _ = terms.customerRanges() // entries that cannot be parsed are skipped; Check reports them
	for i, p := range terms.Partners {
		index.Names = append(index.Names, p.Name)
		for _, name := range p.Zones {
			index.zonePartners[zoneNumbers.Of(name)] = i + 1
		}
		for plan, name := range plans {
			if slices.Contains(p.Plans, name) {
				index.planPartners[plan] = i + 1
			}
		}
	}
	return index
}

// PartnerOf returns the number of the partner that a customer on a plan belongs to. A partner that
// lists the customer takes precedence over the partner of the plan. The result is 0 if there is
// neither.
func (x *PartnerIndex) PartnerOf(customer uint64, plan int) int {
	i := sort.Search(len(x.customerRanges), func(i int) bool { return x.customerRanges[i].last >= customer })
	if i < len(x.customerRanges) && x.customerRanges[i].first <= customer {
		return x.customerRanges[i].partner
	}
	if plan < 0 || plan >= len(x.planPartners) {
		return 0
	}
	return x.planPartners[plan]
}

// ZoneOwner returns the number of the partner that owns the zone with a number of package numbering,
// or 0.
func (x *PartnerIndex) ZoneOwner(zone int) int { return x.zonePartners[zone] }

// ZoneCount returns the number of zones that the gateway knows. Their numbers are below it.
func (x *PartnerIndex) ZoneCount() int { return x.zoneCount }

// PartnerNumber returns the number of the partner with a name, or 0 if the operators' file has
// none.
func (x *PartnerIndex) PartnerNumber(name string) int {
	if name == "" {
		return 0
	}
	return max(slices.Index(x.Names, name), 0)
}

// customerRange is a range of customer numbers that belong to one partner, both ends included.
type customerRange struct {
	first, last uint64
	partner     int // partner number
}

// Format of a customer number, in requests and in the operators' file.
const (
	customerNumberBits     = 33
	customerNumberDigits   = 16
	customerNumberBase     = 16
	customerNumberWordBits = 64 // size in bits of the integer that holds a customer number
)

// customerRanges returns the customers that partners list, in ascending order, and an error for
// each entry that cannot be parsed.
func (t Terms) customerRanges() (ranges []customerRange, errs []error) {
	for i, p := range t.Partners {
		for _, text := range p.Customers {
			first, last, ok := parseCustomerRange(text)
			if !ok {
				errs = append(errs, fmt.Errorf("partner.%d.customers: 16 hex digits below %016x, "+
					"or two such joined by '-', the smaller first, not %q", i, uint64(1)<<customerNumberBits, text))
				continue
			}
			ranges = append(ranges, customerRange{first, last, i + 1})
		}
	}
	slices.SortFunc(ranges, func(a, b customerRange) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.last, b.last))
	})
	return ranges, errs
}

// parseCustomerRange parses a customer number, or two in ascending order joined by '-'.
func parseCustomerRange(text string) (first, last uint64, ok bool) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if !isRange {
		lastText = firstText
	}
	first, firstOK := parseCustomer(firstText)
	last, lastOK := parseCustomer(lastText)
	return first, last, firstOK && lastOK && first <= last
}

// parseCustomer parses a customer number. It must have all its digits, leading zeros included.
func parseCustomer(text string) (customer uint64, ok bool) {
	customer, err := strconv.ParseUint(text, customerNumberBase, customerNumberWordBits)
	return customer, err == nil && len(text) == customerNumberDigits && customer < 1<<customerNumberBits
}
