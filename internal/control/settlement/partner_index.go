package settlement

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// PartnerIndex finds the partner of a customer and of a zone. Partners are numbered from 1 in the
// order of the file; 0 means no partner.
type PartnerIndex struct {
	Names          []string // by partner number; the first is empty
	customerRanges []customerRange
	planPartners   []int // by plan number
	zonePartners   []int // by zone number
}

// NewPartnerIndex makes an index for zones and plans in the order in which a gateway numbers them.
func NewPartnerIndex(terms Terms, zones, plans []string) *PartnerIndex {
	index := &PartnerIndex{
		Names:        []string{""},
		planPartners: make([]int, len(plans)),
		zonePartners: make([]int, len(zones)),
	}
	index.customerRanges, _ = terms.customerRanges() // what cannot be read was refused by Check
	for i, p := range terms.Partners {
		index.Names = append(index.Names, p.Name)
		for zone, name := range zones {
			if slices.Contains(p.Zones, name) {
				index.zonePartners[zone] = i + 1
			}
		}
		for plan, name := range plans {
			if slices.Contains(p.Plans, name) {
				index.planPartners[plan] = i + 1
			}
		}
	}
	return index
}

// PartnerOf returns the partner whose request one of a customer under a plan is.
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

// ZoneOwner returns the partner that a zone belongs to.
func (x *PartnerIndex) ZoneOwner(zone int) int {
	if zone < 0 || zone >= len(x.zonePartners) {
		return 0
	}
	return x.zonePartners[zone]
}

// ZoneCount returns the number of zones.
func (x *PartnerIndex) ZoneCount() int { return len(x.zonePartners) }

// PartnerNumber returns the number of a partner by name; 0 where the file has none of that name.
func (x *PartnerIndex) PartnerNumber(name string) int {
	if name == "" {
		return 0
	}
	return max(slices.Index(x.Names, name), 0)
}

// customerRange is a range of customer numbers of one partner, both ends included.
type customerRange struct {
	first, last uint64
	partner     int // from 1
}

// A customer's number, as clients send it and as the operators' file names it.
const (
	customerBits   = 33
	customerDigits = 16
	customerBase   = 16
	customerWord   = 64 // bits of the integer that holds it
)

// customerRanges returns the customers that partners name, in ascending order, and an error for
// each entry that cannot be read.
func (t Terms) customerRanges() (ranges []customerRange, faults []error) {
	for i, p := range t.Partners {
		for _, text := range p.Customers {
			first, last, ok := parseCustomerRange(text)
			if !ok {
				faults = append(faults, fmt.Errorf("partner.%d.customers: 16 hex digits below %016x, "+
					"or two such joined by '-', the smaller first, not %q", i, uint64(1)<<customerBits, text))
				continue
			}
			ranges = append(ranges, customerRange{first, last, i + 1})
		}
	}
	slices.SortFunc(ranges, func(a, b customerRange) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.last, b.last))
	})
	return ranges, faults
}

// parseCustomerRange reads a customer's number, or two joined by '-'.
func parseCustomerRange(text string) (first, last uint64, ok bool) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if !isRange {
		lastText = firstText
	}
	first, isFirstRead := parseCustomer(firstText)
	last, isLastRead := parseCustomer(lastText)
	return first, last, isFirstRead && isLastRead && first <= last
}

// parseCustomer reads a customer's number, with all its digits.
func parseCustomer(text string) (customer uint64, ok bool) {
	customer, err := strconv.ParseUint(text, customerBase, customerWord)
	return customer, err == nil && len(text) == customerDigits && customer < 1<<customerBits
}
