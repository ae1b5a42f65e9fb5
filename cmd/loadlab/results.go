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

func runCommand() *cobra.Command {
	out, workers, seeds := "", 0, 0
	var gateways []int
	c := &cobra.Command{
		Use: "run PLAN.toml", Short: "play a plan in virtual time: worlds x sizes x variants x seeds",
		Args:    cobra.ExactArgs(1),
		Example: "  loadlab run scenarios/plans/baselines.toml --out results.jsonl",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := experiment.ReadPlan(args[0])
			if err != nil {
				return err
			}
			if seeds > 0 {
				p.Seeds = seeds
			}
			if len(gateways) > 0 {
				p.Gateways = gateways
			}
			file, err := os.CreateTemp(filepath.Dir(out), ".results-*")
			if err != nil {
				return err
			}
			defer os.Remove(file.Name())
			err = p.Run(workers, file, func(n, of int, l *experiment.Result) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%d of %d: %s, %d gateways, %s, seed %d: service %.3f, net %.3f, %.1fs\n", n, of,
					l.Scenario, l.Gateways,
					l.Variant, l.Seed, l.Service, l.Net, l.WallSeconds)
			})
			if err := errors.Join(err, file.Close()); err != nil {
				return err
			}
			if err := os.Rename(file.Name(), out); err != nil {
				return err
			}
			lines, err := experiment.ReadResults(out)
			if err != nil {
				return err
			}
			return writeTables(cmd.OutOrStdout(), lines)
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "results.jsonl", "file for the results, a line of JSON each")
	c.Flags().IntVar(&seeds, "seeds", 0, "seeds in place of the plan's")
	c.Flags().IntSliceVarP(&gateways, "gateways", "g", nil, "sizes in place of the plan's")
	c.Flags().IntVarP(&workers, "workers", "w", runtime.NumCPU(), "plays at once; the results are the same whatever it is")
	return c
}

func compareCommand() *cobra.Command {
	var variants []string
	c := &cobra.Command{
		Use:     "compare A.jsonl [B.jsonl]",
		Short:   "pair two sets of results by world, size and seed: means, 95% intervals, what is noise",
		Args:    cobra.RangeArgs(1, 2),
		Example: "  loadlab compare before.jsonl after.jsonl\n  loadlab compare results.jsonl --variants even,module",
		RunE: func(cmd *cobra.Command, files []string) error {
			a, err := experiment.ReadResults(files[0])
			if err != nil {
				return err
			}
			b := a
			if len(files) == 2 {
				if b, err = experiment.ReadResults(files[1]); err != nil {
					return err
				}
			} else if len(variants) != 2 {
				return errors.New("one file alone needs --variants A,B")
			}
			if len(variants) == 2 {
				a, b = ofVariant(a, variants[0]), ofVariant(b, variants[1])
			}
			pairs := experiment.Compare(a, b)
			if len(pairs) == 0 {
				return errors.New("nothing pairs: no play of the same world, size and seed in both")
			}
			return report.WriteComparisons(cmd.OutOrStdout(), pairs)
		},
	}
	c.Flags().StringSliceVar(&variants, "variants", nil, "two variants, A and B")
	return c
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

func ofVariant(lines []*experiment.Result, variant string) (some []*experiment.Result) {
	for _, l := range lines {
		if l.Variant == variant {
			some = append(some, l)
		}
	}
	return some
}

func reportCommand() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "report RESULTS.jsonl...", Short: "write tables (Markdown) and charts (SVG) of results",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var all []*experiment.Result
			for _, f := range files {
				lines, err := experiment.ReadResults(f)
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			names, err := report.WriteCharts(dir, all)
			if err != nil {
				return err
			}
			if err := writeTables(cmd.OutOrStdout(), all); err != nil {
				return err
			}
			for _, n := range names {
				fmt.Fprintf(cmd.OutOrStdout(), "\n![%s](%s)\n", strings.TrimSuffix(filepath.Base(n), ".svg"), n)
			}
			return nil
		},
	}
	c.Flags().StringVarP(&dir, "charts", "c", "charts", "folder for the charts")
	return c
}
