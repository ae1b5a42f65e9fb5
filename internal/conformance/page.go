package conformance

import (
	_ "embed"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page returns the text of docs/conformance.md.
func (s *Suite) Page() (string, error) {
	page, err := template.New("page").Funcs(template.FuncMap{
		"rows": s.rowsOf, "but": s.exclusionsOf, "listed": formatList,
		"names": func(ids []string) string { return strings.Join(ids, ", ") },
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

// rowsOf returns a clause's rows.
func (s *Suite) rowsOf(clause string) (rows []Row) {
	for _, row := range s.Rows {
		if row.Clause == clause {
			rows = append(rows, row)
		}
	}
	return rows
}

// exclusionsOf returns the rows that a variant leaves out, each with the reason.
func (s *Suite) exclusionsOf(variant string) (rows []string) {
	for _, row := range s.Rows {
		if reason := row.Exclusions[variant]; reason != "" {
			rows = append(rows, row.ID+": "+reason)
		}
	}
	return rows
}

// formatList writes steps or patterns for a cell of the page.
func formatList(items []string) string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = "`" + item + "`"
	}
	return strings.Join(out, ", ")
}
