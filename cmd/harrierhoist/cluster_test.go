package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/subprocess"
)

// voterCluster is voters of the program under test on loopback, each with its file and its folder.
type voterCluster struct {
	*testing.T
	dir       string
	addresses map[string]string
	voters    string // their tables, which stand in every file
	processes map[string]*exec.Cmd
	logs      map[string]*subprocess.Log
	client    *transport.Client
	number    uint64 // of the latest command
}

func newVoterCluster(t *testing.T, names ...string) *voterCluster {
	t.Helper()
	c := &voterCluster{
		T: t, dir: t.TempDir(), addresses: map[string]string{}, processes: map[string]*exec.Cmd{},
		logs:   map[string]*subprocess.Log{},
		client: transport.NewClient(transport.Network{}, 2),
	}
	t.Cleanup(c.client.Close)
	for i, name := range names {
		c.addresses[name] = freeAddress(t)
		c.voters += voterTable(uint64(i+1), name, c.addresses[name], 0)
	}
	return c
}

// voterTable is a voter in a coordination file; replaces is the number of the one that it replaces,
// 0: none.
func voterTable(number uint64, name, address string, replaces uint64) string {
	text := fmt.Sprintf("[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", number, name, address)
	if replaces > 0 {
		text += fmt.Sprintf("replaces = %d\n", replaces)
	}
	return text
}

// writeFile writes a process's coordination file and returns its path; a voter has a folder of its
// own.
func (c *voterCluster) writeFile(name, disk string) string {
	c.Helper()
	text := fmt.Sprintf("[process]\nname = %q\nhall = \"hall-a\"\n", name)
	if disk != "" {
		text += fmt.Sprintf("voter = true\ndisk = %q\n", disk)
	}
	path := filepath.Join(c.dir, name+".toml")
	replaceFile(c.T, path, text+c.voters)
	return path
}

func (c *voterCluster) diskPath(name string) string { return filepath.Join(c.dir, "disk-"+name) }

// start starts voters.
func (c *voterCluster) start(names ...string) {
	c.Helper()
	for _, name := range names {
		c.run(name, "RELAY_CONFIG=", "RELAY_COMMON="+c.writeFile(name, c.diskPath(name)))
	}
}

// run starts a process under a name.
func (c *voterCluster) run(name string, env ...string) {
	c.Helper()
	c.processes[name], c.logs[name] = startProgram(c.T, env...)
}

// kill ends processes at once, with no chance to shut down.
func (c *voterCluster) kill(names ...string) {
	for _, name := range names {
		_ = c.processes[name].Process.Kill()
	}
	for _, name := range names {
		_ = c.processes[name].Wait()
	}
}

// leader returns the name of a voter that leads by its own word and that of all others who answer,
// a majority.
func (c *voterCluster) leader() (leader string) {
	c.Helper()
	fakes.Eventually(c, "a leader", func() bool {
		votes := map[uint64]int{}
		for name, address := range c.addresses {
			if info, err := c.client.Info(c.Context(), address); err == nil && info.Started && info.Status.Leader != 0 {
				if votes[info.Status.Leader]++; info.Status.Leader == info.Number {
					leader = name
				}
			}
		}
		for _, n := range votes {
			if n > len(c.addresses)/2 && len(votes) == 1 && leader != "" {
				return true
			}
		}
		leader = ""
		return false
	})
	return leader
}

// planTable is the table that tests write.
const planTable = "plan"

// writePlan has the plan written, at the epoch that it has. A command whose result is unknown is
// proposed again under its number.
func (c *voterCluster) writePlan(epoch uint64, value string) {
	c.Helper()
	c.number++
	fakes.Eventually(c, "a write", func() bool {
		for _, address := range c.addresses {
			result, err := c.client.Propose(c.Context(), address, statemachine.Command{
				Kind: statemachine.Write, Proposer: "test/1", Number: c.number, Table: planTable, Epoch: epoch,
				Value: []byte(value),
			})
			if err == nil && result.Applied {
				return true
			}
		}
		return false
	})
}

// readPlan reads the plan as a majority confirms it.
func (c *voterCluster) readPlan() (plan statemachine.Table) {
	c.Helper()
	fakes.Eventually(c, "a read", func() bool {
		for _, address := range c.addresses {
			ctx, cancel := context.WithTimeout(c.Context(), time.Second)
			found, _, err := c.client.Read(ctx, address, nil, 0)
			cancel()
			if err == nil {
				plan = found[planTable]
				return true
			}
		}
		return false
	})
	return plan
}

// waitForLog waits until a text is in the log of a process.
func (c *voterCluster) waitForLog(name, text string) {
	c.Helper()
	waitForLog(c.T, c.logs[name], text)
}

// signal sends a signal to a process.
func (c *voterCluster) signal(name string, signal os.Signal) {
	c.Helper()
	if err := c.processes[name].Process.Signal(signal); err != nil {
		c.Fatal(err)
	}
}

// waitForCleanExit waits for the end of a process, which has to be one without an error.
func (c *voterCluster) waitForCleanExit(name string) {
	c.Helper()
	if err := c.processes[name].Wait(); err != nil {
		c.Errorf("%s: ended with %v", name, err)
	}
}

// startGateway starts a gateway that follows the voters.
func (c *voterCluster) startGateway(name string) {
	c.Helper()
	gateway := newGateway(c.T, answerHello)
	gateway.addr, gateway.configPath = freeAddress(c.T), filepath.Join(c.dir, name+".json")
	gateway.discovery = fakes.NewDiscovery(c.T, gateway.host())
	replaceFile(c.T, gateway.configPath, configuration(gateway.addr, gateway.discovery.Addr, gateway.counter.Addr,
		fakes.FormatList(1, true, gateway.host())))
	c.run(name, "RELAY_CONFIG="+gateway.configPath, "RELAY_COMMON="+c.writeFile(name, ""))
	c.waitForLog(name, `"gateway: ready"`)
}

// What one process writes all have, whoever leads; what was acknowledged survives the end of all
// voters at once.
func TestVoters_writesAreReplicatedAndDurable(t *testing.T) {
	t.Parallel()
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.startGateway("g1")
	c.startGateway("g2")
	c.writePlan(0, "one")
	for _, name := range []string{"v1", "v2", "v3", "g1", "g2"} {
		c.waitForLog(name, `"plan":1`)
	}
	leader := c.leader()
	c.kill(leader)
	c.writePlan(1, "two")
	c.waitForLog("g1", `"plan":2`)
	c.waitForLog("g2", `"plan":2`)
	c.start(leader)
	c.leader()
	c.writePlan(2, "three")
	c.kill("v1", "v2", "v3")
	c.waitForLog("g1", "follower: lease expired")
	c.start("v1", "v2", "v3")
	if plan := c.readPlan(); plan.Epoch != 3 || string(plan.Value) != "three" {
		t.Errorf("after all were killed: %+v", plan)
	}
	c.waitForLog("g1", "follower: lease renewed")
	c.waitForLog("g1", `"plan":3`)
	if n := c.logs["g1"].Count("follower: lease expired"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	c.signal("g1", syscall.SIGTERM)
	c.waitForCleanExit("g1")
}
