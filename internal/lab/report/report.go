// Package report writes results as Markdown tables and as charts.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"harrierhoist/internal/lab/experiment"
)

// columns are the figures of a table, means over seeds. Those that failed stand by what ended them.
var columns = []struct {
	name, form string
	of         func(*experiment.Result) float64
}{
	{"service", "%.3f", func(result *experiment.Result) float64 { return result.Service }},
	{"net", "%.3f", func(result *experiment.Result) float64 { return result.Net }},
	{"beyond", "%.3f", func(result *experiment.Result) float64 { return result.OverQuota }},
	{"refused", "%.3f", func(result *experiment.Result) float64 { return result.Rejected }},
	{"out of time between tries", "%.3f", func(result *experiment.Result) float64 { return result.FailedBetween }},
	{"terminated", "%.3f", func(result *experiment.Result) float64 { return result.FailedTerminated }},
	{"gateway died", "%.3f", func(result *experiment.Result) float64 { return result.FailedWithGateway }},
	{"out of time while out", "%.3f", func(result *experiment.Result) float64 { return result.FailedInFlight }},
	{"tries", "%.2f", func(result *experiment.Result) float64 { return result.Tries }},
	{"calls", "%.2f", func(result *experiment.Result) float64 { return result.CounterCalls }},
	{"handshakes", "%.2f", func(result *experiment.Result) float64 { return result.Handshakes }},
	{"between halls", "%.3f", func(result *experiment.Result) float64 { return result.CrossZone }},
	{"between regions", "%.3f", func(result *experiment.Result) float64 { return result.CrossRegion }},
	{"hottest hall", "%.2f", func(result *experiment.Result) float64 { return result.PeakUtilisation }},
	{"over 5 s", "%.2f", func(result *experiment.Result) float64 { return result.PeakUtilisationOver5s }},
	{"uneven", "%.2f", func(result *experiment.Result) float64 { return result.LoadDeviation }},
	{"p50 ms", "%.0f", func(result *experiment.Result) float64 { return slices.Max(result.P50) }},
	{"p99 ms", "%.0f", func(result *experiment.Result) float64 { return slices.Max(result.P99) }},
}

// WriteTable writes results as a table: a row a world, size and variant, means over seeds.
func WriteTable(out io.Writer, results []*experiment.Result) {
	fmt.Fprint(out, "| world | gateways | variant | seeds |")
	for _, c := range columns {
		fmt.Fprintf(out, " %s |", c.name)
	}
	fmt.Fprintf(out, " rules broken |\n%s\n", strings.Repeat("| --- ", len(columns)+5)+"|")
	for _, runs := range groupRuns(results) {
		result := runs[0]
		fmt.Fprintf(out, "| %s | %d | %s | %d |", result.Scenario, result.Gateways, result.Variant, len(runs))
		for _, c := range columns {
			fmt.Fprintf(out, " "+c.form+" |", meanOf(runs, c.of))
		}
		broken := 0
		for _, m := range runs {
			broken += m.Violations
		}
		fmt.Fprintf(out, " %d |\n", broken)
	}
}

// WriteComparisons writes pairs as a table, and says plainly what is noise.
func WriteComparisons(out io.Writer, pairs []experiment.Comparison) {
	fmt.Fprintln(out, "| world | gateways | figure | pairs | A | B | B - A | 95% interval | says |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range pairs {
		says := "more"
		switch {
		case p.Pairs < 2:
			says = "one pair shows nothing"
		case p.IsNoise():
			says = "noise"
		case p.Diff < 0:
			says = "less"
		}
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.4f | %.4f | %+.4f | %+.4f to %+.4f | %s |\n", p.Scenario,
			p.Gateways, p.Metric, p.Pairs, p.MeanA, p.MeanB, p.Diff, p.Low, p.High, says)
	}
}

// groupRuns are the results of one world, size and variant each, in the order in which they first came.
func groupRuns(results []*experiment.Result) [][]*experiment.Result {
	at := map[string]int{}
	var all [][]*experiment.Result
	for _, result := range results {
		key := fmt.Sprint(result.Scenario, "/", result.Gateways, "/", result.Variant)
		if _, seen := at[key]; !seen {
			at[key] = len(all)
			all = append(all, nil)
		}
		all[at[key]] = append(all[at[key]], result)
	}
	return all
}

func meanOf(runs []*experiment.Result, of func(*experiment.Result) float64) float64 {
	sum := 0.0
	for _, result := range runs {
		sum += of(result)
	}
	return sum / float64(len(runs))
}
