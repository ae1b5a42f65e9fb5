package conformance

import (
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	maxParallelChanges = 3 // programs built at the same time: the cores are shared
	changeTimeout      = "50s"
	repoRoot           = "../../.."
)

// failedCase finds the cases that failed in the output of go test -v.
var failedCase = regexp.MustCompile(`(?m)^ +--- FAIL: TestCases/[^/]+/(\S+)/(module|process)`)

// caseRun is a case together with what it ran against.
type caseRun struct{ name, target string }

// Each broken program is built in place of the real one by an overlay. All cases run against its
// module, and some against a process of it. Those named for the change must fail. Each case must be
// failed by some change, wherever it runs.
func TestChangesAreCaught(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the module for each change")
	}
	suite, places := loadSuite(t), make(chan struct{}, maxParallelChanges)
	caught := make([]map[caseRun]bool, len(suite.Changes))
	t.Run("change", func(t *testing.T) {
		for i, change := range suite.Changes {
			t.Run(change.Name, func(t *testing.T) {
				t.Parallel()
				places <- struct{}{}
				defer func() { <-places }()
				caught[i] = checkChange(t, change)
			})
		}
	})
	for _, testCase := range suite.Cases {
		for _, target := range []string{againstModule, againstProcess} {
			if testCase.runsAgainst(target) && !anyCaught(caught, caseRun{testCase.ID, target}) {
				t.Errorf("case %s: no change makes it fail against the %s", testCase.ID, target)
			}
		}
	}
}

// The edits name the source by its text. This says within a second which of them a change of the
// source has missed.
func TestChanges_editsMatchTheSourceOnce(t *testing.T) {
	for _, change := range loadSuite(t).Changes {
		t.Run(change.Name, func(t *testing.T) { writeOverlay(t, change) })
	}
}

func anyCaught(caught []map[caseRun]bool, run caseRun) bool {
	for _, failed := range caught {
		if failed[run] {
			return true
		}
	}
	return false
}

// checkChange runs the cases against a broken program, requires those named to fail, and returns
// all that did.
func checkChange(t *testing.T, change Change) map[caseRun]bool {
	t.Helper()
	overlay, variant := writeOverlay(t, change), strings.ReplaceAll(cmp.Or(change.Variant, Plain.Name), " ", "_")
	failed := map[caseRun]bool{}
	if len(change.ModuleCases) > 0 {
		collectFailures(t, failed, overlay, "^TestCases$/^"+variant+"$/./^module$")
	}
	if len(change.ProcessCases) > 0 {
		collectFailures(t, failed, overlay,
			"^TestCases$/^"+variant+"$/^("+strings.Join(change.ProcessCases, "|")+")$/^process$")
	}
	for target, names := range map[string][]string{
		againstModule:  change.ModuleCases,
		againstProcess: change.ProcessCases,
	} {
		for _, name := range names {
			if !failed[caseRun{name, target}] {
				t.Errorf("case %s passes against the %s with this change", name, target)
			}
		}
	}
	return failed
}

// writeOverlay writes the sources of a broken program and returns the path of the overlay file.
func writeOverlay(t *testing.T, change Change) string {
	t.Helper()
	dir, texts, replace := t.TempDir(), map[string]string{}, map[string]string{}
	for _, edit := range change.Edits {
		path, err := filepath.Abs(filepath.Join(repoRoot, edit.File))
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
		if n := strings.Count(texts[path], edit.Old); n != 1 {
			t.Fatalf("%q stands %d times in %s, want once", edit.Old, n, edit.File)
		}
		texts[path] = strings.Replace(texts[path], edit.Old, edit.New, 1)
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

// collectFailures runs cases with an overlay and adds those that fail.
func collectFailures(t *testing.T, failed map[caseRun]bool, overlay, pattern string) {
	t.Helper()
	cmd := exec.Command("go", "test", "-count=1", "-vet=off", "-timeout="+changeTimeout, "-overlay="+overlay,
		"-run="+pattern, "-v", ".")
	cmd.Env = append(os.Environ(), overlayVariable+"="+overlay)
	out, err := cmd.CombinedOutput()
	if !strings.Contains(string(out), "--- ") || strings.Contains(string(out), "\npanic: ") {
		t.Fatalf("the cases did not run to the end: %v\n%s", err, out)
	}
	for _, match := range failedCase.FindAllSubmatch(out, -1) {
		failed[caseRun{string(match[1]), string(match[2])}] = true
	}
}
