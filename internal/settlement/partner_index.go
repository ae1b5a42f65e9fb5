package settlement

import (
	"slices"
	"sort"
)

// PartnerIndex tells whose a customer and a hall are. Partners are numbered from 1 in the order of the file; 0 is none.
type PartnerIndex struct {
	Names          []string // by number; the first is empty
	customerRanges []customerRange
	planPartners   []int // by the plan's number
	zonePartners   []int // by the hall's number
}

// NewPartnerIndex makes the roll for halls and plans in the order in which a gateway numbers them.
func NewPartnerIndex(terms Terms, zones, plans []string) *PartnerIndex {
	index := &PartnerIndex{Names: []string{""}, planPartners: make([]int, len(plans)), zonePartners: make([]int, len(zones))}
	index.customerRanges, _ = terms.customerRanges()
	for i, p := range terms.Partners {
		index.Names = append(index.Names, p.Name)
		for k, name := range zones {
			if slices.Contains(p.Zones, name) {
				index.zonePartners[k] = i + 1
			}
		}
		for k, name := range plans {
			if slices.Contains(p.Plans, name) {
				index.planPartners[k] = i + 1
			}
		}
	}
	return index
}

// PartnerOf is whose task one of a customer under a plan is.
func (index *PartnerIndex) PartnerOf(customer uint64, plan int) int {
	i := sort.Search(len(index.customerRanges), func(i int) bool { return index.customerRanges[i].last >= customer })
	if i < len(index.customerRanges) && index.customerRanges[i].first <= customer {
		return index.customerRanges[i].partner
	}
	if plan < 0 || plan >= len(index.planPartners) {
		return 0
	}
	return index.planPartners[plan]
}

// ZoneOwner is whose a hall is.
func (index *PartnerIndex) ZoneOwner(zone int) int {
	if zone < 0 || zone >= len(index.zonePartners) {
		return 0
	}
	return index.zonePartners[zone]
}

// ZoneCount is how many halls there are.
func (index *PartnerIndex) ZoneCount() int { return len(index.zonePartners) }

// PartnerNumber is a partner's, by name; 0 where the file has none of that name.
func (index *PartnerIndex) PartnerNumber(name string) int {
	if name == "" {
		return 0
	}
	return max(slices.Index(index.Names, name), 0)
}
