package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/report"
)

// runOptions are the flags of run.
type runOptions struct {
	out            string
	workers, seeds int
	gateways       []int
}

func runCommand() *cobra.Command {
	var options runOptions
	c := &cobra.Command{
		Use: "run PLAN.toml", Short: "run a plan in virtual time: scenarios x sizes x variants x seeds",
		Args:    cobra.ExactArgs(1),
		Example: "  loadlab run scenarios/plans/baselines.toml --out results.jsonl",
		RunE:    func(cmd *cobra.Command, args []string) error { return runPlan(cmd, args[0], &options) },
	}
	c.Flags().StringVarP(&options.out, "out", "o", "results.jsonl", "file for the results, a line of JSON each")
	c.Flags().IntVar(&options.seeds, "seeds", 0, "seeds in place of the plan's")
	c.Flags().IntSliceVarP(&options.gateways, "gateways", "g", nil, "sizes in place of the plan's")
	c.Flags().IntVarP(
		&options.workers,
		"workers",
		"w",
		runtime.NumCPU(),
		"parallel runs; they do not change the results",
	)
	return c
}

func runPlan(cmd *cobra.Command, file string, options *runOptions) error {
	plan, err := experiment.ReadPlan(file)
	if err != nil {
		return err
	}
	if options.seeds > 0 {
		plan.Seeds = options.seeds
	}
	if len(options.gateways) > 0 {
		plan.Gateways = options.gateways
	}
	if err := writeResults(cmd, plan, options); err != nil {
		return err
	}
	results, err := experiment.ReadResults(options.out)
	if err != nil {
		return err
	}
	return writeTables(cmd.OutOrStdout(), results)
}

// writeResults runs a plan and writes the results, which stand under their name only once they are
// complete.
func writeResults(cmd *cobra.Command, plan *experiment.Plan, options *runOptions) error {
	file, err := os.CreateTemp(filepath.Dir(options.out), ".results-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails once it is renamed
	err = plan.Run(options.workers, file, func(done, all int, r *experiment.Result) {
		cmd.PrintErrf("%d of %d: %s, %d gateways, %s, seed %d: service %.3f, net %.3f, %.1fs\n", done, all,
			r.Scenario, r.Gateways, r.Variant, r.Seed, r.Service, r.Net, r.WallSeconds)
	})
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), options.out)
}

var (
	errNeedsVariants = errors.New("one file alone needs --variants A,B")
	errNoPairs       = errors.New("nothing pairs: no run of the same scenario, size and seed in both")
)

const (
	// maxComparedFiles is how many files compare takes at most.
	maxComparedFiles = 2
	// comparedVariants is how many variants the flag of compare names: A and B.
	comparedVariants = 2
)

func compareCommand() *cobra.Command {
	var variants []string
	c := &cobra.Command{
		Use:     "compare A.jsonl [B.jsonl]",
		Short:   "pair two sets of results by scenario, size and seed: means, 95% intervals, what is noise",
		Args:    cobra.RangeArgs(1, maxComparedFiles),
		Example: "  loadlab compare before.jsonl after.jsonl\n  loadlab compare results.jsonl --variants even,module",
		RunE:    func(cmd *cobra.Command, files []string) error { return runCompare(cmd, files, variants) },
	}
	c.Flags().StringSliceVar(&variants, "variants", nil, "two variants, A and B")
	return c
}

func runCompare(cmd *cobra.Command, files, variants []string) error {
	first, err := experiment.ReadResults(files[0])
	if err != nil {
		return err
	}
	second := first
	if len(files) == maxComparedFiles {
		second, err = experiment.ReadResults(files[1])
		if err != nil {
			return err
		}
	} else if len(variants) != comparedVariants {
		return errNeedsVariants
	}
	if len(variants) == comparedVariants {
		first = ofVariant(first, variants[0])
		second = ofVariant(second, variants[1])
	}
	pairs := experiment.Compare(first, second)
	if len(pairs) == 0 {
		return errNoPairs
	}
	return report.WriteComparisons(cmd.OutOrStdout(), pairs)
}

func ofVariant(results []*experiment.Result, variant string) (some []*experiment.Result) {
	for _, r := range results {
		if r.Variant == variant {
			some = append(some, r)
		}
	}
	return some
}

func reportCommand() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "report RESULTS.jsonl...", Short: "write tables (Markdown) and charts (SVG) of results",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error { return runReport(cmd.OutOrStdout(), files, dir) },
	}
	c.Flags().StringVarP(&dir, "charts", "c", "charts", "folder for the charts")
	return c
}

func runReport(out io.Writer, files []string, dir string) error {
	var all []*experiment.Result
	for _, file := range files {
		results, err := experiment.ReadResults(file)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	charts, err := report.WriteCharts(dir, all)
	if err != nil {
		return err
	}
	if err := writeTables(out, all); err != nil {
		return err
	}
	var text strings.Builder
	for _, chart := range charts {
		fmt.Fprintf(&text, "\n![%s](%s)\n", strings.TrimSuffix(filepath.Base(chart), ".svg"), chart)
	}
	_, err = io.WriteString(out, text.String())
	return err
}

// writeTables writes the tables of results: all figures, and what became of failover plans.
func writeTables(out io.Writer, results []*experiment.Result) error {
	if err := report.WriteTable(out, results); err != nil {
		return err
	}
	if _, err := io.WriteString(out, "\n"); err != nil {
		return err
	}
	return report.WriteFailover(out, results)
}
