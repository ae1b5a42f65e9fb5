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
		"cases": s.casesOf, "but": s.exclusionsOf, "listed": formatList,
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

// casesOf returns a clause's cases.
func (s *Suite) casesOf(clause string) (cases []Case) {
	for _, testCase := range s.Cases {
		if testCase.Clause == clause {
			cases = append(cases, testCase)
		}
	}
	return cases
}

// exclusionsOf returns the cases that a variant leaves out, each with the reason.
func (s *Suite) exclusionsOf(variant string) (names []string) {
	for _, testCase := range s.Cases {
		if reason := testCase.Exclusions[variant]; reason != "" {
			names = append(names, testCase.ID+": "+reason)
		}
	}
	return names
}

// formatList writes actions or patterns for a cell of the page.
func formatList(items []string) string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = "`" + item + "`"
	}
	return strings.Join(out, ", ")
}
