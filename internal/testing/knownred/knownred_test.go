package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// testModule has packages whose tests pass, fail, panic and hang, and one that does not build.
var testModule = map[string]string{
	"go.mod":            "module m\n\ngo 1.26\n",
	"good/good_test.go": "func TestGood(t *testing.T) {}\nfunc TestSkipped(t *testing.T) { t.Skip() }",
	"one/one_test.go": "func TestGood(t *testing.T) {}\n" +
		"func TestRed(t *testing.T) { t.Run(\"x\", func(t *testing.T) { t.Fail() }) }",
	"two/two_test.go":   "func TestRed(t *testing.T) { t.Fail() }\nfunc TestRedToo(t *testing.T) { t.Fail() }",
	"boom/boom_test.go": "func TestBoom(t *testing.T) { panic(1) }",
	"long/long_test.go": "func TestLong(t *testing.T) { select {} }",
	"none/none_test.go": "func TestNone(t *testing.T) { none }",
	"leak/leak_test.go": "import \"os\"\nfunc TestMain(m *testing.M) { m.Run(); os.Exit(1) }\n" +
		"func TestGood(t *testing.T) {}",
}

// listOf is a list with an entry for each test, given as "package TestName".
func listOf(tests ...string) string {
	var entries []string
	for _, test := range tests {
		entries = append(entries, entryOf(test))
	}
	return strings.Join(entries, "\n")
}

// entryOf is a complete entry.
func entryOf(test string) string {
	return "test: " + test + "\ncommand: go test ./one -run TestRed, seed none\nseen: it is so\nissue: 7\n"
}

// withLine is a complete entry with one of its lines replaced.
func withLine(key, line string) string {
	var lines []string
	for _, old := range strings.SplitAfter(entryOf("m/one TestRed"), "\n") {
		if strings.HasPrefix(old, key+":") {
			old = line
		}
		lines = append(lines, old)
	}
	return strings.Join(lines, "")
}

// runCases are lists and arguments, and in want what the error has; empty: there is none.
var runCases = map[string]struct{ list, args, want string }{
	"a named test fails":            {listOf("m/one TestRed"), "m/one m/good", ""},
	"two of a package":              {listOf("m/two TestRed", "m/two TestRedToo"), "m/two m/good", ""},
	"under -race it is left out":    {listOf("m/one TestRed"), "-race m/one", ""},
	"under -race another fails":     {listOf("m/one TestRed"), "-race m/two", "exit status 1"},
	"its package is not there":      {listOf("m/nowhere TestRed"), "m/one", "no such package"},
	"a named test panics":           {listOf("m/boom TestBoom"), "m/boom", ""},
	"of a package that comes later": {listOf("m/one TestRed"), "m/good", ""},
	"one of two is not named":       {listOf("m/two TestRed"), "m/two", "exit status 1"},
	"the same name elsewhere":       {listOf("m/one TestRed"), "m/one m/two", "exit status 1"},
	"a longer name":                 {listOf("m/two TestRedToo"), "m/two", "exit status 1"},
	"a named test passes":           {listOf("m/good TestGood"), "m/good", "it passes"},
	"a named test is passed over":   {listOf("m/good TestSkipped"), "m/good", "it passes"},
	"a named test is not there":     {listOf("m/good TestNone"), "m/good", "no such test"},
	"its package does not build":    {listOf("m/none TestNone"), "m/none", "not by this test"},
	"another does not build":        {listOf("m/one TestRed"), "m/one m/none", "exit status 1"},
	"a named test hangs":            {listOf("m/long TestLong"), "m/long", "not by this test"},
	"it passes in a leaking one":    {listOf("m/leak TestGood"), "m/leak", "not by this test"},
	"an unnamed one panics":         {listOf("m/one TestRed"), "m/one m/boom", "exit status 1"},
	"named twice":                   {listOf("m/one TestRed", "m/one TestRed"), "m/one", "named twice"},
	"no package of the test":        {withLine(keyTest, "test: TestRed\n"), "m/one", "is wanted"},
	"a pattern":                     {withLine(keyTest, "test: m/one Test.*\n"), "m/one", "is wanted"},
	"no command":                    {withLine(keyCommand, ""), "m/one", "is wanted"},
	"no seed in the command":        {withLine(keyCommand, "command: go test ./one\n"), "m/one", "is wanted"},
	"nothing seen":                  {withLine(keySeen, "seen: \n"), "m/one", "is wanted"},
	"no issue":                      {withLine(keyIssue, ""), "m/one", "is wanted"},
	"an issue without a number":     {withLine(keyIssue, "issue: none\n"), "m/one", "is wanted"},
	"a key twice":                   {withLine(keySeen, "issue: 7\n"), "m/one", "is wanted"},
	"a line too many":               {entryOf("m/one TestRed") + "note: x\n", "m/one", "is wanted"},
	"an empty line":                 {entryOf("m/one TestRed") + "\n", "m/one", "is wanted"},
	"an empty file":                 {"", "m/one", "is wanted"},
	"no package":                    {listOf("m/one TestRed"), "", "no package"},
}

// writeModule writes testModule to a folder.
func writeModule(t *testing.T) (folder string) {
	t.Helper()
	folder = t.TempDir()
	for name, text := range testModule {
		if pkg, _, ok := strings.Cut(name, "/"); ok {
			text = "package " + pkg + "\n\nimport \"testing\"\n" + text + "\n"
		}
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// goIn runs commands of go in a folder.
func goIn(folder string) goTool {
	return func(args ...string) (string, error) {
		command := exec.Command("go", args...)
		command.Dir = folder
		command.Env = append(os.Environ(), "GOFLAGS=")
		printed, err := command.CombinedOutput()
		return string(printed), err
	}
}

// What is listed, what is run and what go test says decide; no other failure is excused.
func TestRunTests_excusesOnlyListedFailures(t *testing.T) {
	runInModule := goIn(writeModule(t))
	for name, test := range runCases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			args := append([]string{"-timeout=5s"}, strings.Fields(test.args)...)
			err := runTests(test.list, args, runInModule, &out)
			if test.want == "" && err != nil || test.want != "" && !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
			want := strings.Count(test.list, keyTest+": ")
			if strings.HasPrefix(name, "of a package") || strings.Contains(test.args, "-race") {
				want = 0
			}
			if n := strings.Count(out.String(), "known red: m/"); test.want == "" && n != want {
				t.Errorf("%d excused, want %d: %s", n, want, out.String())
			}
		})
	}
}
