package conformance

import (
	_ "embed"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var frame string

// Page writes docs/conformance.md from the tables.
func (t *Tables) Page() (string, error) {
	page, err := template.New("page").Funcs(template.FuncMap{
		"rows": t.of, "but": t.but, "listed": listed, "names": func(ids []string) string { return strings.Join(ids, ", ") },
	}).Parse(frame)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	err = page.Execute(&out, struct {
		*Tables
		Variants []Variant
	}{t, Variants})
	return out.String(), err
}

// of gives a clause's rows.
func (t *Tables) of(clause string) (rows []Row) {
	for _, r := range t.Rows {
		if r.Clause == clause {
			rows = append(rows, r)
		}
	}
	return rows
}

// but gives the rows that a variant leaves out, each with the reason.
func (t *Tables) but(variant string) (rows []string) {
	for _, r := range t.Rows {
		if why := r.But[variant]; why != "" {
			rows = append(rows, r.ID+": "+why)
		}
	}
	return rows
}

// listed writes steps or patterns for a cell of the page.
func listed(items []string) string {
	out := make([]string, len(items))
	for i, s := range items {
		out[i] = "`" + s + "`"
	}
	return strings.Join(out, ", ")
}
