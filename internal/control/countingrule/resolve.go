package countingrule

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// noPlan stands for the rule's plan where the request's plan has no rate.
const noPlan = -1

// maxHashedBytes is the length of the longest key that Hash takes without an allocation: six words.
const maxHashedBytes = 6 * 8

// Assignment is the counter key that a request is charged to, and the plan that limits it there.
type Assignment struct {
	Version uint64  // of the rule
	Key     uint64  // stands for the customer in the decision module, and so in the counter's names
	Plan    int     // index in the settings that WithRulePlans gave
	Weight  float64 // what a unit counts
	Shared  bool    // several customers have the key: its requests come through any gateway
}

// Resolved is a rule resolved against the classes and plans of settings. It does not change, and
// may be used by several goroutines at once.
type Resolved struct {
	Rule
	classHashes, planHashes []uint64 // of the names, by index
	classWeights            []float64
	planIndexes             []int // of the rule's plans, by the request's plan, or noPlan
	groupHashes             map[uint64]uint64
	usesPart                [len(keyParts)]bool
}

// SharedCountError tells that a rule cannot apply: its counts are shared by customers, while a plan
// limits each customer by itself (attempts in flight, or a ceiling).
type SharedCountError struct {
	Version uint64 // of the rule
	Plan    string // the plan's name
}

func (e *SharedCountError) Error() string {
	return fmt.Sprintf("rule %d must have customer in its key:"+
		" plan %q limits each customer's pushes out, or has a ceiling", e.Version, e.Plan)
}

// Resolve resolves a rule against settings that WithRulePlans gave. Its error, a *SharedCountError,
// tells why the rule cannot apply there.
func Resolve(rule Rule, settings policy.Settings) (*Resolved, error) {
	resolved := &Resolved{Rule: rule, groupHashes: map[uint64]uint64{}}
	for i, part := range keyParts {
		resolved.usesPart[i] = slices.Contains(rule.Key, part) || rule.Version == 0 && part == partCustomer
	}
	for _, group := range rule.Groups {
		for _, customer := range group.Customers {
			resolved.groupHashes[customer] = xxhash.Sum64String(group.Name)
		}
	}
	for _, class := range settings.Classes {
		resolved.classHashes = append(resolved.classHashes, xxhash.Sum64String(class.Name))
		resolved.classWeights = append(resolved.classWeights, rule.classWeight(class.Name))
	}
	for i, plan := range settings.Plans {
		index := i
		if rule.Version > 0 {
			index = indexOfPlan(settings.Plans, rulePlanName(rule.Version, plan.Name))
		}
		resolved.planHashes = append(resolved.planHashes, xxhash.Sum64String(plan.Name))
		resolved.planIndexes = append(resolved.planIndexes, index)
		limitsCustomers := (plan.MaxInFlight > 0 || plan.CeilingRate > 0) && !plan.Retired
		if index != noPlan && limitsCustomers && !rule.IsPerCustomer() {
			return nil, &SharedCountError{rule.Version, plan.Name}
		}
	}
	return resolved, nil
}

// indexOfPlan gives noPlan where no plan has the name.
func indexOfPlan(plans []policy.Plan, name string) int {
	return slices.IndexFunc(plans, func(plan policy.Plan) bool { return plan.Name == name })
}

// classWeight is what a unit of a class counts.
func (r *Rule) classWeight(class string) float64 {
	permille := uint64(unitWeightPermille)
	for _, weight := range r.Weights {
		if weight.Class == class {
			permille = weight.Permille
		}
	}
	return float64(permille) / unitWeightPermille
}

// countsByOwnKey decides whether a request is counted under a key of this rule, or under rule 0.
// Class and plan are indexes; what is not in the resolved settings, or has no rate, stays under
// rule 0.
func (r *Resolved) appliesTo(class, plan int) bool {
	isKnown := plan < len(r.planIndexes) && class < len(r.classHashes)
	return r.Version != 0 && isKnown && r.planIndexes[plan] != noPlan
}

// Assign decides which counter key a request is charged to, by its customer and the indexes of its
// class and plan: the decision module knows a request's count by that key alone.
func (r *Resolved) Assign(customer uint64, class, plan int) Assignment {
	if !r.appliesTo(class, plan) {
		return Assignment{Key: customer, Plan: plan, Weight: 1}
	}
	parts := [len(keyParts)]uint64{customer, r.groupKey(customer), r.planHashes[plan], r.classHashes[class]}
	words := [1 + len(keyParts)]uint64{r.Version}
	for i, word := range parts {
		if r.usesPart[i] {
			words[i+1] = word
		}
	}
	return Assignment{
		Version: r.Version,
		Key:     Hash(words[:]...),
		Plan:    r.planIndexes[plan],
		Weight:  r.classWeights[class],
		Shared:  !r.usesPart[0], // the first of keyParts is the customer
	}
}

// groupKey is what a customer's group is hashed by.
func (r *Resolved) groupKey(customer uint64) uint64 {
	if r.Mask != 0 {
		return customer & r.Mask
	}
	if group, ok := r.groupHashes[customer]; ok {
		return group
	}
	return Hash(customer, 1) // a group of its own; hashed, so that no listed group has the same key
}

// Hash hashes words to one, the same at every process.
func Hash(words ...uint64) uint64 {
	var text [maxHashedBytes]byte
	buffer := text[:0]
	for _, word := range words {
		buffer = binary.LittleEndian.AppendUint64(buffer, word)
	}
	return xxhash.Sum64(buffer)
}
