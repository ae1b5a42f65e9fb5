package report

import (
	"fmt"
	"io"
	"slices"

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
			fmt.Fprintln(out, "| world | gateways | variant | plays | plans | wrong | gateways moved | ms p50 | ms p99 |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
			begun = true
		}
		slices.Sort(ms)
		p50, p99 := "-", "-"
		if n := len(ms); n > 0 {
			p50, p99 = fmt.Sprint(ms[(n-1)/2]), fmt.Sprint(ms[(n-1)*99/100])
		}
		fmt.Fprintf(out, "| %s | %d | %s | %d | %d | %d | %d | %s | %s |\n", g[0].World, g[0].Gateways, g[0].Variant, len(g), plans,
			wrong, len(ms), p50, p99)
	}
}
