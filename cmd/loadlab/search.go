package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/search"
)

// searchOptions are the flags of search.
type searchOptions struct {
	schedules, maxFaults int
	seed                 uint64
	out, policy          string
}

const (
	// defaultSchedules is how many schedules a search draws, unless a flag says.
	defaultSchedules = 40
	// defaultMaxFaults is the most faults of a schedule, unless a flag says.
	defaultMaxFaults = 4
	// scenarioFileMode lets all users read the file of the scenario that was found.
	scenarioFileMode = 0o644
)

func searchCommand() *cobra.Command {
	var options searchOptions
	c := &cobra.Command{
		Use:   "search SCENARIO.toml",
		Short: "look for the schedule of faults that breaks a rule or loses most, and shrink it",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return runSearch(cmd, args[0], &options) },
	}
	c.Flags().IntVarP(&options.schedules, "tries", "n", defaultSchedules, "schedules to draw")
	c.Flags().IntVar(&options.maxFaults, "troubles", defaultMaxFaults, "the most faults in one")
	c.Flags().Uint64Var(&options.seed, "seed", 1, "of the search and of the runs")
	c.Flags().StringVarP(&options.out, "out", "o", "", "file for the scenario that was found")
	c.Flags().StringVar(&options.policy, "policy", "module", "whose losses are looked for")
	return c
}

func runSearch(cmd *cobra.Command, file string, options *searchOptions) error {
	s, err := scenario.Read(file)
	if err != nil {
		return err
	}
	if baseline.ByName[options.policy] == nil {
		return fmt.Errorf("--policy is %q; one of %s is allowed", options.policy, strings.Join(baseline.Names, ", "))
	}
	found, err := search.Run(
		s,
		options.seed,
		options.schedules,
		options.maxFaults,
		options.policy,
		func(f *search.Finding) {
			cmd.PrintErrf("run %d: loses %.3f, rules broken %d\n", f.Runs, f.Loss, f.Result.Violations)
		},
	)
	if err != nil || found == nil {
		return err
	}
	found.Scenario.Name += "-found"
	found.Scenario.Seed = options.seed
	text, err := toml.Marshal(found.Scenario)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(cmd.OutOrStdout(), formatFinding(found)); err != nil {
		return err
	}
	if options.out == "" {
		return nil
	}
	return os.WriteFile(options.out, text, scenarioFileMode)
}

func formatFinding(found *search.Finding) string {
	var out strings.Builder
	fmt.Fprintf(&out, "worst of %d runs: loses %.3f, rules broken %d, %d faults left, %d removed\n",
		found.Runs, found.Loss, found.Result.Violations, len(found.Scenario.Faults), found.RemovedFaults)
	for _, fault := range found.Scenario.Faults {
		fmt.Fprintf(&out, "  %s at %v for %v, fraction %g, magnitude %g\n",
			fault.Kind, fault.Start.D(), fault.Duration.D(), fault.Fraction, fault.Magnitude)
	}
	if found.Result.FirstViolation != "" {
		fmt.Fprintln(&out, " ", found.Result.FirstViolation)
	}
	return out.String()
}
