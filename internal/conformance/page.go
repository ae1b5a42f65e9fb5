package conformance

import (
	_ "embed"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page writes docs/conformance.md from the tables.
func (s *Suite) Page() (string, error) {
	page, err := template.New("page").Funcs(template.FuncMap{
		"rows": s.rowsOf, "but": s.exclusionsOf, "listed": formatList, "names": func(ids []string) string { return strings.Join(ids, ", ") },
	}).Parse(pageTemplate)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	err = page.Execute(&out, struct {
		*Suite
		Variants []Variant
	}{s, Variants})
	return out.String(), err
}

// of gives a clause's rows.
func (s *Suite) rowsOf(clause string) (rows []Row) {
	for _, r := range s.Rows {
		if r.Clause == clause {
			rows = append(rows, r)
		}
	}
	return rows
}

// but gives the rows that a variant leaves out, each with the reason.
func (s *Suite) exclusionsOf(variant string) (rows []string) {
	for _, r := range s.Rows {
		if why := r.Exclusions[variant]; why != "" {
			rows = append(rows, r.ID+": "+why)
		}
	}
	return rows
}

// listed writes steps or patterns for a cell of the page.
func formatList(items []string) string {
	out := make([]string, len(items))
	for i, s := range items {
		out[i] = "`" + s + "`"
	}
	return strings.Join(out, ", ")
}
