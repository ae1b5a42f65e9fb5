// Command loadlab is the laboratory: it runs scenarios with emulated servers, counter, discovery
// and customers, in virtual time or before real gateways, and reports what a change does. Engineers
// run it; docs/lab.md is its manual.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"harrierhoist/internal/gateway"
	"harrierhoist/internal/lab/scenario"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadlab:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:          "loadlab",
		Short:        "the laboratory of harrierhoist: emulated servers, load, experiments, reports",
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(checkCommand(), runCommand(), compareCommand(), reportCommand(), searchCommand(), sizeCommand(),
		loadCommand(), emulateCommand(), demoCommand(), faultsCommand(), gatewayCommand())
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check SCENARIO.toml...", Short: "check scenario files: every error, with its line and column",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var problems []error
			for _, file := range files {
				s, err := scenario.Read(file)
				if err != nil {
					problems = append(problems, err)
					continue
				}
				_, err = fmt.Fprintf(
					cmd.OutOrStdout(),
					"%s: %s: %d gateways, %d servers, %g requests a second for %v, %d faults\n",
					file,
					s.Name,
					s.Gateways.Count,
					s.Servers.Count,
					s.Load.Rate,
					s.Length.D(),
					len(s.Faults),
				)
				problems = append(problems, err)
			}
			return errors.Join(problems...)
		},
	}
}

// faultsCommand lists the kinds of faults. Its name is the one that scenario files have for them.
func faultsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "troubles", Short: "the kinds of faults by name", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var text strings.Builder
			for _, name := range scenario.FaultKindNames() {
				fmt.Fprintf(&text, "%-18s %s\n", name, scenario.FaultKinds[name].Description)
			}
			_, err := io.WriteString(cmd.OutOrStdout(), text.String())
			return err
		},
	}
}

// gatewayCommand runs a gateway as a process of this program: demo and emulate start some.
func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "gateway CONFIG.json", Short: "run one gateway, as harrierhoist does",
		Args: cobra.ExactArgs(1), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error { return gateway.Run(args[0]) },
	}
}
