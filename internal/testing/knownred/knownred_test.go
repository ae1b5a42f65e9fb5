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
	"leak/leak_test.go": "import \"os\"\nfunc TestMain(m *testing.M) { m.Run(); os.Exit(1) }\nfunc TestGood(t *testing.T) {}",
}

const cause = ": it is so (issue 7)\n"

// runCases are lists and arguments, and in want what the error has; empty: there is none.
var runCases = map[string]struct{ list, args, want string }{
	"a named test fails":            {"m/one TestRed" + cause, "m/one m/good", ""},
	"two of a package":              {"m/two TestRed" + cause + "m/two TestRedToo" + cause, "m/two m/good", ""},
	"under -race it is left out":    {"m/one TestRed" + cause, "-race m/one", ""},
	"under -race another fails":     {"m/one TestRed" + cause, "-race m/two", "exit status 1"},
	"its package is not there":      {"m/nowhere TestRed" + cause, "m/one", "no such package"},
	"a named test panics":           {"m/boom TestBoom" + cause, "m/boom", ""},
	"of a package that comes later": {"m/one TestRed" + cause, "m/good", ""},
	"one of two is not named":       {"m/two TestRed" + cause, "m/two", "exit status 1"},
	"the same name elsewhere":       {"m/one TestRed" + cause, "m/one m/two", "exit status 1"},
	"a longer name":                 {"m/two TestRedToo" + cause, "m/two", "exit status 1"},
	"a named test passes":           {"m/good TestGood" + cause, "m/good", "it passes"},
	"a named test is passed over":   {"m/good TestSkipped" + cause, "m/good", "it passes"},
	"a named test is not there":     {"m/good TestNone" + cause, "m/good", "no such test"},
	"its package does not build":    {"m/none TestNone" + cause, "m/none", "not by this test"},
	"another does not build":        {"m/one TestRed" + cause, "m/one m/none", "exit status 1"},
	"a named test hangs":            {"m/long TestLong" + cause, "m/long", "not by this test"},
	"it passes in a leaking one":    {"m/leak TestGood" + cause, "m/leak", "not by this test"},
	"an unnamed one panics":         {"m/one TestRed" + cause, "m/one m/boom", "exit status 1"},
	"four lines":                    {strings.Repeat("m/one TestRed"+cause, 4), "m/one", "4 lines"},
	"named twice":                   {strings.Repeat("m/one TestRed"+cause, 2), "m/one", "named twice"},
	"no issue":                      {"m/one TestRed: it is so\n", "m/one", "is wanted"},
	"no cause":                      {"m/one TestRed: (issue 7)\n", "m/one", "is wanted"},
	"a pattern":                     {"m/one Test.*" + cause, "m/one", "is wanted"},
	"an empty line":                 {"m/one TestRed" + cause + "\n", "m/one", "is wanted"},
	"an empty file":                 {"", "m/one", "is wanted"},
	"no package":                    {"m/one TestRed" + cause, "", "no package"},
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

// What is listed, what is run and what go test says decide; no other failure is excused.
func TestRunTests_excusesOnlyListedFailures(t *testing.T) {
	folder := writeModule(t)
	runInModule := func(args ...string) (string, error) {
		command := exec.Command("go", args...)
		command.Dir = folder
		command.Env = append(os.Environ(), "GOFLAGS=")
		printed, err := command.CombinedOutput()
		return string(printed), err
	}
	for name, test := range runCases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			args := append([]string{"-timeout=5s"}, strings.Fields(test.args)...)
			err := runTests(test.list, args, runInModule, &out)
			if test.want == "" && err != nil || test.want != "" && !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
			want := strings.Count(test.list, "\n")
			if strings.HasPrefix(name, "of a package") || strings.Contains(test.args, "-race") {
				want = 0
			}
			if n := strings.Count(out.String(), "known red: m/"); test.want == "" && n != want {
				t.Errorf("%d excused, want %d: %s", n, want, out.String())
			}
		})
	}
}
