// Package conformance tests the gateway against the clauses of the design page. Each case of
// clauses.toml gives the actions of a scenario, the events that must follow and those that must
// not. A case runs against the decision module through its host and, where its outcome is visible
// from outside, against a real process on sockets. docs/conformance.md is generated from the file.
package conformance

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

//go:embed clauses.toml
var suiteFile []byte

// What a case may run against.
const (
	againstModule  = "module"
	againstProcess = "process"
	againstBoth    = "both"
)

// Suite is the data file.
type Suite struct {
	Forbidden []string `toml:"forbidden"` // patterns of events that no case may show
	Clauses   []Clause `toml:"clause"`
	Plans     []Plan   `toml:"plan"`
	Cases     []Case   `toml:"case"`
	Changes   []Change `toml:"change"`
}

// Clause is one requirement of the design page.
type Clause struct {
	ID     string `toml:"id"`
	Text   string `toml:"summary"` // in the project's own terms
	Source string `toml:"source"`  // the paragraph of the design page
}

// Plan is what a case's customers have bought.
type Plan struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`  // units a second, above 0
	Burst float64 `toml:"burst"` // units, above 0
}

// Case is a test of a clause. The syntax of actions is described at action, that of patterns at
// eventLog.
type Case struct {
	ID            string   `toml:"id"`
	Clause        string   `toml:"clause"`
	Text          string   `toml:"text"`
	Target        string   `toml:"runs_against"`   // module, process or both
	Plan          string   `toml:"plan"`           // name of the plan of every request
	Gateways      int      `toml:"gateways"`       // in the settings and in the customers' sets; 0 means 1
	CrossesWindow bool     `toml:"crosses_window"` // an edge of the customer's windows is near: a process waits for it
	Given         []string `toml:"given"`          // actions whose events are not examined
	Events        []string `toml:"events"`         // actions whose events are
	// patterns that must match in this order; other events may lie between
	Expected []string `toml:"expected"`
	Exactly  bool     `toml:"exactly"` // no other events may
	// patterns that must not match; "X before Y": not until Y has matched
	Forbidden []string `toml:"forbidden"`
	// Exclusions are the variants that the case does not run with, by name, with the reason: there
	// the part changes the clause on purpose.
	Exclusions map[string]string `toml:"but"`
	// OnlyVariant is the one variant that the case runs with; empty means all but those with
	// OnlyNamedCases.
	OnlyVariant string `toml:"only_variant"`
}

// Change is a deliberately broken program that cases must catch. What each edit replaces stands
// exactly once in its file.
type Change struct {
	Name         string   `toml:"name"`
	Variant      string   `toml:"variant"` // that the cases run with; empty means plain
	Edits        []Edit   `toml:"edit"`
	ModuleCases  []string `toml:"module_cases"`  // cases that must fail against the module; others may as well
	ProcessCases []string `toml:"process_cases"` // cases that run against a process and must all fail
}

// Edit replaces text in a file.
type Edit struct {
	File string `toml:"file"` // from the repository's root
	Old  string `toml:"old"`
	New  string `toml:"new"`
}

// Load reads the embedded data file. The error joins all problems found.
func Load() (*Suite, error) { return Parse(suiteFile) }

// Parse reads a suite. A clause without a case, a case without a clause, a duplicate name and an
// unknown key are errors; the error joins all problems found.
func Parse(text []byte) (*Suite, error) {
	var s Suite
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return nil, fmt.Errorf("clauses.toml: %w", err)
	}
	return &s, errors.Join(s.validate()...)
}

// findPlan returns the plan of that name.
func (s *Suite) findPlan(name string) (Plan, error) {
	for _, plan := range s.Plans {
		if plan.Name == name && plan.Rate > 0 && plan.Burst > 0 {
			return plan, nil
		}
	}
	return Plan{}, fmt.Errorf("no plan %q with a rate and a burst", name)
}

// runsAgainst reports whether the case runs against the module or against a process.
func (r *Case) runsAgainst(where string) bool { return r.Target == againstBoth || r.Target == where }

// runsWith reports whether the case runs with a variant.
func (r *Case) runsWith(variant Variant) bool {
	if r.Exclusions[variant.Name] != "" {
		return false
	}
	if r.OnlyVariant == "" {
		return !variant.OnlyNamedCases
	}
	return r.OnlyVariant == variant.Name
}
