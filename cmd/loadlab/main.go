// Command loadlab is the laboratory: it plays worlds with emulated servers, counter, discovery and customers, in
// virtual time or before real gateways, and says what a change does. docs/lab.md is its manual.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"harrierhoist/internal/gateway"
	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/load"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/search"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loadlab:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:          "loadlab",
		Short:        "the laboratory of harrierhoist: emulated servers, load, experiments, reports",
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(checkCommand(), runCommand(), compareCommand(), reportCommand(), searchCommand(), sizeCommand(),
		loadCommand(),
		emulateCommand(), demoCommand(), faultsCommand(), gatewayCommand())
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check WORLD.toml...", Short: "check world files: every error, with its line and column",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var all []error
			for _, f := range files {
				w, err := scenario.Read(f)
				if err != nil {
					all = append(all, err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %s: %d gateways, %d servers, %g tasks a second for %v, %d troubles\n", f,
					w.Name, w.Gateways.Count,
					w.Servers.Count, w.Load.Rate, w.Length.D(), len(w.Faults))
			}
			return errors.Join(all...)
		},
	}
}

func searchCommand() *cobra.Command {
	drawCount, maxFaults, seed, out, policy := 0, 0, uint64(0), "", ""
	c := &cobra.Command{
		Use:   "search WORLD.toml",
		Short: "look for the schedule of troubles that breaks a rule or loses most, and shrink it",
		Args:  cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			w, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			if baseline.ByName[policy] == nil {
				return fmt.Errorf("--policy is %q; one of %s is allowed", policy, strings.Join(baseline.Names, ", "))
			}
			f, err := search.Run(w, seed, drawCount, maxFaults, policy, func(f *search.Finding) {
				fmt.Fprintf(cmd.ErrOrStderr(), "play %d: loses %.3f, rules broken %d\n", f.Runs, f.Loss, f.Result.Violations)
			})
			if err != nil || f == nil {
				return err
			}
			f.Scenario.Name += "-found"
			f.Scenario.Seed = seed
			text, err := toml.Marshal(f.Scenario)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "worst of %d plays: loses %.3f, rules broken %d, %d troubles left, %d taken out\n",
				f.Runs, f.Loss, f.Result.Violations,
				len(f.Scenario.Faults), f.RemovedFaults)
			for _, t := range f.Scenario.Faults {
				fmt.Fprintf(cmd.OutOrStdout(), "  %s at %v for %v, part %g, size %g\n", t.Kind, t.Start.D(), t.Duration.D(), t.Fraction, t.Magnitude)
			}
			if f.Result.FirstViolation != "" {
				fmt.Fprintln(cmd.OutOrStdout(), " ", f.Result.FirstViolation)
			}
			if out == "" {
				return nil
			}
			return os.WriteFile(out, text, 0o644)
		},
	}
	c.Flags().IntVarP(&drawCount, "tries", "n", 40, "schedules to draw")
	c.Flags().IntVar(&maxFaults, "troubles", 4, "the most troubles in one")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the search and of the plays")
	c.Flags().StringVarP(&out, "out", "o", "", "file for the world that was found")
	c.Flags().StringVar(&policy, "policy", "module", "whose losses are looked for")
	return c
}

func sizeCommand() *cobra.Command {
	var sizes []int
	seconds := 10
	c := &cobra.Command{
		Use:   "size WORLD.toml",
		Short: "how fast plays go, and what they cost, from few gateways to thousands", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(),
				"| gateways | servers | tasks a second offered | policy | tries | wall s | tries a wall second | memory MB |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, n := range sizes {
				for _, policy := range []string{"module", "random"} {
					s := experiment.Scaled(w, n)
					s.Length = min(s.Length, scenario.Span(time.Duration(seconds)*time.Second))
					runtime.GC()
					began := time.Now()
					l, err := experiment.RunScenario(s, policy, 1)
					if err != nil {
						return err
					}
					wall := time.Since(began).Seconds()
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					tries := l.Tries * s.Load.Rate * s.Length.D().Seconds()
					fmt.Fprintf(cmd.OutOrStdout(), "| %d | %d | %.0f | %s | %.0f | %.2f | %.0f | %.0f |\n", n, s.Servers.Count,
						s.Load.Rate, policy, tries, wall,
						tries/wall, float64(m.HeapSys)/1e6)
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "gateways", []int{10, 100, 1000}, "sizes")
	c.Flags().IntVar(&seconds, "seconds", 10, "of virtual time, at most")
	return c
}

func loadCommand() *cobra.Command {
	var gateways []string
	rate, duration, file, seed := 0.0, 10*time.Second, "", uint64(1)
	c := &cobra.Command{
		Use:   "load",
		Short: "drive running gateways at a given rate, open loop; Ctrl-C ends it with its report", Args: cobra.NoArgs,
		Example: "  loadlab load --gateway 127.0.0.1:6379 --rate 200 --for 30s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := scenario.Parse("the default world", nil)
			if file != "" {
				w, err = scenario.Read(file)
			}
			if err != nil {
				return err
			}
			if rate <= 0 {
				rate = w.Load.Rate
			}
			driver := &load.Driver{World: w, Gateways: gateways, Rate: rate, Duration: duration, Seed: seed, Progress: cmd.ErrOrStderr()}
			report, err := driver.Run(cmd.Context())
			if err != nil {
				return err
			}
			report.WriteTable(cmd.OutOrStdout(), w.Classes)
			return nil
		},
	}
	c.Flags().StringSliceVarP(&gateways, "gateway", "g", nil, "address of a gateway; may be given often")
	c.Flags().Float64VarP(&rate, "rate", "r", 0, "tasks a second; the world's where it is 0")
	c.Flags().DurationVar(&duration, "for", duration, "how long")
	c.Flags().StringVarP(&file, "world", "w", "", "world file with the lanes and plans; the default's where there is none")
	c.Flags().Uint64Var(&seed, "seed", 1, "of what is asked, and of the tasks' ids")
	_ = c.MarkFlagRequired("gateway")
	return c
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "troubles", Short: "the troubles by name", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, name := range scenario.FaultKindNames() {
				fmt.Fprintf(cmd.OutOrStdout(), "%-18s %s\n", name, scenario.FaultKinds[name].Description)
			}
		},
	}
}

// gatewayCommand is a gateway of the laboratory's own, as a process: the demo starts some.
func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "gateway CONFIG.json", Short: "run one gateway, as harrierhoist does",
		Args: cobra.ExactArgs(1), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error { return gateway.Run(args[0]) },
	}
}
