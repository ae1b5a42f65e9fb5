package conformance

import (
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
)

const (
	maxParallelChanges = 3 // builds side by side: the cores are shared
	changeTimeout      = "50s"
	repoRoot           = "../.."
)

var failedRow = regexp.MustCompile(`(?m)^ +--- FAIL: TestRows/[^/]+/(\S+)/(module|process)`)

// Each changed program is built in place of the real one by an overlay: all rows are played against its module, and
// some against a process of it. Those named for the change must fail. Each row must be failed by some change, wherever
// it is played.
func TestChangesAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the module for each change")
	}
	suite, places := loadSuite(t), make(chan bool, maxParallelChanges)
	var mu sync.Mutex
	proven := map[string]bool{}
	t.Run("change", func(t *testing.T) {
		for _, change := range suite.Changes {
			t.Run(change.Name, func(t *testing.T) {
				t.Parallel()
				places <- true
				defer func() { <-places }()
				overlay, variant := writeOverlay(t, change), strings.ReplaceAll(cmp.Or(change.Variant, Plain.Name), " ", "_")
				got := map[string]bool{}
				if len(change.ModuleRows) > 0 {
					collectFailures(t, got, overlay, "^TestRows$/^"+variant+"$/./^module$")
				}
				if len(change.ProcessRows) > 0 {
					collectFailures(t, got, overlay, "^TestRows$/^"+variant+"$/^("+strings.Join(change.ProcessRows, "|")+")$/^process$")
				}
				for where, rows := range map[string][]string{"module": change.ModuleRows, "process": change.ProcessRows} {
					for _, row := range rows {
						if !got[row+" "+where] {
							t.Errorf("row %s holds against the %s with this change", row, where)
						}
					}
				}
				mu.Lock()
				defer mu.Unlock()
				for row := range got {
					proven[row] = true
				}
			})
		}
	})
	for _, r := range suite.Rows {
		for _, where := range []string{"module", "process"} {
			if r.runsAgainst(where) && !proven[r.ID+" "+where] {
				t.Errorf("row %s: no change makes it fail against the %s", r.ID, where)
			}
		}
	}
}

// changed writes the sources of a changed program and gives the overlay's file.
func writeOverlay(t *testing.T, change Change) string {
	t.Helper()
	dir, texts, replace := t.TempDir(), map[string]string{}, map[string]string{}
	for _, e := range change.Edits {
		path, err := filepath.Abs(filepath.Join(repoRoot, e.File))
		if err != nil {
			t.Fatal(err)
		}
		if texts[path] == "" {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			texts[path] = string(text)
		}
		if n := strings.Count(texts[path], e.Old); n != 1 {
			t.Fatalf("%q stands %d times in %s, want once", e.Old, n, e.File)
		}
		texts[path] = strings.Replace(texts[path], e.Old, e.New, 1)
		replace[path] = filepath.Join(dir, filepath.Base(path))
	}
	for path, text := range texts {
		if err := os.WriteFile(replace[path], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// fails plays rows with an overlay and notes those that fail, as the row and module or process.
func collectFailures(t *testing.T, rows map[string]bool, overlay, run string) {
	t.Helper()
	cmd := exec.Command("go", "test", "-count=1", "-vet=off", "-timeout="+changeTimeout, "-overlay="+overlay,
		"-run="+run, "-v", ".")
	cmd.Env = append(os.Environ(), overlayVariable+"="+overlay)
	out, err := cmd.CombinedOutput()
	if !strings.Contains(string(out), "--- ") || strings.Contains(string(out), "\npanic: ") {
		t.Fatalf("the rows were not played to the end: %v\n%s", err, out)
	}
	for _, m := range failedRow.FindAllSubmatch(out, -1) {
		rows[string(m[1])+" "+string(m[2])] = true
	}
}

// A data file that lost a row, names what is not there or has a word too much is refused, with all that is wrong.
func TestParse_reportsEveryError(t *testing.T) {
	text := string(suiteFile)
	for _, c := range []struct{ old, new, want string }{
		{`clause = "told-units"`, `clause = "told-unit"`, `no clause "told-unit"`},
		{`clause = "told-units"`, `clause = "early-end"`, `clause "told-units" has no row`},
		{`id = "names-on-sockets"`, `id = "names"`, `row "names": needs an id of its own`},
		{`where = "process"`, `where = "sockets"`, `allowed are module, process, both`},
		{`"others 10", "task 1 units 1"]`, `"others ten"]`, `step "others ten"`},
		{`crosses = true`, `cross = true`, `strict mode`},
		{`caught = ["true-units"]`, `caught = ["true-unit"]`, `no row "true-unit"`},
	} {
		if !strings.Contains(text, c.old) {
			t.Errorf("%q is not in the file", c.old)
		}
		_, err := Parse([]byte(strings.Replace(text, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
	broken := strings.NewReplacer(`clause = "told-units"`, `clause = "x"`, `plan = "small"`, `plan = "y"`).Replace(text)
	_, err := Parse([]byte(broken))
	if lines := strings.Split(err.Error(), "\n"); len(lines) < 3 || !slices.ContainsFunc(lines, func(l string) bool {
		return strings.Contains(l, `no plan "y"`)
	}) {
		t.Errorf("not all is told at once: %v", err)
	}
}
