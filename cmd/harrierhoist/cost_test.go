package main

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

// Measures what the program costs with nothing in common, against an earlier build of it: BEFORE and NOW name the two,
// built alike. Its table is in docs/cluster.md.
func TestCostWithoutCoordination(t *testing.T) {
	before, now := os.Getenv("BEFORE"), os.Getenv("NOW")
	if before == "" || now == "" {
		t.Skip("a measurement: BEFORE=/an/earlier/harrierhoist NOW=/this/one")
	}
	built := program
	defer func() { program = built }()
	const rounds = 9
	programs := map[string]string{"before": before, "now": now}
	starts, tasks := map[string][]time.Duration{}, map[string][]time.Duration{}
	memory, private := map[string][]int{}, map[string][]int{}
	for range rounds {
		for name, path := range programs {
			program = path
			t.Run(name, func(t *testing.T) {
				began := time.Now()
				gateway := startGateway(t, 1024, answerHello)
				starts[name] = append(starts[name], time.Since(began))
				c := &voterCluster{T: t}
				c.processes = map[string]*exec.Cmd{"g": gateway.process}
				client := gateway.connect()
				for range 200 { // warm
					client.send(queryCommand("c=look,t=wide,d=4800,units=1"))
					client.want("hello")
				}
				was, _, _ := c.resourcesUsed("g")
				const each = 3000
				for range each {
					for gateway.server.PendingCommands() > 0 { // else the stand-in stops once so many wait
						gateway.server.NextCommand(t)
					}
					client.send(queryCommand("c=look,t=wide,d=4800,units=1"))
					client.want("hello|-BUSY.*")
				}
				cpu, _, _ := c.resourcesUsed("g")
				tasks[name] = append(tasks[name], (cpu-was)/each)
				memory[name] = append(memory[name], residentKB(gateway.process.Process.Pid, "VmRSS:"))
				private[name] = append(private[name], residentKB(gateway.process.Process.Pid, "RssAnon:"))
				_ = gateway.process.Process.Kill()
			})
		}
	}
	for _, name := range []string{"before", "now"} {
		info, err := os.Stat(programs[name])
		if err != nil {
			t.Fatal(err)
		}
		slices.Sort(starts[name])
		slices.Sort(memory[name])
		slices.Sort(private[name])
		slices.Sort(tasks[name])
		t.Logf("%s: file %d kB; medians of %d: start to ready %v, resident %d kB, of it its own %d kB, CPU a task %v",
			name, info.Size()>>10, rounds, starts[name][rounds/2], memory[name][rounds/2], private[name][rounds/2], tasks[name][rounds/2])
	}
}

// residentKB is a figure of a process's memory in kB; RssAnon is without the pages of its file, which the system shares
// among processes and drops at will.
func residentKB(pid int, what string) (kb int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, after, ok := strings.Cut(string(status), what); ok {
		_, _ = fmt.Sscanf(after, "%d kB", &kb)
	}
	return kb
}
