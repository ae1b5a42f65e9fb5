package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var namedTest = regexp.MustCompile("`((?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9_]*)`")

// TestPages_nameTestsThatExist fails where a page names a test, benchmark or fuzz target that no
// test file has.
func TestPages_nameTestsThatExist(t *testing.T) {
	declared := declaredTests(t)
	incidents, err := filepath.Glob("../../../docs/incidents/*.md")
	if err != nil || len(incidents) == 0 {
		t.Fatalf("%d incidents, %v", len(incidents), err)
	}
	pages := append([]string{"oncall", "architecture", "capacity"}, operatorPages...)
	for _, path := range incidents {
		pages = append(pages, filepath.Join("incidents", strings.TrimSuffix(filepath.Base(path), ".md")))
	}
	named := 0
	for _, name := range pages {
		for _, found := range namedTest.FindAllStringSubmatch(readPage(t, name), -1) {
			if named++; !declared[found[1]] {
				t.Errorf("%s.md: %s is in no test file", name, found[1])
			}
		}
	}
	if named == 0 {
		t.Error("no test named on any page")
	}
}

// declaredTests gives the names of the functions in all test files.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	for _, root := range []string{"../../../cmd", "../../../internal", "../../../policy"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, declaration := range file.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
					declared[function.Name.Name] = true
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return declared
}
