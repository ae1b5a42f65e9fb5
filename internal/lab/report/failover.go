package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"harrierhoist/internal/lab/experiment"
)

// Failover writes what became of plans, where any were written: a row a world, size and variant, over all seeds.
func Failover(out io.Writer, lines []*experiment.Line) {
	begun := false
	for _, g := range groups(lines) {
		plans, wrong := 0, 0
		var ms []int
		for _, l := range g {
			plans, wrong, ms = plans+l.Plans, wrong+l.Wrong, append(ms, l.PlanMs...)
		}
		if plans == 0 {
			continue
		}
		if !begun {
			fmt.Fprintln(out,
				"| world | gateways | variant | plays | plans | wrong | gateways moved | ms p50 | ms p99 "+
					"| digests/s | at the leader | reads/s | at the leader | merged/s there |")
			fmt.Fprintln(out, strings.Repeat("| --- ", 14)+"|")
			begun = true
		}
		slices.Sort(ms)
		p50, p99 := "-", "-"
		if n := len(ms); n > 0 {
			p50, p99 = fmt.Sprint(ms[(n-1)/2]), fmt.Sprint(ms[(n-1)*99/100])
		}
		fmt.Fprintf(out, "| %s | %d | %s | %d | %d | %d | %d | %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f |\n", g[0].World,
			g[0].Gateways, g[0].Variant, len(g), plans,
			wrong, len(ms), p50, p99, rate(g, func(l *experiment.Line) int { return l.Held.Digests }),
			rate(g, func(l *experiment.Line) int { return l.Led.Digests }),
			rate(g, func(l *experiment.Line) int { return l.Held.Reads }),
			rate(g, func(l *experiment.Line) int { return l.Led.Reads }),
			rate(g, func(l *experiment.Line) int { return l.Led.Merged }))
	}
}

// rate is the mean of a count, a second of the world.
func rate(g []*experiment.Line, of func(*experiment.Line) int) float64 {
	return meanOf(g, func(l *experiment.Line) float64 { return float64(of(l)) / l.Length })
}
