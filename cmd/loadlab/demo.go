package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/load"
	"harrierhoist/internal/lab/scenario"
)

const (
	// demoDuration is how long the demo sends load, unless a flag says.
	demoDuration = 12 * time.Second
	// demoParts is the number of equal parts of the demo: one server is silent in the middle one.
	demoParts = 3
)

// The size of the demo's chart.
const (
	chartWidth  = 7 * vg.Inch
	chartHeight = 3.5 * vg.Inch
)

// The demo's scenario.
const (
	demoGateways = 2
	demoServers  = 8
	demoRackSize = 4
	demoRate     = 120 // requests a second
)

func demoCommand() *cobra.Command {
	duration := demoDuration
	dir := ""
	c := &cobra.Command{
		Use:   "demo",
		Short: "two real gateways before emulated servers, one of which falls silent for a while",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runDemo(cmd, duration, dir) },
	}
	c.Flags().DurationVar(&duration, "for", duration, "how long load is sent")
	c.Flags().StringVar(&dir, "charts", os.TempDir(), "folder for the chart")
	return c
}

// demoScenario is a small scenario at half its capacity, without faults.
func demoScenario() (*scenario.Scenario, error) {
	s, err := scenario.Parse("demo", nil)
	if err != nil {
		return nil, err
	}
	s.Name = "demo"
	s.Gateways.Count = demoGateways
	s.Gateways.Zones = 1
	s.Servers.Count = demoServers
	s.Servers.RackSize = demoRackSize
	s.Load.Rate = demoRate
	return s, nil
}

func runDemo(cmd *cobra.Command, duration time.Duration, dir string) (err error) {
	demo, err := demoScenario()
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	running, err := startCluster(cmd.Context(), demo, io.Discard)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, running.stop()) }()
	_, err = fmt.Fprintf(out, "%d emulated servers, a counter, discovery; gateways at %v\n"+
		"%g requests a second for %v; the first server falls silent for the middle third\n",
		len(running.Servers), running.addresses, demo.Load.Rate, duration)
	if err != nil {
		return err
	}
	time.AfterFunc(duration/demoParts, func() { running.Servers[0].SetSilent(true) })
	time.AfterFunc(2*duration/demoParts, func() { running.Servers[0].SetSilent(false) })
	driver := &load.Driver{
		Scenario: demo,
		Gateways: running.addresses,
		Rate:     demo.Load.Rate,
		Duration: duration,
		Seed:     1,
		Recorder: running.Recorder,
		Progress: cmd.ErrOrStderr(),
	}
	report, err := driver.Run(cmd.Context())
	if err != nil {
		return err
	}
	if err := report.WriteTable(out, demo.Classes); err != nil {
		return err
	}
	if _, err := io.WriteString(out, formatBackend(running)); err != nil {
		return err
	}
	file, err := writeChart(dir, report)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "chart: %s\n", file)
	return err
}

// formatBackend says what servers and counter saw, and which rules were broken.
func formatBackend(c *cluster) string {
	var out strings.Builder
	fmt.Fprintf(&out, "\n%-8s %8s\n", "server", "requests")
	for _, server := range c.Servers {
		fmt.Fprintf(&out, "%-8s %8d\n", server.Name, server.Started.Load())
	}
	c.Recorder.Record(func(checker *invariants.Checker, at time.Duration) {
		checker.Finish(at)
		fmt.Fprintf(&out, "\nunits forwarded %.0f, beyond quotas %.0f; counter calls %d\n",
			checker.ForwardedUnits, checker.OverQuotaUnits, c.Counter.Calls.Load())
		fmt.Fprintf(&out, "rules broken, by the servers' and clients' record: %v\n", checker.Counts)
		for _, violation := range checker.Violations {
			fmt.Fprintln(&out, " ", violation)
		}
	})
	return out.String()
}

// writeChart draws the outcomes by second and returns the chart's path.
func writeChart(dir string, report *load.Report) (string, error) {
	chart := plot.New()
	chart.Title.Text = "requests by the second in which they were due"
	chart.X.Label.Text = "second"
	chart.Y.Label.Text = "requests"
	chart.Y.Min = 0
	series := []struct {
		name  string
		value func(load.Second) int
	}{
		{"offered", func(s load.Second) int { return s.Offered }},
		{"in time", func(s load.Second) int { return s.InTime }},
		{"rejected", func(s load.Second) int { return s.Rejected }},
		{"failed", func(s load.Second) int { return s.Failed }},
	}
	for i, line := range series {
		points := plotter.XYs{}
		for n, second := range report.Seconds {
			points = append(points, plotter.XY{X: float64(n), Y: float64(line.value(second))})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		curve.Color = plotutil.Color(i)
		chart.Add(curve)
		chart.Legend.Add(line.name, curve)
	}
	file := filepath.Join(dir, "loadlab-demo.svg")
	return file, chart.Save(chartWidth, chartHeight, file)
}
