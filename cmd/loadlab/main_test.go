package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain lets this test be the program: demo and emulate start gateways as processes of their own.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-test.") {
		main()
		return
	}
	os.Exit(m.Run())
}

// run runs a sub-command and gives what it prints.
func run(t *testing.T, args ...string) string {
	t.Helper()
	var out, log bytes.Buffer
	c := root()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&log)
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatalf("%v: %v\n%s", args, err, log.String())
	}
	return out.String()
}

func TestSubCommands(t *testing.T) {
	dir := t.TempDir()
	results, found := filepath.Join(dir, "r.jsonl"), filepath.Join(dir, "found.toml")
	if got := run(t, "check", "../../scenarios/worlds/calm.toml"); !strings.Contains(got, "calm: 30 gateways, 20 servers") {
		t.Error(got)
	}
	if got := run(t, "run", "../../scenarios/plans/smoke.toml", "-o", results); strings.Count(got, "| release |") != 2 {
		t.Error(got)
	}
	if got := run(t, "compare", results, "--variants", "random,module"); !strings.Contains(got, "| release | 4 | net |") {
		t.Error(got)
	}
	got := run(t, "report", results, "-c", filepath.Join(dir, "charts"))
	charts, _ := filepath.Glob(filepath.Join(dir, "charts", "*.svg"))
	if len(charts) != 3 || !strings.Contains(got, "release-4-service.svg") {
		t.Errorf("%v\n%s", charts, got)
	}
	if got := run(t, "size", "../../scenarios/worlds/calm.toml", "--gateways", "3", "--seconds", "2"); strings.Count(got, "| 3 |") != 2 {
		t.Error(got)
	}
	if got := run(t, "search", "../../scenarios/worlds/calm.toml", "-n", "1", "--troubles", "1", "-o", found); !strings.Contains(got, "worst of") {
		t.Error(got)
	}
	if got := run(t, "check", found); !strings.Contains(got, "calm-found") {
		t.Error(got)
	}
	if got := run(t, "troubles"); !strings.Contains(got, "counter_split") {
		t.Error(got)
	}
}

func TestDemo(t *testing.T) {
	got := run(t, "demo", "--for", "3s", "--charts", t.TempDir())
	for _, want := range []string{"gateways at [127.0.0.1:", "served", "s-0008", "rules broken, by the servers' and clients' record: [0 0 0 0 0]", "chart: "} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
}

func TestLoad_reportsAfterInterrupt(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	world := filepath.Join(t.TempDir(), "w.toml")
	_ = os.WriteFile(world, []byte("[gateways]\ncount = 1\nhalls = 1\n[servers]\ncount = 4\n"), 0o600)
	emulate := exec.Command(program, "emulate", world)
	out, err := emulate.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := emulate.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = emulate.Process.Signal(syscall.SIGINT)
		_ = emulate.Wait()
	}()
	var told struct{ Gateways []string }
	if err := json.NewDecoder(out).Decode(&told); err != nil || len(told.Gateways) != 1 {
		t.Fatal(err, told)
	}
	load := exec.Command(program, "load", "-g", told.Gateways[0], "--rate", "50", "--for", "60s")
	var report bytes.Buffer
	load.Stdout = &report
	if err := load.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	_ = load.Process.Signal(syscall.SIGINT)
	if err := load.Wait(); err != nil || !strings.Contains(report.String(), "availability") || strings.Contains(report.String(), "offered 0 ") {
		t.Errorf("%v\n%s", err, report.String())
	}
}
