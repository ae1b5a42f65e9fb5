package report

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/simulation"
	"harrierhoist/internal/testing/golden"
)

// testResults are made-up results of two scenarios and two variants.
func testResults() []*experiment.Result {
	var results []*experiment.Result
	for i, world := range []string{"calm", "calm", "three halls", "three halls", "calm"} {
		x := float64(i + 1)
		result := &experiment.Result{
			Scenario: world, Gateways: 3 + i/4, Variant: []string{"module", "plain"}[i%2], Service: x / 10, Net: x / 11,
			OverQuota: x / 12, Rejected: x / 13, FailedBetween: x / 14, FailedTerminated: x / 15,
			FailedWithGateway: x / 16, FailedInFlight: x / 17, Tries: x, CounterCalls: 2 * x,
			Handshakes: 3 * x, CrossZone: x / 18, CrossRegion: x / 19, PeakUtilisation: x / 20,
			PeakUtilisationOver5s: x / 21, LoadDeviation: x / 22, P50: []float64{x, 2 * x},
			P99: []float64{4 * x, 3 * x}, P999: []float64{9 * x}, Violations: i, LengthSeconds: 30,
			Timeline: []simulation.Second{{ServedValue: x, DueValue: 6}, {ServedValue: 2 * x, DueValue: 12}},
		}
		if i == 2 || i == 3 {
			result.Plans, result.WrongPlans, result.FailoverMs = i, 1, []int{300, 100, 200}
			result.VoterMessages = simulation.Messages{Digests: 600, MergedDigests: 300, Reads: 90}
			result.LeaderMessages = simulation.Messages{Digests: 60, MergedDigests: 30}
		}
		if i == 3 {
			result.FailoverMs = nil
		}
		results = append(results, result)
	}
	return results
}

// TestTables_textIsStable holds the tables that pages quote: their rows, the order of columns and
// the figures.
func TestTables_textIsStable(t *testing.T) {
	var out bytes.Buffer
	comparisons := []experiment.Comparison{
		{Scenario: "w", Gateways: 1, Metric: "net", Pairs: 1},
		{Scenario: "w", Gateways: 1, Metric: "net", Pairs: 2, MeanA: 1, MeanB: 1.01, Diff: 0.01, Low: -0.1, High: 0.2},
		{Scenario: "w", Gateways: 1, Metric: "net", Pairs: 2, MeanA: 1, MeanB: 0.9, Diff: -0.1, Low: -0.2, High: -0.05},
		{Scenario: "w", Gateways: 1, Metric: "net", Pairs: 2, MeanA: 1, MeanB: 1.1, Diff: 0.1, Low: 0.05, High: 0.2},
	}
	err := errors.Join(WriteTable(&out, testResults()), WriteFailover(&out, testResults()),
		WriteComparisons(&out, comparisons))
	if err != nil {
		t.Fatal(err)
	}
	want := golden.Read(t, "tables.md")
	if d := cmp.Diff(withoutHeadings(string(want)), withoutHeadings(out.String())); d != "" {
		t.Error(d)
	}
}

// withoutHeadings is a text of tables without the words of their headings: they may change, the
// figures and their order may not.
func withoutHeadings(text string) []string {
	isHeading := func(line string) bool { return strings.HasPrefix(line, "| world |") }
	return slices.DeleteFunc(strings.Split(text, "\n"), isHeading)
}

// TestWriteCharts_fileNames holds the names of the charts' files.
func TestWriteCharts_fileNames(t *testing.T) {
	dir := t.TempDir()
	files, err := WriteCharts(dir, testResults())
	if err != nil {
		t.Fatal(err)
	}
	for i, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
		files[i] = filepath.Base(file)
	}
	want := []string{
		"calm-3-service.svg", "calm-3-times.svg", "calm-3-units.svg", "calm-4-service.svg", "calm-4-times.svg",
		"calm-4-units.svg", "sizes.svg", "three-halls-3-service.svg", "three-halls-3-times.svg",
		"three-halls-3-units.svg",
	}
	if !slices.Equal(files, want) {
		t.Errorf("charts are %q, not %q", files, want)
	}
}
