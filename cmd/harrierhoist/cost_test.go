package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCostWithoutCoordination measures what the program costs without coordination, against an
// earlier build of it: BEFORE and NOW name the two, built alike. Its table is in docs/cluster.md.
func TestCostWithoutCoordination(t *testing.T) {
	before, now := os.Getenv("BEFORE"), os.Getenv("NOW")
	if before == "" || now == "" {
		t.Skip("a measurement: BEFORE=/an/earlier/harrierhoist NOW=/this/one")
	}
	built := program
	defer func() { program = built }()
	const rounds = 9
	programs := map[string]string{"before": before, "now": now}
	costs := map[string]*costSamples{"before": {}, "now": {}}
	for range rounds {
		for name, path := range programs {
			program = path
			t.Run(name, costs[name].measure)
		}
	}
	for _, name := range []string{"before", "now"} {
		info, err := os.Stat(programs[name])
		if err != nil {
			t.Fatal(err)
		}
		cost := costs[name]
		t.Logf("%s: file %d kB; medians of %d: start to ready %v, "+
			"resident %d kB, of it its own %d kB, CPU a request %v",
			name, info.Size()>>10, rounds, median(cost.starts), median(cost.memory), median(cost.private),
			median(cost.requests))
	}
}

// costSamples are what a program cost in each round.
type costSamples struct {
	starts, requests []time.Duration // until ready; CPU time of a request
	memory, private  []int           // resident, in kB; without the pages of the program's file
}

func (s *costSamples) measure(t *testing.T) {
	begun := time.Now()
	gateway := startGateway(t, 1024, answerHello)
	s.starts = append(s.starts, time.Since(begun))
	process := &voterCluster{T: t, processes: map[string]*exec.Cmd{"g": gateway.process}}
	client := gateway.connect()
	const list = "c=look,t=wide,d=4800,units=1"
	for range 200 { // warm up
		client.query(list, "hello")
	}
	before, _, _ := process.resourcesUsed("g")
	const requests = 3000
	for range requests {
		for gateway.server.PendingCommands() > 0 { // else the fake stops once so many wait
			gateway.server.NextCommand(t)
		}
		client.query(list, "hello|-BUSY.*")
	}
	after, _, _ := process.resourcesUsed("g")
	s.requests = append(s.requests, (after-before)/requests)
	s.memory = append(s.memory, residentKB(gateway.process.Process.Pid, "VmRSS:"))
	s.private = append(s.private, residentKB(gateway.process.Process.Pid, "RssAnon:"))
	_ = gateway.process.Process.Kill()
}

func median[T cmp.Ordered](samples []T) T {
	slices.Sort(samples)
	return samples[len(samples)/2]
}

// residentKB is a figure of a process's memory in kB; RssAnon is without the pages of its file,
// which the system shares among processes and drops at will.
func residentKB(pid int, what string) (kb int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, after, ok := strings.Cut(string(status), what); ok {
		_, _ = fmt.Sscanf(after, "%d kB", &kb)
	}
	return kb
}
