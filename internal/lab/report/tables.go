// Package report writes results as Markdown tables and as charts. The command loadlab calls it.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"harrierhoist/internal/lab/experiment"
)

// columns are the figures of a table, means over seeds. Failed requests stand by what ended them.
var columns = []struct {
	name, form string
	of         func(*experiment.Result) float64
}{
	{"service", "%.3f", func(result *experiment.Result) float64 { return result.Service }},
	{"net", "%.3f", func(result *experiment.Result) float64 { return result.Net }},
	{"beyond", "%.3f", func(result *experiment.Result) float64 { return result.OverQuota }},
	{"rejected", "%.3f", func(result *experiment.Result) float64 { return result.Rejected }},
	{"out of time between tries", "%.3f", func(result *experiment.Result) float64 { return result.FailedBetween }},
	{"terminated", "%.3f", func(result *experiment.Result) float64 { return result.FailedTerminated }},
	{"gateway died", "%.3f", func(result *experiment.Result) float64 { return result.FailedWithGateway }},
	{"out of time in flight", "%.3f", func(result *experiment.Result) float64 { return result.FailedInFlight }},
	{"tries", "%.2f", func(result *experiment.Result) float64 { return result.Tries }},
	{"calls", "%.2f", func(result *experiment.Result) float64 { return result.CounterCalls }},
	{"handshakes", "%.2f", func(result *experiment.Result) float64 { return result.Handshakes }},
	{"between zones", "%.3f", func(result *experiment.Result) float64 { return result.CrossZone }},
	{"between regions", "%.3f", func(result *experiment.Result) float64 { return result.CrossRegion }},
	{"hottest zone", "%.2f", func(result *experiment.Result) float64 { return result.PeakUtilisation }},
	{"over 5 s", "%.2f", func(result *experiment.Result) float64 { return result.PeakUtilisationOver5s }},
	{"uneven", "%.2f", func(result *experiment.Result) float64 { return result.LoadDeviation }},
	{"p50 ms", "%.0f", func(result *experiment.Result) float64 { return slices.Max(result.P50) }},
	{"p99 ms", "%.0f", func(result *experiment.Result) float64 { return slices.Max(result.P99) }},
}

// table is a Markdown table being written.
type table struct{ text strings.Builder }

// newTable starts a table with its headings.
func newTable(headings ...string) *table {
	t := &table{}
	t.addRow(headings...)
	t.text.WriteString(strings.Repeat("| --- ", len(headings)) + "|\n")
	return t
}

func (t *table) addRow(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) writeTo(out io.Writer) error {
	_, err := io.WriteString(out, t.text.String())
	return err
}

// WriteTable writes results as a table: a row a scenario, size and variant, means over seeds.
func WriteTable(out io.Writer, results []*experiment.Result) error {
	headings := []string{"world", "gateways", "variant", "seeds"}
	for _, column := range columns {
		headings = append(headings, column.name)
	}
	t := newTable(append(headings, "rules broken")...)
	for _, runs := range groupRuns(results) {
		cells := []string{runs[0].Scenario, fmt.Sprint(runs[0].Gateways), runs[0].Variant, fmt.Sprint(len(runs))}
		for _, column := range columns {
			cells = append(cells, fmt.Sprintf(column.form, meanOf(runs, column.of)))
		}
		violations := 0
		for _, result := range runs {
			violations += result.Violations
		}
		t.addRow(append(cells, fmt.Sprint(violations))...)
	}
	return t.writeTo(out)
}

// WriteComparisons writes comparisons as a table, and says plainly what is noise.
func WriteComparisons(out io.Writer, comparisons []experiment.Comparison) error {
	t := newTable("world", "gateways", "figure", "pairs", "A", "B", "B - A", "95% interval", "says")
	for _, c := range comparisons {
		t.addRow(
			c.Scenario,
			fmt.Sprint(c.Gateways),
			c.Metric,
			fmt.Sprint(c.Pairs),
			fmt.Sprintf("%.4f", c.MeanA),
			fmt.Sprintf("%.4f", c.MeanB),
			fmt.Sprintf("%+.4f", c.Diff),
			fmt.Sprintf("%+.4f to %+.4f", c.Low, c.High),
			verdict(c),
		)
	}
	return t.writeTo(out)
}

// verdict is what a comparison says of B.
func verdict(c experiment.Comparison) string {
	switch {
	case c.Pairs <= 1:
		return "one pair shows nothing"
	case c.IsNoise():
		return "noise"
	case c.Diff < 0:
		return "less"
	}
	return "more"
}

// groupRuns are the results of one scenario, size and variant each, in the order in which they
// first come.
func groupRuns(results []*experiment.Result) [][]*experiment.Result {
	index := map[string]int{}
	var groups [][]*experiment.Result
	for _, result := range results {
		key := fmt.Sprint(result.Scenario, "/", result.Gateways, "/", result.Variant)
		if _, isKnown := index[key]; !isKnown {
			index[key] = len(groups)
			groups = append(groups, nil)
		}
		groups[index[key]] = append(groups[index[key]], result)
	}
	return groups
}

// meanOf is the mean of a figure over runs.
func meanOf(runs []*experiment.Result, of func(*experiment.Result) float64) float64 {
	sum := 0.0
	for _, result := range runs {
		sum += of(result)
	}
	return sum / float64(len(runs))
}
