package report

import (
	"fmt"
	"io"
	"slices"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/simulation"
)

// WriteFailover writes what became of failover plans: a row a scenario, size and variant, over all
// seeds. It writes nothing where no plan was written.
func WriteFailover(out io.Writer, results []*experiment.Result) error {
	t := newTable("world", "gateways", "variant", "runs", "plans", "wrong", "gateways moved", "ms p50", "ms p99",
		"digests/s", "at the leader", "reads/s", "at the leader", "merged/s there")
	hasRows := false
	for _, runs := range groupRuns(results) {
		if cells := failoverRow(runs); cells != nil {
			t.addRow(cells...)
			hasRows = true
		}
	}
	if !hasRows {
		return nil
	}
	return t.writeTo(out)
}

const (
	percentile99 = 99
	percent      = 100
)

// failoverRow is the row of one scenario, size and variant; nil: no plan was written.
func failoverRow(runs []*experiment.Result) []string {
	plans := 0
	wrong := 0
	var times []int
	for _, result := range runs {
		plans += result.Plans
		wrong += result.WrongPlans
		times = append(times, result.FailoverMs...)
	}
	if plans == 0 {
		return nil
	}
	slices.Sort(times)
	p50 := "-"
	p99 := "-"
	if n := len(times); n > 0 {
		p50 = fmt.Sprint(times[(n-1)/2])
		p99 = fmt.Sprint(times[(n-1)*percentile99/percent])
	}
	atVoters := func(result *experiment.Result) simulation.Messages { return result.VoterMessages }
	atLeader := func(result *experiment.Result) simulation.Messages { return result.LeaderMessages }
	voters := meanRates(runs, atVoters)
	leader := meanRates(runs, atLeader)
	return []string{
		runs[0].Scenario, fmt.Sprint(runs[0].Gateways), runs[0].Variant, fmt.Sprint(len(runs)), fmt.Sprint(plans),
		fmt.Sprint(wrong), fmt.Sprint(len(times)), p50, p99,
		voters.digests, leader.digests, voters.reads, leader.reads, leader.merged,
	}
}

// rates are messages a second of simulated time, as they are written.
type rates struct{ digests, merged, reads string }

// meanRates are the mean rates of messages over runs.
func meanRates(runs []*experiment.Result, of func(*experiment.Result) simulation.Messages) rates {
	mean := func(count func(simulation.Messages) int) string {
		return fmt.Sprintf("%.0f", meanOf(runs, func(result *experiment.Result) float64 {
			return float64(count(of(result))) / result.LengthSeconds
		}))
	}
	return rates{
		digests: mean(func(m simulation.Messages) int { return m.Digests }),
		merged:  mean(func(m simulation.Messages) int { return m.MergedDigests }),
		reads:   mean(func(m simulation.Messages) int { return m.Reads }),
	}
}
