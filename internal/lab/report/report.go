// Package report writes results as Markdown tables and as charts.
package report

import (
	"fmt"
	"io"
	"slices"

	"harrierhoist/internal/lab/experiment"
)

// Table writes results as a table: a row a world, size and variant, means over seeds.
func Table(out io.Writer, lines []*experiment.Line) {
	fmt.Fprintln(out, "| world | gateways | variant | seeds | service | net | beyond | refused | failed | tries | calls | handshakes | uneven | p50 ms | p99 ms | rules broken |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range groups(lines) {
		mean := func(of func(*experiment.Line) float64) float64 { return meanOf(g, of) }
		l := g[0]
		broken := 0
		for _, m := range g {
			broken += m.Broken
		}
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %d |\n", l.World, l.Gateways,
			l.Variant, len(g), mean(func(l *experiment.Line) float64 { return l.Service }),
			mean(func(l *experiment.Line) float64 { return l.Net }), mean(func(l *experiment.Line) float64 { return l.Beyond }),
			mean(func(l *experiment.Line) float64 { return l.Refused }), mean(func(l *experiment.Line) float64 { return l.Failed }),
			mean(func(l *experiment.Line) float64 { return l.Tries }), mean(func(l *experiment.Line) float64 { return l.Calls }),
			mean(func(l *experiment.Line) float64 { return l.Shakes }), mean(func(l *experiment.Line) float64 { return l.Uneven }),
			mean(func(l *experiment.Line) float64 { return slices.Max(l.P50) }),
			mean(func(l *experiment.Line) float64 { return slices.Max(l.P99) }), broken)
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
		fmt.Fprintf(out, "| %s | %d | %s | %d | %.4f | %.4f | %+.4f | %+.4f to %+.4f | %s |\n", p.World, p.Gateways, p.Figure, p.N, p.A, p.B,
			p.Diff, p.Low, p.High, says)
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
