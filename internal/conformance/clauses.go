// Package conformance plays the clauses of the design page against the gateway: each row of clauses.toml says what is
// given, what happens, what must follow and what must not. A row is played against the module through its host and,
// where it can be seen from outside, against a real process on sockets. docs/conformance.md is written from the file.
package conformance

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

//go:embed clauses.toml
var suiteFile []byte

// Tables is the data file.
type Suite struct {
	Forbidden []string `toml:"never"` // patterns that no row may show
	Clauses   []Clause `toml:"clause"`
	Plans     []Plan   `toml:"plan"`
	Rows      []Row    `toml:"row"`
	Changes   []Change `toml:"change"`
}

// Clause is one thing that the design page says.
type Clause struct {
	ID     string `toml:"id"`
	Text   string `toml:"words"`  // ours
	Source string `toml:"source"` // the paragraph of the design page
}

// Plan is what a row's customers have bought.
type Plan struct {
	Name  string  `toml:"name"`
	Rate  float64 `toml:"rate"`  // units a second, above 0
	Burst float64 `toml:"burst"` // units
}

// Row is a clause in play. Steps and patterns are explained at play and seen.
type Row struct {
	ID            string   `toml:"id"`
	Clause        string   `toml:"clause"`
	Text          string   `toml:"text"`
	Target        string   `toml:"where"`    // module, process or both
	Plan          string   `toml:"plan"`     // name of a plan; of every task
	Gateways      int      `toml:"gateways"` // in the deployment and in the customers' sets; 0: one
	CrossesWindow bool     `toml:"crosses"`  // an edge of the customer's windows comes soon: the process waits for it
	Given         []string `toml:"given"`    // steps that are not watched
	Events        []string `toml:"event"`    // steps that are
	Expected      []string `toml:"must"`     // patterns seen in this order, others may stand between
	Exactly       bool     `toml:"exactly"`  // no others may
	Forbidden     []string `toml:"must_not"` // patterns not seen; "X before Y": not until Y is seen
	// But are the variants that it is not played with, as the part changes the clause on purpose, with the reason.
	Exclusions map[string]string `toml:"but"`
	// Only is the one variant that it is played with; empty: all that do not stand for their own rows alone.
	OnlyVariant string `toml:"only"`
}

// Change is a changed program that rows must catch: what each edit replaces stands once in its file.
type Change struct {
	Name        string   `toml:"name"`
	Variant     string   `toml:"variant"` // that the rows are played with; empty: plain
	Edits       []Edit   `toml:"edit"`
	ModuleRows  []string `toml:"caught"`  // rows that fail with it against the module; others may as well
	ProcessRows []string `toml:"sockets"` // rows played against a process with it, which all fail
}

// Edit replaces text in a file.
type Edit struct {
	File string `toml:"file"` // from the project's root
	Old  string `toml:"old"`
	New  string `toml:"new"`
}

// Load reads the data file and gives all that is wrong with it at once.
func Load() (*Suite, error) { return Parse(suiteFile) }

// Parse reads tables: a clause without a row, a row without a clause, a name used twice and an unknown key are errors.
func Parse(text []byte) (*Suite, error) {
	var s Suite
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return nil, fmt.Errorf("clauses.toml: %w", err)
	}
	return &s, s.validate()
}

func (s *Suite) validate() error {
	var problems []error
	report := func(form string, a ...any) { problems = append(problems, fmt.Errorf("clauses.toml: "+form, a...)) }
	named, rows, caught := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, c := range s.Clauses {
		if _, twice := named[c.ID]; twice || c.ID == "" || c.Text == "" || c.Source == "" {
			report("clause %q: needs an id of its own, words and a source", c.ID)
		}
		named[c.ID] = 0
	}
	for _, r := range s.Rows {
		if _, known := named[r.Clause]; !known {
			report("row %q: no clause %q", r.ID, r.Clause)
		}
		named[r.Clause]++
		if rows[r.ID] || r.ID == "" {
			report("row %q: needs an id of its own", r.ID)
		}
		rows[r.ID] = true
		if r.Target != "module" && r.Target != "process" && r.Target != "both" {
			report("row %q: where is %q, allowed are module, process, both", r.ID, r.Target)
		}
		if _, err := s.findPlan(r.Plan); err != nil {
			report("row %q: %w", r.ID, err)
		}
		for name, why := range r.Exclusions {
			if why == "" || name == Plain.Name || !isVariant(name) {
				report("row %q: but %q needs a variant other than plain, and a reason", r.ID, name)
			}
		}
		if r.OnlyVariant != "" && !isVariant(r.OnlyVariant) {
			report("row %q: only %q is no variant", r.ID, r.OnlyVariant)
		}
		if len(r.Events) == 0 || len(r.Expected) == 0 {
			report("row %q: needs an event and what must follow", r.ID)
		}
		for _, s := range slices.Concat(r.Given, r.Events) {
			if _, err := parseStep(s); err != nil {
				report("row %q: %w", r.ID, err)
			}
		}
	}
	for _, c := range s.Clauses {
		if named[c.ID] == 0 {
			report("clause %q has no row", c.ID)
		}
	}
	for _, change := range s.Changes {
		if caught[change.Name] || len(change.Edits) == 0 || len(change.ModuleRows)+len(change.ProcessRows) == 0 {
			report("change %q: needs a name of its own, edits, and rows that catch it", change.Name)
		}
		caught[change.Name] = true
		if change.Variant != "" && !isVariant(change.Variant) {
			report("change %q: no variant %q", change.Name, change.Variant)
		}
		for _, id := range slices.Concat(change.ModuleRows, change.ProcessRows) {
			if !rows[id] {
				report("change %q: no row %q", change.Name, id)
			}
		}
	}
	return errors.Join(problems...)
}

func (s *Suite) findPlan(name string) (Plan, error) {
	for _, plan := range s.Plans {
		if plan.Name == name && plan.Rate > 0 && plan.Burst > 0 {
			return plan, nil
		}
	}
	return Plan{}, fmt.Errorf("no plan %q with a rate and a burst", name)
}

// played tells whether a variant has that name.
func isVariant(name string) bool {
	return slices.ContainsFunc(Variants, func(variant Variant) bool { return variant.Name == name })
}

// at tells whether a row is played there.
func (r *Row) runsAgainst(where string) bool { return r.Target == "both" || r.Target == where }
