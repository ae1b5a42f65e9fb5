package countingrule

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// Assignment is the count that a task falls under.
type Assignment struct {
	Version uint64  // of the rule
	Key     uint64  // stands for the customer in the module, and so in the counter's names
	Plan    int     // its number in the deployment that Plans gave
	Weight  float64 // a unit counts this much
	Shared  bool    // customers share it: tasks of it come through any gateway
}

// Resolved is a rule beside a deployment's lanes and plans.
type Resolved struct {
	Rule
	classHashes, planHashes []uint64 // marks of the names, by number
	classWeights            []float64
	planIndexes             []int // of the rule's plan, by the number of the task's; -1: it has no rate, and stays under rule 0
	groupHashes             map[uint64]uint64
	usesPart                [4]bool // by parts
}

const separator = "\x1f" // no name in settings holds it, so no client can ask for a rule's own plans

func rulePlanName(version uint64, plan string) string {
	return "rule" + separator + strconv.FormatUint(version, 10) + separator + plan
}

// WithRulePlans gives a deployment with the rules' own plans behind its plans. With rule 0 alone it is as it was.
func WithRulePlans(settings policy.Settings, rules []Rule) policy.Settings {
	planCount := len(settings.Plans)
	settings.Plans = slices.Clone(settings.Plans)
	for _, rule := range rules {
		for _, plan := range settings.Plans[:planCount] {
			if plan.Rate <= 0 || rule.Version == 0 {
				continue
			}
			plan.Name = rulePlanName(rule.Version, plan.Name)
			for _, limit := range rule.Limits {
				if rulePlanName(rule.Version, limit.Plan) == plan.Name || limit.Plan == "*" && !slices.ContainsFunc(rule.Limits, func(other Limit) bool {
					return rulePlanName(rule.Version, other.Plan) == plan.Name
				}) {
					plan.Rate, plan.Burst = limit.Rate, limit.Burst
				}
			}
			settings.Plans = append(settings.Plans, plan)
		}
	}
	return settings
}

// ClientSettings gives a deployment as clients may know it: no client asks for a rule's own plan.
func ClientSettings(settings policy.Settings) policy.Settings {
	settings.Plans = slices.Clone(settings.Plans)
	for i := range settings.Plans {
		plan := &settings.Plans[i]
		plan.Retired = plan.Retired || strings.HasPrefix(plan.Name, "rule"+separator)
	}
	return settings
}

// Resolve lays a rule beside a deployment that Plans gave. An error tells why the rule cannot hold there.
func Resolve(rule Rule, settings policy.Settings) (*Resolved, error) {
	resolved := &Resolved{Rule: rule, groupHashes: map[uint64]uint64{}}
	for i, part := range keyParts {
		resolved.usesPart[i] = slices.Contains(rule.Key, part) || rule.Version == 0 && i == 0
	}
	for _, group := range rule.Groups {
		for _, customer := range group.Customers {
			resolved.groupHashes[customer] = xxhash.Sum64String(group.Name)
		}
	}
	for _, class := range settings.Classes {
		weight := uint64(unitWeight)
		for _, classWeight := range rule.Weights {
			if classWeight.Class == class.Name {
				weight = classWeight.Permille
			}
		}
		resolved.classHashes, resolved.classWeights = append(resolved.classHashes, xxhash.Sum64String(class.Name)), append(resolved.classWeights, float64(weight)/unitWeight)
	}
	for i, plan := range settings.Plans {
		planIndex := i
		if rule.Version > 0 {
			planIndex = slices.IndexFunc(settings.Plans, func(candidate policy.Plan) bool { return candidate.Name == rulePlanName(rule.Version, plan.Name) })
		}
		resolved.planHashes, resolved.planIndexes = append(resolved.planHashes, xxhash.Sum64String(plan.Name)), append(resolved.planIndexes, planIndex)
		if planIndex >= 0 && !resolved.usesPart[0] && (plan.MaxInFlight > 0 || plan.CeilingRate > 0) && !plan.Retired {
			return nil, fmt.Errorf("rule %d must have customer in its key: plan %q limits each customer's"+
				" pushes out, or has a ceiling",
				rule.Version, plan.Name)
		}
	}
	return resolved, nil
}

// Assign gives the count of a task by its lane's and plan's number.
func (resolved *Resolved) Assign(customer uint64, class, plan int) Assignment {
	if resolved.Version == 0 || plan >= len(resolved.planIndexes) || resolved.planIndexes[plan] < 0 || class >= len(resolved.classHashes) {
		return Assignment{Key: customer, Plan: plan, Weight: 1}
	}
	words := []uint64{resolved.Version, 0, 0, 0, 0}
	for i, word := range []uint64{customer, resolved.groupKey(customer), resolved.planHashes[plan], resolved.classHashes[class]} {
		if resolved.usesPart[i] {
			words[i+1] = word
		}
	}
	return Assignment{resolved.Version, Hash(words...), resolved.planIndexes[plan], resolved.classWeights[class], !resolved.usesPart[0]}
}

// groupKey is the mark of a customer's group.
func (resolved *Resolved) groupKey(customer uint64) uint64 {
	if resolved.Mask != 0 {
		return customer & resolved.Mask
	}
	if group, ok := resolved.groupHashes[customer]; ok {
		return group
	}
	return Hash(customer, 1) // of its own; a hash, so that it is no named group's
}

// Hash hashes words to one, the same at every process.
func Hash(words ...uint64) uint64 {
	var text [8 * 6]byte
	buffer := text[:0]
	for _, word := range words {
		for i := range 8 {
			buffer = append(buffer, byte(word>>(8*i)))
		}
	}
	return xxhash.Sum64(buffer)
}
