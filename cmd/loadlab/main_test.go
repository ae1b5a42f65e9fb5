package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestMain lets this test be the program: demo and emulate start gateways as processes of their
// own.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-test.") {
		main()
		return
	}
	os.Exit(m.Run())
}

// run runs a command and returns what it prints.
func run(t *testing.T, args ...string) string {
	t.Helper()
	var out, log bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&log)
	if err := c.ExecuteContext(t.Context()); err != nil {
		t.Fatalf("%v: %v\n%s", args, err, log.String())
	}
	return out.String()
}

const calm = "../../scenarios/worlds/calm.toml"

// TestCommands runs each command of virtual time; later ones read the files of earlier ones.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	results := filepath.Join(dir, "r.jsonl")
	charts := filepath.Join(dir, "charts")
	found := filepath.Join(dir, "found.toml")
	for _, test := range []struct {
		name  string
		args  []string
		want  string
		times int // 0: at least once
	}{
		{"check", []string{"check", calm}, "calm: 30 gateways, 20 servers", 0},
		{"run", []string{"run", "../../scenarios/plans/smoke.toml", "-o", results}, "| release |", 2},
		{"compare", []string{"compare", results, "--variants", "random,module"}, "| release | 4 | net |", 0},
		{"report", []string{"report", results, "-c", charts}, "release-4-service.svg", 0},
		{"size", []string{"size", calm, "--gateways", "3", "--seconds", "2"}, "| 3 |", 2},
		{"search", []string{"search", calm, "-n", "1", "--troubles", "1", "-o", found}, "worst of", 0},
		{"check what was found", []string{"check", found}, "calm-found", 0},
		{"troubles", []string{"troubles"}, "counter_split", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, test.args...)
			if n := strings.Count(got, test.want); n == 0 || test.times > 0 && n != test.times {
				t.Errorf("%q stands %d times in\n%s", test.want, n, got)
			}
		})
	}
	if written, err := filepath.Glob(filepath.Join(charts, "*.svg")); err != nil || len(written) != 3 {
		t.Errorf("%v, %v, want 3 charts", written, err)
	}
}

func TestDemo(t *testing.T) {
	got := run(t, "demo", "--for", "3s", "--charts", t.TempDir())
	for _, want := range []string{
		"gateways at [127.0.0.1:", "served", "s-0008",
		"rules broken, by the servers' and clients' record: [0 0 0 0 0]", "chart: ",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
}

// startGateway starts emulate with one gateway and returns the gateway's address.
func startGateway(t *testing.T, program string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.toml")
	const text = "[gateways]\ncount = 1\nhalls = 1\n[servers]\ncount = 4\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	emulate := exec.Command(program, "emulate", file)
	out, err := emulate.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := emulate.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := emulate.Process.Signal(syscall.SIGINT); err != nil {
			t.Error(err)
		}
		if err := emulate.Wait(); err != nil {
			t.Error(err)
		}
	})
	var addresses struct{ Gateways []string }
	if err := json.NewDecoder(out).Decode(&addresses); err != nil || len(addresses.Gateways) != 1 {
		t.Fatal(err, addresses)
	}
	return addresses.Gateways[0]
}

func TestLoad_interruptEndsItWithItsReport(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	load := exec.Command(program, "load", "-g", startGateway(t, program), "--rate", "50", "--for", "60s")
	var report bytes.Buffer
	load.Stdout = &report
	progress, err := load.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := load.Start(); err != nil {
		t.Fatal(err)
	}
	// The first line of progress has "served".
	if _, err := bufio.NewReader(progress).ReadString('v'); err != nil {
		t.Error(err)
	}
	if err := load.Process.Signal(syscall.SIGINT); err != nil {
		t.Error(err)
	}
	if err := load.Wait(); err != nil {
		t.Error(err)
	}
	if got := report.String(); !strings.Contains(got, "availability") || strings.Contains(got, "offered 0 ") {
		t.Errorf("report:\n%s", got)
	}
}
