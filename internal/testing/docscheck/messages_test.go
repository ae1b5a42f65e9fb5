package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// message is where the code logs a fixed text.
type message struct {
	level    string // method of the logger; "Log" for a line of the module, which the dispatcher logs for it
	position string // file and line
}

var (
	zapMethods = []string{"Info", "Warn", "Error", "DPanic", "Panic", "Fatal"}
	derived    = []string{"With", "Named", "WithOptions", "WithLazy"} // methods that give another logger
)

func TestMessagesIn(t *testing.T) {
	for _, row := range []struct {
		name, code  string
		want, wrong string // the message as "level text", or the problem
	}{
		{"literal", `func f() { x.log.Warn("a: b", zap.Error(err)) }`, "Warn a: b", ""},
		{"sum of literals", `func f() { log.Error("a: " + "b") }`, "Error a: b", ""},
		{"constant", "const text = \"a: b\"\nfunc f() { logger.Info(text) }", "Info a: b", ""},
		{"derived logger", `func f() { log.With(field).Warn("a: b") }`, "Warn a: b", ""},
		{"in a goroutine", `func f() { go func() { options.Logger.Warn("a: b") }() }`, "Warn a: b", ""},
		{"line of the module", `func f() { s.env.host.Log("a: b") }`, "Log a: b", ""},
		{
			"another's method of the same name", `func f() { client.Info(ctx, address); http.Error(w, "a: b", 400) }`,
			"", "",
		},
		{"another's Log", `func f() { math.Log(power / first) }`, "", ""},
		{"text made on the way", `func f() { log.Warn(text(x)) }`, "", "a.go:2: Warn with a text that is no constant"},
		{
			"line of the module made on the way", `func f() { host.Log(texts[x]) }`, "",
			"a.go:2: Log with a text that is no constant",
		},
		{"a method that passes the module's lines on", `func (h host) Log(line string) { h.log.Info(line) }`, "", ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			folder := t.TempDir()
			if err := os.WriteFile(filepath.Join(folder, "a.go"), []byte("package a\n"+row.code+"\n"),
				0o600); err != nil {
				t.Fatal(err)
			}
			messages, problems := messagesIn(t, []string{folder})
			got, wrong := "", strings.Join(problems, "; ")
			for text, logged := range messages {
				got += logged.level + " " + text
			}
			if wrong = strings.TrimPrefix(wrong, folder+"/"); got != row.want || wrong != row.wrong {
				t.Errorf("message %q, problem %q; want %q, %q", got, wrong, row.want, row.wrong)
			}
		})
	}
}

// messagesIn gives the texts that the folders' Go files log, tests left out, and says where a text
// is no constant: such a line cannot be found by searching for it.
func messagesIn(t *testing.T, folders []string) (map[string]message, []string) {
	t.Helper()
	messages, problems := map[string]message{}, []string(nil)
	for _, folder := range folders {
		paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		paths = slices.DeleteFunc(paths, func(path string) bool { return strings.HasSuffix(path, "_test.go") })
		files, set := make([]*ast.File, 0, len(paths)), token.NewFileSet()
		for _, path := range paths {
			file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, file)
		}
		c := collector{set: set, constants: constantsOf(files), messages: messages}
		for _, file := range files {
			for _, declared := range file.Decls {
				if function, ok := declared.(*ast.FuncDecl); !ok || function.Name.Name != "Log" {
					ast.Inspect(declared, c.visit)
				}
			}
		}
		problems = append(problems, c.problems...)
	}
	return messages, problems
}

// collector takes the messages of one package.
type collector struct {
	set       *token.FileSet
	constants map[string]string // the package's texts, by name
	messages  map[string]message
	problems  []string
}

func (c *collector) visit(node ast.Node) bool {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return true
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogCall(method) {
		return true
	}
	position := c.set.Position(call.Pos())
	where := position.Filename + ":" + itoa(position.Line)
	level := method.Sel.Name
	text, ok := c.textOf(call.Args[0])
	if !ok {
		c.problems = append(c.problems, where+": "+level+" with a text that is no constant")
		return true
	}
	if earlier, ok := c.messages[text]; !ok || earlier.level == "Info" {
		c.messages[text] = message{level, where}
	}
	return true
}

// isLogCall tells a call of a logger, or of the module's host, by the name of what it is called on.
func isLogCall(method *ast.SelectorExpr) bool {
	owner := strings.ToLower(ownerName(method.X))
	if method.Sel.Name == "Log" {
		return strings.HasSuffix(owner, "host")
	}
	isLogger := strings.HasSuffix(owner, "log") || strings.HasSuffix(owner, "logger")
	return isLogger && slices.Contains(zapMethods, method.Sel.Name)
}

func ownerName(owner ast.Expr) string {
	switch owner := owner.(type) {
	case *ast.Ident:
		return owner.Name
	case *ast.SelectorExpr:
		return owner.Sel.Name
	case *ast.CallExpr:
		if method, ok := owner.Fun.(*ast.SelectorExpr); ok && slices.Contains(derived, method.Sel.Name) {
			return ownerName(method.X)
		}
	}
	return ""
}

// textOf is the value of a text that is a constant: a literal, a constant of the package, or a sum
// of such.
func (c *collector) textOf(text ast.Expr) (string, bool) {
	switch text := text.(type) {
	case *ast.BasicLit:
		value, err := strconv.Unquote(text.Value)
		return value, err == nil
	case *ast.Ident:
		value, ok := c.constants[text.Name]
		return value, ok
	case *ast.ParenExpr:
		return c.textOf(text.X)
	case *ast.BinaryExpr:
		first, firstOK := c.textOf(text.X)
		second, secondOK := c.textOf(text.Y)
		return first + second, firstOK && secondOK && text.Op == token.ADD
	}
	return "", false
}

// constantsOf gives the package's constants whose value is one literal text.
func constantsOf(files []*ast.File) map[string]string {
	constants := map[string]string{}
	for _, file := range files {
		for _, declared := range file.Decls {
			group, ok := declared.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				addConstants(constants, spec.(*ast.ValueSpec))
			}
		}
	}
	return constants
}

func addConstants(constants map[string]string, spec *ast.ValueSpec) {
	for i, name := range spec.Names {
		if i >= len(spec.Values) {
			return
		}
		if literal, ok := spec.Values[i].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			constants[name.Name], _ = strconv.Unquote(literal.Value) // the parser took it, so it is well-formed
		}
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
