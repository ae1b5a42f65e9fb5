package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/scenario"
)

const sizeTableHead = "| gateways | servers | requests a second offered | policy | attempts | wall s | " +
	"attempts a wall second | memory MB |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- |\n"

const (
	// defaultSeconds is the most virtual time of a run in seconds, unless a flag says.
	defaultSeconds = 10
	bytesPerMB     = 1e6
)

// The numbers of gateways, unless a flag says.
const (
	fewGateways  = 10
	someGateways = 100
	manyGateways = 1000
)

func sizeCommand() *cobra.Command {
	var sizes []int
	seconds := defaultSeconds
	command := &cobra.Command{
		Use:   "size SCENARIO.toml",
		Short: "how fast simulations run, and what they cost, from few gateways to thousands", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			if _, err := io.WriteString(cmd.OutOrStdout(), sizeTableHead); err != nil {
				return err
			}
			for _, gateways := range sizes {
				for _, policy := range []string{"module", "random"} {
					scaled := experiment.Scaled(s, gateways)
					scaled.Length = min(scaled.Length, scenario.Span(time.Duration(seconds)*time.Second))
					if err := measure(cmd.OutOrStdout(), scaled, gateways, policy); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
	command.Flags().IntSliceVar(&sizes, "gateways", []int{fewGateways, someGateways, manyGateways}, "sizes")
	command.Flags().IntVar(&seconds, "seconds", defaultSeconds, "of virtual time, at most")
	return command
}

// measure runs a scenario once and writes a line on its costs.
func measure(out io.Writer, s *scenario.Scenario, gateways int, policy string) error {
	runtime.GC()
	start := time.Now()
	result, err := experiment.RunScenario(s, policy, 1)
	if err != nil {
		return err
	}
	wall := time.Since(start).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	attempts := result.Tries * s.Load.Rate * s.Length.D().Seconds()
	_, err = fmt.Fprintf(
		out,
		"| %d | %d | %.0f | %s | %.0f | %.2f | %.0f | %.0f |\n",
		gateways,
		s.Servers.Count,
		s.Load.Rate,
		policy,
		attempts,
		wall,
		attempts/wall,
		float64(memory.HeapSys)/bytesPerMB,
	)
	return err
}
