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
	of         func(*experiment.Line) float64
}{
	{"service", "%.3f", func(l *experiment.Line) float64 { return l.Service }},
	{"net", "%.3f", func(l *experiment.Line) float64 { return l.Net }},
	{"beyond", "%.3f", func(l *experiment.Line) float64 { return l.Beyond }},
	{"refused", "%.3f", func(l *experiment.Line) float64 { return l.Refused }},
	{"out of time between tries", "%.3f", func(l *experiment.Line) float64 { return l.Between }},
	{"terminated", "%.3f", func(l *experiment.Line) float64 { return l.Ended }},
	{"gateway died", "%.3f", func(l *experiment.Line) float64 { return l.Died }},
	{"out of time while out", "%.3f", func(l *experiment.Line) float64 { return l.Out }},
	{"tries", "%.2f", func(l *experiment.Line) float64 { return l.Tries }},
	{"calls", "%.2f", func(l *experiment.Line) float64 { return l.Calls }},
	{"handshakes", "%.2f", func(l *experiment.Line) float64 { return l.Shakes }},
	{"between halls", "%.3f", func(l *experiment.Line) float64 { return l.Crossed }},
	{"between regions", "%.3f", func(l *experiment.Line) float64 { return l.Far }},
	{"hottest hall", "%.2f", func(l *experiment.Line) float64 { return l.Hottest }},
	{"over 5 s", "%.2f", func(l *experiment.Line) float64 { return l.Warmest }},
	{"uneven", "%.2f", func(l *experiment.Line) float64 { return l.Uneven }},
	{"p50 ms", "%.0f", func(l *experiment.Line) float64 { return slices.Max(l.P50) }},
	{"p99 ms", "%.0f", func(l *experiment.Line) float64 { return slices.Max(l.P99) }},
}

// Table writes results as a table: a row a world, size and variant, means over seeds.
func Table(out io.Writer, lines []*experiment.Line) {
	fmt.Fprint(out, "| world | gateways | variant | seeds |")
	for _, c := range columns {
		fmt.Fprintf(out, " %s |", c.name)
	}
	fmt.Fprintf(out, " rules broken |\n%s\n", strings.Repeat("| --- ", len(columns)+5)+"|")
	for _, g := range groups(lines) {
		l := g[0]
		fmt.Fprintf(out, "| %s | %d | %s | %d |", l.World, l.Gateways, l.Variant, len(g))
		for _, c := range columns {
			fmt.Fprintf(out, " "+c.form+" |", meanOf(g, c.of))
		}
		broken := 0
		for _, m := range g {
			broken += m.Broken
		}
		fmt.Fprintf(out, " %d |\n", broken)
	}
}

// Compared writes pairs as a table, and says plainly what is noise.
func Compared(out io.Writer, pairs []experiment.Pair) {
	fmt.Fprintln(out, "| world | gateways | figure | pairs | A | B | B - A | 95% interval | says |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range pairs {
		says := "more"
		switch {
		case p.N < 2:
			says = "one pair shows nothing"
		case p.Noise():
			says = "noise"
		case p.Diff < 0:
			says = "less"
		}
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.4f | %.4f | %+.4f | %+.4f to %+.4f | %s |\n", p.World,
			p.Gateways, p.Figure, p.N, p.A, p.B, p.Diff, p.Low, p.High, says)
	}
}

// groups are the results of one world, size and variant each, in the order in which they first came.
func groups(lines []*experiment.Line) [][]*experiment.Line {
	at := map[string]int{}
	var all [][]*experiment.Line
	for _, l := range lines {
		key := fmt.Sprint(l.World, "/", l.Gateways, "/", l.Variant)
		if _, seen := at[key]; !seen {
			at[key] = len(all)
			all = append(all, nil)
		}
		all[at[key]] = append(all[at[key]], l)
	}
	return all
}

func meanOf(g []*experiment.Line, of func(*experiment.Line) float64) float64 {
	sum := 0.0
	for _, l := range g {
		sum += of(l)
	}
	return sum / float64(len(g))
}
