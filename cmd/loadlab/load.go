package main

import (
	"time"

	"github.com/spf13/cobra"

	"harrierhoist/internal/lab/load"
	"harrierhoist/internal/lab/scenario"
)

// defaultLoadDuration is how long load is sent, unless a flag says.
const defaultLoadDuration = 10 * time.Second

func loadCommand() *cobra.Command {
	driver := &load.Driver{}
	file := ""
	command := &cobra.Command{
		Use:   "load",
		Short: "drive running gateways at a given rate, open loop; Ctrl-C ends it with its report", Args: cobra.NoArgs,
		Example: "  loadlab load --gateway 127.0.0.1:6379 --rate 200 --for 30s",
		RunE:    func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, driver, file) },
	}
	command.Flags().StringSliceVarP(&driver.Gateways, "gateway", "g", nil, "address of a gateway; may be repeated")
	command.Flags().Float64VarP(&driver.Rate, "rate", "r", 0, "requests a second; 0: the scenario's")
	command.Flags().DurationVar(&driver.Duration, "for", defaultLoadDuration, "how long")
	command.Flags().StringVarP(
		&file,
		"world",
		"w",
		"",
		"scenario file with the classes and plans; default: the built-in scenario",
	)
	command.Flags().Uint64Var(&driver.Seed, "seed", 1, "of the requests and their ids")
	if err := command.MarkFlagRequired("gateway"); err != nil {
		panic(err) // the flag is defined above
	}
	return command
}

func runLoad(cmd *cobra.Command, driver *load.Driver, file string) error {
	spec, err := scenario.Parse("the default world", nil)
	if file != "" {
		spec, err = scenario.Read(file)
	}
	if err != nil {
		return err
	}
	driver.Scenario = spec
	driver.Progress = cmd.ErrOrStderr()
	if driver.Rate <= 0 {
		driver.Rate = spec.Load.Rate
	}
	report, err := driver.Run(cmd.Context())
	if err != nil {
		return err
	}
	return report.WriteTable(cmd.OutOrStdout(), spec.Classes)
}
