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
var clauses []byte

// Tables is the data file.
type Tables struct {
	Never   []string `toml:"never"` // patterns that no row may show
	Clauses []Clause `toml:"clause"`
	Plans   []Plan   `toml:"plan"`
	Rows    []Row    `toml:"row"`
	Changes []Change `toml:"change"`
}

// Clause is one thing that the design page says.
type Clause struct {
	ID     string `toml:"id"`
	Words  string `toml:"words"`  // ours
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
	ID       string   `toml:"id"`
	Clause   string   `toml:"clause"`
	Text     string   `toml:"text"`
	Where    string   `toml:"where"`    // module, process or both
	Plan     string   `toml:"plan"`     // name of a plan; of every task
	Gateways int      `toml:"gateways"` // in the deployment and in the customers' sets; 0: one
	Crosses  bool     `toml:"crosses"`  // an edge of the customer's windows comes soon: the process waits for it
	Given    []string `toml:"given"`    // steps that are not watched
	Event    []string `toml:"event"`    // steps that are
	Must     []string `toml:"must"`     // patterns seen in this order, others may stand between
	Exactly  bool     `toml:"exactly"`  // no others may
	MustNot  []string `toml:"must_not"` // patterns not seen; "X before Y": not until Y is seen
	// But are the variants that it is not played with, as the part changes the clause on purpose, with the reason.
	But map[string]string `toml:"but"`
	// Only is the one variant that it is played with; empty: all that do not stand for their own rows alone.
	Only string `toml:"only"`
}

// Change is a changed program that rows must catch: what each edit replaces stands once in its file.
type Change struct {
	Name    string   `toml:"name"`
	Variant string   `toml:"variant"` // that the rows are played with; empty: plain
	Edits   []Edit   `toml:"edit"`
	Caught  []string `toml:"caught"`  // rows that fail with it against the module; others may as well
	Sockets []string `toml:"sockets"` // rows played against a process with it, which all fail
}

// Edit replaces text in a file.
type Edit struct {
	File string `toml:"file"` // from the project's root
	Old  string `toml:"old"`
	New  string `toml:"new"`
}

// Load reads the data file and gives all that is wrong with it at once.
func Load() (*Tables, error) { return Parse(clauses) }

// Parse reads tables: a clause without a row, a row without a clause, a name used twice and an unknown key are errors.
func Parse(text []byte) (*Tables, error) {
	var t Tables
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&t); err != nil {
		return nil, fmt.Errorf("clauses.toml: %w", err)
	}
	return &t, t.check()
}

func (t *Tables) check() error {
	var wrong []error
	say := func(form string, a ...any) { wrong = append(wrong, fmt.Errorf("clauses.toml: "+form, a...)) }
	named, rows, caught := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, c := range t.Clauses {
		if _, twice := named[c.ID]; twice || c.ID == "" || c.Words == "" || c.Source == "" {
			say("clause %q: needs an id of its own, words and a source", c.ID)
		}
		named[c.ID] = 0
	}
	for _, r := range t.Rows {
		if _, known := named[r.Clause]; !known {
			say("row %q: no clause %q", r.ID, r.Clause)
		}
		named[r.Clause]++
		if rows[r.ID] || r.ID == "" {
			say("row %q: needs an id of its own", r.ID)
		}
		rows[r.ID] = true
		if r.Where != "module" && r.Where != "process" && r.Where != "both" {
			say("row %q: where is %q, allowed are module, process, both", r.ID, r.Where)
		}
		if _, err := t.plan(r.Plan); err != nil {
			say("row %q: %w", r.ID, err)
		}
		for name, why := range r.But {
			if why == "" || name == Plain.Name || !played(name) {
				say("row %q: but %q needs a variant other than plain, and a reason", r.ID, name)
			}
		}
		if r.Only != "" && !played(r.Only) {
			say("row %q: only %q is no variant", r.ID, r.Only)
		}
		if len(r.Event) == 0 || len(r.Must) == 0 {
			say("row %q: needs an event and what must follow", r.ID)
		}
		for _, s := range slices.Concat(r.Given, r.Event) {
			if _, err := read(s); err != nil {
				say("row %q: %w", r.ID, err)
			}
		}
	}
	for _, c := range t.Clauses {
		if named[c.ID] == 0 {
			say("clause %q has no row", c.ID)
		}
	}
	for _, c := range t.Changes {
		if caught[c.Name] || len(c.Edits) == 0 || len(c.Caught)+len(c.Sockets) == 0 {
			say("change %q: needs a name of its own, edits, and rows that catch it", c.Name)
		}
		caught[c.Name] = true
		if c.Variant != "" && !played(c.Variant) {
			say("change %q: no variant %q", c.Name, c.Variant)
		}
		for _, id := range slices.Concat(c.Caught, c.Sockets) {
			if !rows[id] {
				say("change %q: no row %q", c.Name, id)
			}
		}
	}
	return errors.Join(wrong...)
}

func (t *Tables) plan(name string) (Plan, error) {
	for _, p := range t.Plans {
		if p.Name == name && p.Rate > 0 && p.Burst > 0 {
			return p, nil
		}
	}
	return Plan{}, fmt.Errorf("no plan %q with a rate and a burst", name)
}

// played tells whether a variant has that name.
func played(name string) bool {
	return slices.ContainsFunc(Variants, func(v Variant) bool { return v.Name == name })
}

// at tells whether a row is played there.
func (r *Row) at(where string) bool { return r.Where == "both" || r.Where == where }
