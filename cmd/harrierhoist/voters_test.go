package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

// A voter asked to end gives the lead away: when it has ended, another leads, by the one election that it asked for. One
// that did not vote may hear of it a moment later.
func TestVoters_terminatedLeaderTransfersLeadership(t *testing.T) {
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.writeTable("plan", 0, "one")
	leader := c.leader()
	was, _ := c.client.Info(t.Context(), c.addresses[leader])
	_ = c.processes[leader].Process.Signal(syscall.SIGTERM)
	if err := c.processes[leader].Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	delete(c.addresses, leader)
	leads := 0
	for name, address := range c.addresses {
		is, err := c.client.Info(t.Context(), address)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if is.Status.Leader == is.Number {
			leads++
		}
	}
	if leads != 1 {
		t.Errorf("%d voters lead once the old leader has ended", leads)
	}
	for name, address := range c.addresses {
		fakes.Eventually(t, name+" follows the new leader", func() bool {
			is, err := c.client.Info(t.Context(), address)
			return err == nil && is.Status.Leader != was.Number && is.Status.Leader != 0 && is.Status.Term == was.Status.Term+1
		})
	}
}

// A voter whose disk is lost must not come back as if it had never voted: its number is refused, and a new one takes
// its place once the files say so.
func TestVoters_lostDiskReturnsOnlyUnderANewNumber(t *testing.T) {
	t.Parallel()
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.writeTable("plan", 0, "one")
	fakes.Eventually(t, "the disks' marks", func() bool {
		s, _ := c.client.Info(t.Context(), c.addresses["v1"])
		n := 0
		for _, m := range s.Status.Members {
			if m.DiskID != "" {
				n++
			}
		}
		return n == 3
	})
	c.kill("v2")
	if err := os.RemoveAll(c.diskPath("v2")); err != nil {
		t.Fatal(err)
	}
	c.start("v2")
	c.waitForLog("v2", "a lost disk comes back under a new number")
	if s, err := c.client.Info(t.Context(), c.addresses["v2"]); err != nil || s.Started {
		t.Errorf("%+v, %v", s, err)
	}
	c.voters = strings.Replace(c.voters, voterTable(2, "v2", c.addresses["v2"], 0), voterTable(4, "v2", c.addresses["v2"], 2), 1)
	for _, name := range []string{"v1", "v2", "v3"} {
		c.writeFile(name, c.diskPath(name))
		_ = c.processes[name].Process.Signal(syscall.SIGHUP)
	}
	c.waitForLog("v2", "coordination: voter started")
	c.writeTable("plan", 1, "two")
	c.waitForLog("v2", `"plan":2`)
	c.kill("v1") // the new one counts: with it a majority stands
	c.writeTable("plan", 2, "three")
	c.start("v1")
	c.leader()
}

// A bad file on SIGHUP leaves all as it was, and says what is wrong with it; what takes a restart is named.
func TestVoters_reloadReadsTheConfigurationAgain(t *testing.T) {
	c := newVoterCluster(t, "v1")
	c.voters = "single = true\n" + c.voters // ends [process]
	c.start("v1")
	c.writeTable("plan", 0, "one")
	good, _ := os.ReadFile(c.writeFile("v1", c.diskPath("v1")))
	for text, line := range map[string]string{
		strings.Replace(string(good), "single", "singel", 1): "process.singel is no key",
		strings.Replace(string(good), "hall-a", "hall-b", 1): `coordination: changed settings need a restart","process":"v1","keys":["process.hall"]`,
		string(good) + "[timing]\nlease = \"1s\"\n":          "coordination: new configuration in force",
	} {
		if err := os.WriteFile(c.writeFile("v1", c.diskPath("v1")), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = c.processes["v1"].Process.Signal(syscall.SIGHUP)
		c.waitForLog("v1", line)
	}
	c.writeTable("plan", 1, "two")
}

// What a charter must not say ends the program in plain lines, each with the file and the key.
func TestVoters_badConfigurationIsPlainLines(t *testing.T) {
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.voters = strings.Replace(c.voters, c.addresses["v2"], "192.0.2.1:7400", 1)
	path := c.writeFile("v1", c.diskPath("v1"))
	for charter, keys := range map[string][]string{path: {"voter.2.address"}, path + ".none": {"no such file"}} {
		c.run("v1", "RELAY_CONFIG=", "RELAY_COMMON="+charter)
		err := c.processes["v1"].Wait()
		lines := strings.Split(strings.TrimSpace(c.logs["v1"].String()), "\n")
		if err == nil || len(lines) != len(keys) {
			t.Fatalf("ended with %v: %q", err, lines)
		}
		for i, key := range keys {
			if !strings.HasPrefix(lines[i], "harrierhoist: ") || !strings.Contains(lines[i], charter) || !strings.Contains(lines[i], key) {
				t.Error(lines[i])
			}
		}
	}
}

// Two processes on the files of one voter would be one voter twice: the second does not start.
func TestVoters_secondProcessOnTheSameFilesIsRefused(t *testing.T) {
	c := newVoterCluster(t, "v1")
	c.voters = "single = true\n" + c.voters
	c.start("v1")
	c.writeTable("plan", 0, "one")
	text, _ := os.ReadFile(c.writeFile("v1", c.diskPath("v1")))
	other := c.writeFile("v1", c.diskPath("other")) + ".other"
	moved := strings.Replace(string(text), "voter = true", fmt.Sprintf("voter = true\nlisten = %q", freeAddress(t)), 1)
	if err := os.WriteFile(other, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	c.run("other", "RELAY_CONFIG=", "RELAY_COMMON="+other)
	if err := c.processes["other"].Wait(); err == nil || !strings.Contains(c.logs["other"].String(), "answers at") {
		t.Errorf("ended with %v: %s", err, c.logs["other"])
	}
}

// The parts that are on begin with the gateway, by the hall that it stands in; one that its halls do not have is refused.
func TestCoordination_startsWithTheGateway(t *testing.T) {
	c := newVoterCluster(t, "v1")
	c.voters = "single = true\n" + c.voters + `
[failover]
on = true
bears = 100.0
[[failover.regions]]
name = "here"
halls = ["hall-a"]
[counting]
try = 0
`
	c.start("v1")
	c.startGateway("g1")
	c.writeTable("plan", 0, "one")
	c.waitForLog("g1", `"plan":1`)
	text, _ := os.ReadFile(c.writeFile("g1", ""))
	if err := os.WriteFile(c.dir+"/else.toml", []byte(strings.ReplaceAll(string(text), "hall-a", "hall-z")), 0o600); err != nil {
		t.Fatal(err)
	}
	config, _ := os.ReadFile(c.dir + "/g1.json")
	config = regexp.MustCompile(`"listen":"[^"]*"`).ReplaceAll(config, fmt.Appendf(nil, `"listen":%q`, freeAddress(t)))
	if err := os.WriteFile(c.dir+"/else.json", config, 0o600); err != nil {
		t.Fatal(err)
	}
	c.run("else", "RELAY_CONFIG="+c.dir+"/else.json", "RELAY_COMMON="+c.dir+"/else.toml")
	if err := c.processes["else"].Wait(); err == nil || strings.Count(c.logs["else"].String(), "process.hall must be one of") != 1 {
		t.Errorf("ended with %v: %s", err, c.logs["else"])
	}
}
