package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"harrierhoist/internal/lab/emulation"
	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/load"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/resp"
)

// sockets handed to each gateway of the laboratory.
const socketsPerGateway = 512

// fleet is a world that runs, and gateways before it, each a process of this program.
type cluster struct {
	*emulation.World
	addresses []string
	processes []*exec.Cmd
	dir       string
}

// startFleet starts emulated servers, counter and discovery, and gateways on free ports; it waits until they are ready.
func startCluster(ctx context.Context, w *scenario.Scenario, log io.Writer) (*cluster, error) {
	world, err := emulation.Start(w, w.Seed)
	if err != nil {
		return nil, err
	}
	c := &cluster{World: world}
	if c.dir, err = os.MkdirTemp("", "loadlab-"); err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for n := range w.Gateways.Count {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addr := probe.Addr().String()
		_ = probe.Close()
		told, err := world.GatewayConfig(n, addr, socketsPerGateway)
		if err != nil {
			return nil, err
		}
		file := filepath.Join(c.dir, fmt.Sprintf("n%d.json", n))
		if err := os.WriteFile(file, told, 0o600); err != nil {
			return nil, err
		}
		p := exec.CommandContext(ctx, program, "gateway", file)
		p.Cancel = func() error { return p.Process.Signal(syscall.SIGTERM) }
		p.WaitDelay = 5 * time.Second
		p.Stderr = log
		if err := p.Start(); err != nil {
			c.stop()
			return nil, err
		}
		c.processes = append(c.processes, p)
		c.addresses = append(c.addresses, addr)
	}
	for _, addr := range c.addresses {
		if err := waitReady(ctx, addr, 10*time.Second); err != nil {
			c.stop()
			return nil, err
		}
	}
	return c, nil
}

// ready waits until a gateway answers PING with PONG.
func waitReady(ctx context.Context, addr string, within time.Duration) error {
	for end := time.Now().Add(within); ctx.Err() == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		c := resp.NewConn(conn)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		if c.WriteCommand(&resp.Command{Words: []string{"PING"}}) == nil && c.Await() == nil {
			if r, err := c.ReadReply(); err == nil && r.Line == "PONG" {
				_ = c.Close()
				return nil
			}
		}
		_ = c.Close()
	}
	return fmt.Errorf("the gateway at %s is not ready after %v", addr, within)
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range c.processes {
		_ = p.Wait()
	}
	c.Close()
	_ = os.RemoveAll(c.dir)
}

func emulateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "emulate WORLD.toml", Short: "start a world's servers, counter, discovery and real gateways on loopback until Ctrl-C",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			w, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			c, err := startCluster(cmd.Context(), w, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			defer c.stop()
			out := json.NewEncoder(cmd.OutOrStdout())
			counter := ""
			if c.Counter != nil {
				counter = c.Counter.Addr
			}
			if err := out.Encode(map[string]any{"gateways": c.addresses, "discovery": c.Discovery.Addr, "counter": counter}); err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
}

func demoCommand() *cobra.Command {
	duration, dir := 12*time.Second, ""
	c := &cobra.Command{
		Use: "demo", Short: "two real gateways before emulated servers, one of which is lost on the way", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd, duration, dir) },
	}
	c.Flags().DurationVar(&duration, "for", duration, "how long load is sent")
	c.Flags().StringVar(&dir, "charts", os.TempDir(), "folder for the chart")
	return c
}

// demoWorld is sound, small and half loaded.
func demoWorld() (*scenario.Scenario, error) {
	w, err := scenario.Parse("demo", nil)
	if err != nil {
		return nil, err
	}
	w.Name = "demo"
	w.Gateways.Count, w.Gateways.Zones = 2, 1
	w.Servers.Count, w.Servers.RackSize = 8, 4
	w.Load.Rate = 120
	return w, nil
}

func demo(cmd *cobra.Command, duration time.Duration, dir string) error {
	w, err := demoWorld()
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	c, err := startCluster(cmd.Context(), w, io.Discard)
	if err != nil {
		return err
	}
	defer c.stop()
	fmt.Fprintf(out, "%d emulated servers, a counter, discovery; gateways at %v\n", len(c.Servers), c.addresses)
	fmt.Fprintf(out, "%g tasks a second for %v; the first server falls silent for the middle third\n", w.Load.Rate, duration)
	time.AfterFunc(duration/3, func() { c.Servers[0].SetSilent(true) })
	time.AfterFunc(2*duration/3, func() { c.Servers[0].SetSilent(false) })
	driver := &load.Driver{World: w, Gateways: c.addresses, Rate: w.Load.Rate, Duration: duration, Seed: 1, Recorder: c.Recorder, Progress: cmd.ErrOrStderr()}
	report, err := driver.Run(cmd.Context())
	if err != nil {
		return err
	}
	report.WriteTable(out, w.Classes)
	fmt.Fprintf(out, "\n%-8s %8s\n", "server", "tasks")
	for _, s := range c.Servers {
		fmt.Fprintf(out, "%-8s %8d\n", s.Name, s.Started.Load())
	}
	c.Recorder.Record(func(l *invariants.Checker, at time.Duration) {
		l.Finish(at)
		fmt.Fprintf(out, "\nunits sent on %.0f, beyond quotas %.0f; calls to the counter %d\n", l.ForwardedUnits, l.OverQuotaUnits, c.Counter.Calls.Load())
		fmt.Fprintf(out, "rules broken, by the servers' and clients' record: %v\n", l.Counts)
		for _, b := range l.Violations {
			fmt.Fprintln(out, " ", b)
		}
	})
	file, err := chart(dir, report, duration)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "chart: %s\n", file)
	return nil
}

// chart draws what came of each second.
func chart(dir string, report *load.Report, duration time.Duration) (string, error) {
	p := plot.New()
	p.Title.Text = "tasks by the second in which they were due"
	p.X.Label.Text, p.Y.Label.Text = "second", "tasks"
	p.Y.Min = 0
	series := []struct {
		name string
		of   func(load.Second) int
	}{
		{"offered", func(s load.Second) int { return s.Offered }},
		{"in time", func(s load.Second) int { return s.InTime }},
		{"rejected", func(s load.Second) int { return s.Rejected }},
		{"failed", func(s load.Second) int { return s.Failed }},
	}
	for i, s := range series {
		points := plotter.XYs{}
		for n, sec := range report.Seconds {
			points = append(points, plotter.XY{X: float64(n), Y: float64(s.of(sec))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	file := filepath.Join(dir, "loadlab-demo.svg")
	return file, p.Save(7*vg.Inch, 3.5*vg.Inch, file)
}
