package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	repositoryRoot   = "../../.."
	architecturePage = repositoryRoot + "/docs/architecture.md"
	capacityPage     = repositoryRoot + "/docs/capacity.md"
)

// reference is a package's function, type or constant, or a type's method or field, as pages name
// it.
var reference = regexp.MustCompile("`([a-z]+\\.[A-Za-z]+(?:\\.[A-Za-z]+)?)`")

// fileSuffixes end what looks like a reference and is a file's name.
var fileSuffixes = []string{".md", ".json", ".toml", ".go", ".mod"}

// referencePages are the pages whose references are checked, each with how many it has at the
// least: a change of its form must not empty the check.
var referencePages = map[string]int{architecturePage: 50, capacityPage: 0}

func TestPages_nameFunctionsAndConstantsThatExist(t *testing.T) {
	declared := declarations(t)
	for path, minReferences := range referencePages {
		page, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		checked := 0
		for _, match := range reference.FindAllStringSubmatch(string(page), -1) {
			name := match[1]
			if slices.ContainsFunc(fileSuffixes, func(suffix string) bool { return strings.HasSuffix(name, suffix) }) {
				continue
			}
			checked++
			if !declared[name] {
				t.Errorf("%s names %s, which no package declares", path, name)
			}
		}
		if checked < minReferences {
			t.Errorf("%s: only %d references found", path, checked)
		}
	}
}

// declarations are the names that the product's packages declare, as package.Name and
// package.Type.Member.
func declarations(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	files := token.NewFileSet()
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder),
			func(path string, _ fs.DirEntry, err error) error {
				if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
					return err
				}
				file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
				if err == nil {
					declare(declared, file)
				}
				return err
			})
		if err != nil {
			t.Fatal(err)
		}
	}
	return declared
}

// declare adds a file's declarations.
func declare(declared map[string]bool, file *ast.File) {
	prefix := file.Name.Name + "."
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			declared[prefix+receiverPrefix(declaration)+declaration.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					declared[prefix+spec.Name.Name] = true
					declareMembers(declared, prefix+spec.Name.Name+".", spec.Type)
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						declared[prefix+name.Name] = true
					}
				}
			}
		}
	}
}

// receiverPrefix is the name of a method's type and a dot; of a function it is empty.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// declareMembers adds a struct's fields, or an interface's methods.
func declareMembers(declared map[string]bool, prefix string, typ ast.Expr) {
	var members *ast.FieldList
	switch typ := typ.(type) {
	case *ast.StructType:
		members = typ.Fields
	case *ast.InterfaceType:
		members = typ.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			declared[prefix+name.Name] = true
		}
	}
}
