package report

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/virtual"
)

// results are made-up results of two worlds and two variants.
func results() []*experiment.Line {
	var lines []*experiment.Line
	for i, world := range []string{"calm", "calm", "three halls", "three halls", "calm"} {
		x := float64(i + 1)
		l := &experiment.Line{World: world, Gateways: 3 + i/4, Variant: []string{"module", "plain"}[i%2], Service: x / 10,
			Net: x / 11, Beyond: x / 12, Refused: x / 13, Between: x / 14, Ended: x / 15, Died: x / 16, Out: x / 17, Tries: x,
			Calls: 2 * x, Shakes: 3 * x, Crossed: x / 18, Far: x / 19, Hottest: x / 20, Warmest: x / 21, Uneven: x / 22,
			P50: []float64{x, 2 * x}, P99: []float64{4 * x, 3 * x}, P999: []float64{9 * x}, Broken: i, Length: 30,
			Seconds: []virtual.Second{{Gain: x, Due: 6}, {Gain: 2 * x, Due: 12}}}
		if i == 2 || i == 3 {
			l.Plans, l.Wrong, l.PlanMs = i, 1, []int{300, 100, 200}
			l.Held, l.Led = virtual.Messages{Digests: 600, Merged: 300, Reads: 90}, virtual.Messages{Digests: 60, Merged: 30}
		}
		if i == 3 {
			l.PlanMs = nil
		}
		lines = append(lines, l)
	}
	return lines
}

// TestTables_areStable holds the tables that pages quote: their rows, the order of columns and the figures.
func TestTables_areStable(t *testing.T) {
	var out bytes.Buffer
	Table(&out, results())
	Failover(&out, results())
	Compared(&out, []experiment.Pair{
		{World: "w", Gateways: 1, Figure: "net", N: 1},
		{World: "w", Gateways: 1, Figure: "net", N: 2, A: 1, B: 1.01, Diff: 0.01, Low: -0.1, High: 0.2},
		{World: "w", Gateways: 1, Figure: "net", N: 2, A: 1, B: 0.9, Diff: -0.1, Low: -0.2, High: -0.05},
		{World: "w", Gateways: 1, Figure: "net", N: 2, A: 1, B: 1.1, Diff: 0.1, Low: 0.05, High: 0.2}})
	want, err := os.ReadFile("testdata/tables.md")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(withoutHeadings(string(want)), withoutHeadings(out.String())); d != "" {
		t.Error(d)
	}
}

// withoutHeadings is a text of tables without the words of their headings: they may change, the figures and their order may not.
func withoutHeadings(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool { return strings.HasPrefix(line, "| world |") })
}

// TestCharts_areNamedAlike holds the names of the charts' files.
func TestCharts_areNamedAlike(t *testing.T) {
	dir := t.TempDir()
	files, err := Charts(dir, results())
	if err != nil {
		t.Fatal(err)
	}
	for i, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", file, err)
		}
		files[i] = filepath.Base(file)
	}
	want := []string{"calm-3-service.svg", "calm-3-times.svg", "calm-3-units.svg", "calm-4-service.svg", "calm-4-times.svg",
		"calm-4-units.svg", "sizes.svg", "three-halls-3-service.svg", "three-halls-3-times.svg", "three-halls-3-units.svg"}
	if !slices.Equal(files, want) {
		t.Errorf("charts are %q, not %q", files, want)
	}
}
