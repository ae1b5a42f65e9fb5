package docscheck

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	modulePrefix = "harrierhoist/"
	minHouses    = 9 // a change of the table's form must not empty the check
)

// houseTableHeader is the head of the table that lists houses and what each may import.
const houseTableHeader = "| house | what lives there | may import | its tests also |"

// backtickedPath is a folder of this module as the table writes it.
var backtickedPath = regexp.MustCompile("`([a-z/]+)`")

// house is a row of the table: a folder, and the folders that its code and its tests may import.
type house struct {
	folder       string
	code, inTest []string
	used         map[string]bool
}

// allows reports whether the house may import a package, and records which entry said so.
func (h *house) allows(imported string, isTest bool) bool {
	entries := h.code
	if isTest {
		entries = slices.Concat(h.code, h.inTest)
	}
	for _, entry := range entries {
		if isBelow(imported, entry) {
			h.used[entry] = true
			return true
		}
	}
	return false
}

// isBelow reports whether a package is a folder itself or stands under it.
func isBelow(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }

// TestImports_followTheDrawnHouses fails on an import between houses that the architecture page
// does not have in its table, and on an entry of the table that no import needs.
func TestImports_followTheDrawnHouses(t *testing.T) {
	houses := readHouses(t)
	for _, file := range goFiles(t) {
		checkImports(t, houses, file)
	}
	for _, h := range houses {
		for _, entry := range slices.Concat(h.code, h.inTest) {
			if !h.used[entry] {
				t.Errorf("the page lets %s import %s, which nothing there does", h.folder, entry)
			}
		}
	}
}

// readHouses reads the table of the architecture page.
func readHouses(t *testing.T) []*house {
	t.Helper()
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), houseTableHeader+"\n")
	if !found {
		t.Fatalf("the page has no table headed %q", houseTableHeader)
	}
	table, _, _ = strings.Cut(table, "\n\n")
	var houses []*house
	for _, line := range strings.Split(table, "\n")[1:] {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if len(cells) != strings.Count(houseTableHeader, "|")-1 {
			t.Fatalf("a row has %d cells: %s", len(cells), line)
		}
		houses = append(houses, &house{
			folder: paths(cells[0])[0],
			code:   paths(cells[2]),
			inTest: paths(cells[3]),
			used:   map[string]bool{},
		})
	}
	if len(houses) < minHouses {
		t.Fatalf("only %d houses in the table", len(houses))
	}
	return houses
}

// paths are the folders that a cell names.
func paths(cell string) []string {
	var folders []string
	for _, match := range backtickedPath.FindAllStringSubmatch(cell, -1) {
		folders = append(folders, path.Clean(match[1]))
	}
	return folders
}

// goFiles are the paths of the module's Go files, relative to its root.
func goFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder),
			func(name string, _ fs.DirEntry, err error) error {
				if err != nil || !strings.HasSuffix(name, ".go") {
					return err
				}
				relative, err := filepath.Rel(repositoryRoot, name)
				files = append(files, filepath.ToSlash(relative))
				return err
			})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// houseOf is the house in which a folder stands: the innermost, where one house stands in another.
func houseOf(houses []*house, folder string) *house {
	var innermost *house
	for _, h := range houses {
		if isBelow(folder, h.folder) && (innermost == nil || len(h.folder) > len(innermost.folder)) {
			innermost = h
		}
	}
	return innermost
}

// checkImports reports the imports of a file that its house may not have.
func checkImports(t *testing.T, houses []*house, file string) {
	t.Helper()
	folder := path.Dir(file)
	own := houseOf(houses, folder)
	if own == nil {
		t.Errorf("%s stands in no house of the page", file)
		return
	}
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, file), nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range parsed.Imports {
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		imported, inModule := strings.CutPrefix(importPath, modulePrefix)
		if !inModule || isBelow(imported, own.folder) {
			continue
		}
		if !own.allows(imported, strings.HasSuffix(file, "_test.go")) {
			t.Errorf("%s imports %s, which the page does not draw", file, imported)
		}
	}
}
