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

// A module of its own, whose tests pass, fail, panic, hang, and one package that does not build. What is named, what is
// played and what go test says decide; nothing else is passed over.
func TestRunTests_excusesOnlyListedFailures(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod":            "module m\n\ngo 1.26\n",
		"good/good_test.go": "func TestGood(t *testing.T) {}\nfunc TestSkipped(t *testing.T) { t.Skip() }",
		"one/one_test.go":   "func TestGood(t *testing.T) {}\nfunc TestRed(t *testing.T) { t.Run(\"x\", func(t *testing.T) { t.Fail() }) }",
		"two/two_test.go":   "func TestRed(t *testing.T) { t.Fail() }\nfunc TestRedToo(t *testing.T) { t.Fail() }",
		"boom/boom_test.go": "func TestBoom(t *testing.T) { panic(1) }",
		"long/long_test.go": "func TestLong(t *testing.T) { select {} }",
		"none/none_test.go": "func TestNone(t *testing.T) { none }",
		"leak/leak_test.go": "import \"os\"\nfunc TestMain(m *testing.M) { m.Run(); os.Exit(1) }\nfunc TestGood(t *testing.T) {}",
	} {
		if path, _, is := strings.Cut(name, "/"); is {
			text = "package " + path + "\n\nimport \"testing\"\n" + text + "\n"
		}
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const cause = ": it is so (issue 7)\n"
	for name, c := range map[string]struct{ text, packs, wrong string }{
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
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := runTests(c.text, append([]string{"-timeout=5s"}, strings.Fields(c.packs)...), func(args ...string) (string, error) {
				cmd := exec.Command("go", args...)
				cmd.Dir = dir
				cmd.Env = append(os.Environ(), "GOFLAGS=")
				printed, err := cmd.CombinedOutput()
				return string(printed), err
			}, &out)
			if got := fmt.Sprint(err); c.wrong == "" && err != nil || c.wrong != "" && !strings.Contains(got, c.wrong) {
				t.Errorf("said %s, want %q", got, c.wrong)
			}
			want := strings.Count(c.text, "\n")
			if strings.HasPrefix(name, "of a package") || strings.Contains(c.packs, "-race") {
				want = 0
			}
			if n := strings.Count(out.String(), "known red: m/"); c.wrong == "" && n != want {
				t.Errorf("%d passed over: %s", n, out.String())
			}
		})
	}
}
