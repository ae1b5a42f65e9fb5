package countingrule

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// noPlan is the value in Resolved.planIndexes for a request's plan without a plan of the rule, for
// example because the request's plan has no rate. It equals the -1 of slices.IndexFunc.
const noPlan = -1

// hashBufferSize is the length in bytes of six words. Hash allocates memory for longer inputs only.
const hashBufferSize = 6 * 8

// Assignment is the counter key that a request is charged to, and the plan that limits it there.
type Assignment struct {
	Version uint64  // of the rule that the key belongs to
	Key     uint64  // replaces the customer in the decision module, and thus in the counter's names
	Plan    int     // index in the settings that WithRulePlans returned
	Weight  float64 // weighted units per unit
	Shared  bool    // customers may share the key, so its requests may arrive at any gateway
}

// Resolved is a rule resolved against the classes and plans of settings. It is immutable and safe
// for concurrent use.
type Resolved struct {
	Rule
	classHashes, planHashes []uint64            // hashes of the names, by index
	classWeights            []float64           // weighted units per unit, by class
	planIndexes             []int               // index of the rule's plan or noPlan, by the request's plan
	groupHashes             map[uint64]uint64   // hash of the group's name, by customer
	usesPart                [len(keyParts)]bool // whether the key contains a part, by index in keyParts
}

// SharedCountError is returned for a rule whose counts are shared by customers while a plan limits
// each customer separately, by a ceiling or by attempts in flight. Such a rule cannot be applied.
type SharedCountError struct {
	Version uint64 // of the rule
	Plan    string // name of the plan
}

func (e *SharedCountError) Error() string {
	return fmt.Sprintf("rule %d must have customer in its key:"+
		" plan %q limits each customer's pushes out, or has a ceiling", e.Version, e.Plan)
}

// Resolve resolves a rule against settings that WithRulePlans returned. It returns a
// *SharedCountError if the rule cannot be applied to them.
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

// indexOfPlan returns the index of the plan with a name, or noPlan if there is none.
func indexOfPlan(plans []policy.Plan, name string) int {
	return slices.IndexFunc(plans, func(plan policy.Plan) bool { return plan.Name == name })
}

// classWeight returns the weighted units per unit of a class.
func (r *Rule) classWeight(class string) float64 {
	permille := uint64(unitWeightPermille)
	for _, weight := range r.Weights {
		if weight.Class == class {
			permille = weight.Permille
		}
	}
	return float64(permille) / unitWeightPermille
}

// appliesTo reports whether requests of a class and plan, given by index, are counted under this
// rule. It returns false for a class or plan that is not in the resolved settings and for a plan
// without a rate. Such requests are counted under rule 0.
func (r *Resolved) appliesTo(class, plan int) bool {
	isKnown := plan < len(r.planIndexes) && class < len(r.classHashes)
	return r.Version != 0 && isKnown && r.planIndexes[plan] != noPlan
}

// Assign returns the counter key that a request is charged to, given its customer and the indexes
// of its class and plan. The key alone identifies the request's count to the decision module.
func (r *Resolved) Assign(customer uint64, class, plan int) Assignment {
	if !r.appliesTo(class, plan) {
		return Assignment{Key: customer, Plan: plan, Weight: 1}
	}
	parts := [len(keyParts)]uint64{customer, r.groupWord(customer), r.planHashes[plan], r.classHashes[class]}
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

// groupWord returns the word that represents a customer's group in the hash of a key.
func (r *Resolved) groupWord(customer uint64) uint64 {
	if r.Mask != 0 {
		return customer & r.Mask
	}
	if group, ok := r.groupHashes[customer]; ok {
		return group
	}
	// The customer forms its own group. Its word is a hash, like the words of listed groups, so
	// that they do not collide in practice.
	return Hash(customer, 1)
}

// Hash returns a hash of the words that is the same in every process.
func Hash(words ...uint64) uint64 {
	var text [hashBufferSize]byte
	buffer := text[:0]
	for _, word := range words {
		buffer = binary.LittleEndian.AppendUint64(buffer, word)
	}
	return xxhash.Sum64(buffer)
}
