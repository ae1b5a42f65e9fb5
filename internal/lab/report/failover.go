package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"harrierhoist/internal/lab/experiment"
)

// WriteFailover writes what became of plans, where any were written: a row a world, size and variant, over all seeds.
func WriteFailover(out io.Writer, results []*experiment.Result) {
	begun := false
	for _, runs := range groupRuns(results) {
		plans, wrong := 0, 0
		var ms []int
		for _, result := range runs {
			plans, wrong, ms = plans+result.Plans, wrong+result.WrongPlans, append(ms, result.FailoverMs...)
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
		fmt.Fprintf(out, "| %s | %d | %s | %d | %d | %d | %d | %s | %s | %.0f | %.0f | %.0f | %.0f | %.0f |\n", runs[0].Scenario,
			runs[0].Gateways, runs[0].Variant, len(runs), plans,
			wrong, len(ms), p50, p99, meanRate(runs, func(result *experiment.Result) int { return result.VoterMessages.Digests }),
			meanRate(runs, func(result *experiment.Result) int { return result.LeaderMessages.Digests }),
			meanRate(runs, func(result *experiment.Result) int { return result.VoterMessages.Reads }),
			meanRate(runs, func(result *experiment.Result) int { return result.LeaderMessages.Reads }),
			meanRate(runs, func(result *experiment.Result) int { return result.LeaderMessages.MergedDigests }))
	}
}

// meanRate is the mean of a count, a second of the world.
func meanRate(runs []*experiment.Result, of func(*experiment.Result) int) float64 {
	return meanOf(runs, func(result *experiment.Result) float64 { return float64(of(result)) / result.LengthSeconds })
}
