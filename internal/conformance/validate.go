package conformance

import (
	"fmt"
	"slices"
)

// validator collects the problems of a suite.
type validator struct {
	suite       *Suite
	clauseRows  map[string]int  // rows by the clause's ID
	rowIDs      map[string]bool // seen so far
	changeNames map[string]bool // seen so far
	problems    []error
}

// validate returns all problems of the suite.
func (s *Suite) validate() []error {
	v := &validator{suite: s, clauseRows: map[string]int{}, rowIDs: map[string]bool{}, changeNames: map[string]bool{}}
	for _, clause := range s.Clauses {
		if _, duplicate := v.clauseRows[clause.ID]; duplicate || clause.ID == "" || clause.Text == "" || clause.Source == "" {
			v.report("clause %q: needs an id of its own, a summary and a source", clause.ID)
		}
		v.clauseRows[clause.ID] = 0
	}
	for _, row := range s.Rows {
		v.checkRow(row)
	}
	for _, clause := range s.Clauses {
		if v.clauseRows[clause.ID] == 0 {
			v.report("clause %q has no row", clause.ID)
		}
	}
	for _, change := range s.Changes {
		v.checkChange(change)
	}
	return v.problems
}

func (v *validator) report(format string, args ...any) {
	v.problems = append(v.problems, fmt.Errorf("clauses.toml: "+format, args...))
}

func (v *validator) checkRow(row Row) {
	if _, known := v.clauseRows[row.Clause]; !known {
		v.report("row %q: no clause %q", row.ID, row.Clause)
	}
	v.clauseRows[row.Clause]++
	if v.rowIDs[row.ID] || row.ID == "" {
		v.report("row %q: needs an id of its own", row.ID)
	}
	v.rowIDs[row.ID] = true
	if row.Target != againstModule && row.Target != againstProcess && row.Target != againstBoth {
		v.report("row %q: runs_against is %q, allowed are module, process, both", row.ID, row.Target)
	}
	if _, err := v.suite.findPlan(row.Plan); err != nil {
		v.report("row %q: %w", row.ID, err)
	}
	v.checkVariants(row)
	if len(row.Events) == 0 || len(row.Expected) == 0 {
		v.report("row %q: needs events and what is expected", row.ID)
	}
	for _, text := range slices.Concat(row.Given, row.Events) {
		if _, err := parseStep(text); err != nil {
			v.report("row %q: %w", row.ID, err)
		}
	}
}

func (v *validator) checkVariants(row Row) {
	for name, reason := range row.Exclusions {
		if reason == "" || name == Plain.Name || !isVariant(name) {
			v.report("row %q: but %q needs a variant other than plain, and a reason", row.ID, name)
		}
	}
	if row.OnlyVariant != "" && !isVariant(row.OnlyVariant) {
		v.report("row %q: only_variant %q is no variant", row.ID, row.OnlyVariant)
	}
}

// checkChange is called after all rows were checked.
func (v *validator) checkChange(change Change) {
	if v.changeNames[change.Name] || len(change.Edits) == 0 || len(change.ModuleRows)+len(change.ProcessRows) == 0 {
		v.report("change %q: needs a name of its own, edits, and rows that catch it", change.Name)
	}
	v.changeNames[change.Name] = true
	if change.Variant != "" && !isVariant(change.Variant) {
		v.report("change %q: no variant %q", change.Name, change.Variant)
	}
	for _, id := range slices.Concat(change.ModuleRows, change.ProcessRows) {
		if !v.rowIDs[id] {
			v.report("change %q: no row %q", change.Name, id)
		}
	}
}

// isVariant reports whether a variant has that name.
func isVariant(name string) bool {
	return slices.ContainsFunc(Variants, func(variant Variant) bool { return variant.Name == name })
}
