package conformance

import (
	"fmt"
	"slices"
)

// validator collects the problems of a suite.
type validator struct {
	suite          *Suite
	casesPerClause map[string]int  // cases by the clause's ID
	caseIDs        map[string]bool // seen so far
	changeNames    map[string]bool // seen so far
	problems       []error
}

// validate returns all problems of the suite.
func (s *Suite) validate() []error {
	checks := &validator{
		suite: s, casesPerClause: map[string]int{}, caseIDs: map[string]bool{},
		changeNames: map[string]bool{},
	}
	for _, clause := range s.Clauses {
		_, isDuplicate := checks.casesPerClause[clause.ID]
		isIncomplete := clause.ID == "" || clause.Text == "" || clause.Source == ""
		if isDuplicate || isIncomplete {
			checks.report("clause %q: needs an id of its own, a summary and a source", clause.ID)
		}
		checks.casesPerClause[clause.ID] = 0
	}
	for _, testCase := range s.Cases {
		checks.checkCase(testCase)
	}
	for _, clause := range s.Clauses {
		if checks.casesPerClause[clause.ID] == 0 {
			checks.report("clause %q has no case", clause.ID)
		}
	}
	for _, change := range s.Changes {
		checks.checkChange(change)
	}
	return checks.problems
}

func (v *validator) report(format string, args ...any) {
	v.problems = append(v.problems, fmt.Errorf("clauses.toml: "+format, args...))
}

func (v *validator) checkCase(testCase Case) {
	if _, known := v.casesPerClause[testCase.Clause]; !known {
		v.report("case %q: no clause %q", testCase.ID, testCase.Clause)
	}
	v.casesPerClause[testCase.Clause]++
	if v.caseIDs[testCase.ID] || testCase.ID == "" {
		v.report("case %q: needs an id of its own", testCase.ID)
	}
	v.caseIDs[testCase.ID] = true
	if testCase.Target != againstModule && testCase.Target != againstProcess && testCase.Target != againstBoth {
		v.report("case %q: runs_against is %q, allowed are module, process, both", testCase.ID, testCase.Target)
	}
	if _, err := v.suite.findPlan(testCase.Plan); err != nil {
		v.report("case %q: %w", testCase.ID, err)
	}
	v.checkVariants(testCase)
	if len(testCase.Events) == 0 || len(testCase.Expected) == 0 {
		v.report("case %q: needs events and what is expected", testCase.ID)
	}
	for _, text := range slices.Concat(testCase.Given, testCase.Events) {
		if _, err := parseAction(text); err != nil {
			v.report("case %q: %w", testCase.ID, err)
		}
	}
}

func (v *validator) checkVariants(testCase Case) {
	for name, reason := range testCase.Exclusions {
		if reason == "" || name == Plain.Name || !isVariant(name) {
			v.report("case %q: but %q needs a variant other than plain, and a reason", testCase.ID, name)
		}
	}
	if testCase.OnlyVariant != "" && !isVariant(testCase.OnlyVariant) {
		v.report("case %q: only_variant %q is no variant", testCase.ID, testCase.OnlyVariant)
	}
}

// checkChange is called after all cases were checked.
func (v *validator) checkChange(change Change) {
	if v.changeNames[change.Name] || len(change.Edits) == 0 || len(change.ModuleCases)+len(change.ProcessCases) == 0 {
		v.report("change %q: needs a name of its own, edits, and cases that catch it", change.Name)
	}
	v.changeNames[change.Name] = true
	if change.Variant != "" && !isVariant(change.Variant) {
		v.report("change %q: no variant %q", change.Name, change.Variant)
	}
	for _, id := range slices.Concat(change.ModuleCases, change.ProcessCases) {
		if !v.caseIDs[id] {
			v.report("change %q: no case %q", change.Name, id)
		}
	}
}

// isVariant reports whether a variant has that name.
func isVariant(name string) bool {
	return slices.ContainsFunc(Variants, func(variant Variant) bool { return variant.Name == name })
}
