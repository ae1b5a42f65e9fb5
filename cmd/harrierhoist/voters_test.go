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

// A voter that shuts down transfers the leadership: when it has ended, another leads, by the one
// election that it asked for. One that did not vote may learn of it a moment later.
func TestVoters_terminatedLeaderTransfersLeadership(t *testing.T) {
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.writePlan(0, "one")
	leader := c.leader()
	before, err := c.client.Info(t.Context(), c.addresses[leader])
	if err != nil {
		t.Fatal(err)
	}
	c.signal(leader, syscall.SIGTERM)
	c.waitForCleanExit(leader)
	delete(c.addresses, leader)
	leaders := 0
	for name, address := range c.addresses {
		info, err := c.client.Info(t.Context(), address)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if info.Status.Leader == info.Number {
			leaders++
		}
	}
	if leaders != 1 {
		t.Errorf("%d voters lead once the earlier leader has ended", leaders)
	}
	for name, address := range c.addresses {
		fakes.Eventually(t, name+" follows the new leader", func() bool {
			info, err := c.client.Info(t.Context(), address)
			return err == nil && info.Status.Leader != before.Number && info.Status.Leader != 0 &&
				info.Status.Term == before.Status.Term+1
		})
	}
}

// A voter whose disk is lost must not come back as if it had never voted: its number is refused,
// and a new one takes its place once the files say so.
func TestVoters_lostDiskReturnsOnlyUnderANewNumber(t *testing.T) {
	t.Parallel()
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.writePlan(0, "one")
	fakes.Eventually(t, "the disks' fingerprints", func() bool {
		info, err := c.client.Info(t.Context(), c.addresses["v1"])
		known := 0
		for _, member := range info.Status.Members {
			if member.DiskID != "" {
				known++
			}
		}
		return err == nil && known == 3
	})
	c.kill("v2")
	if err := os.RemoveAll(c.diskPath("v2")); err != nil {
		t.Fatal(err)
	}
	c.start("v2")
	c.waitForLog("v2", "a lost disk comes back under a new number")
	if info, err := c.client.Info(t.Context(), c.addresses["v2"]); err != nil || info.Started {
		t.Errorf("%+v, %v", info, err)
	}
	c.voters = strings.Replace(c.voters, voterTable(2, "v2", c.addresses["v2"], 0),
		voterTable(4, "v2", c.addresses["v2"], 2), 1)
	for _, name := range []string{"v1", "v2", "v3"} {
		c.writeFile(name, c.diskPath(name))
		c.signal(name, syscall.SIGHUP)
	}
	c.waitForLog("v2", "coordination: voter started")
	c.writePlan(1, "two")
	c.waitForLog("v2", `"plan":2`)
	c.kill("v1") // the new one counts: with it a majority stands
	c.writePlan(2, "three")
	c.start("v1")
	c.leader()
}

// A bad file on SIGHUP leaves all as it was, and its fault is logged; so are settings that need a
// restart.
func TestVoters_reloadReadsTheConfigurationAgain(t *testing.T) {
	c := newVoterCluster(t, "v1")
	c.voters = "single = true\n" + c.voters // ends [process]
	c.start("v1")
	c.writePlan(0, "one")
	good, err := os.ReadFile(c.writeFile("v1", c.diskPath("v1")))
	if err != nil {
		t.Fatal(err)
	}
	for text, line := range map[string]string{
		strings.Replace(string(good), "single", "singel", 1): "process.singel is no key",
		strings.Replace(string(good), "hall-a", "hall-b", 1): `coordination: changed settings need a restart",` +
			`"process":"v1","keys":["process.hall"]`,
		string(good) + "[timing]\nlease = \"1s\"\n": "coordination: new configuration in force",
	} {
		replaceFile(t, c.writeFile("v1", c.diskPath("v1")), text)
		c.signal("v1", syscall.SIGHUP)
		c.waitForLog("v1", line)
	}
	c.writePlan(1, "two")
}

// A bad coordination file ends the process with plain lines, each with the file and the key.
func TestVoters_badConfigurationIsPlainLines(t *testing.T) {
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.voters = strings.Replace(c.voters, c.addresses["v2"], "192.0.2.1:7400", 1)
	path := c.writeFile("v1", c.diskPath("v1"))
	for file, keys := range map[string][]string{path: {"voter.2.address"}, path + ".none": {"no such file"}} {
		c.run("v1", "RELAY_CONFIG=", "RELAY_COMMON="+file)
		err := c.processes["v1"].Wait()
		lines := strings.Split(strings.TrimSpace(c.logs["v1"].String()), "\n")
		if err == nil || len(lines) != len(keys) {
			t.Fatalf("ended with %v: %q", err, lines)
		}
		for i, key := range keys {
			if !strings.HasPrefix(lines[i], "harrierhoist: ") || !strings.Contains(lines[i], file) ||
				!strings.Contains(lines[i], key) {
				t.Error(lines[i])
			}
		}
	}
}

// Two processes on the files of one voter would vote twice: the second does not start.
func TestVoters_secondProcessOnTheSameFilesIsRefused(t *testing.T) {
	c := newVoterCluster(t, "v1")
	c.voters = "single = true\n" + c.voters
	c.start("v1")
	c.writePlan(0, "one")
	text, err := os.ReadFile(c.writeFile("v1", c.diskPath("v1")))
	if err != nil {
		t.Fatal(err)
	}
	other := c.writeFile("v1", c.diskPath("other")) + ".other"
	replaceFile(t, other, strings.Replace(string(text), "voter = true",
		fmt.Sprintf("voter = true\nlisten = %q", freeAddress(t)), 1))
	c.run("other", "RELAY_CONFIG=", "RELAY_COMMON="+other)
	if err := c.processes["other"].Wait(); err == nil || !strings.Contains(c.logs["other"].String(), "answers at") {
		t.Errorf("ended with %v: %s", err, c.logs["other"])
	}
}

// What is on starts with the gateway, by the zone that it is in; a zone that its settings do not
// have is refused.
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
	c.writePlan(0, "one")
	c.waitForLog("g1", `"plan":1`)
	text, err := os.ReadFile(c.writeFile("g1", ""))
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(t, c.dir+"/else.toml", strings.ReplaceAll(string(text), "hall-a", "hall-z"))
	if text, err = os.ReadFile(c.dir + "/g1.json"); err != nil {
		t.Fatal(err)
	}
	listen := regexp.MustCompile(`"listen":"[^"]*"`)
	replaceFile(t, c.dir+"/else.json",
		listen.ReplaceAllString(string(text), fmt.Sprintf(`"listen":%q`, freeAddress(t))))
	c.run("else", "RELAY_CONFIG="+c.dir+"/else.json", "RELAY_COMMON="+c.dir+"/else.toml")
	if err := c.processes["else"].Wait(); err == nil || c.logs["else"].Count("process.hall must be one of") != 1 {
		t.Errorf("ended with %v: %s", err, c.logs["else"])
	}
}
