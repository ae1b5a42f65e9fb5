package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
)

// voterCluster is voters of the built program on loopback, each with its file and its folder.
type voterCluster struct {
	*testing.T
	dir       string
	addresses map[string]string
	voters    string // their tables in every file
	processes map[string]*exec.Cmd
	logs      map[string]*logBuffer
	client    *transport.Client
	number    uint64 // of the latest command
}

func newVoterCluster(t *testing.T, names ...string) *voterCluster {
	c := &voterCluster{T: t, dir: t.TempDir(), addresses: map[string]string{}, processes: map[string]*exec.Cmd{}, logs: map[string]*logBuffer{},
		client: transport.NewClient(transport.Network{}, 2)}
	t.Cleanup(c.client.Close)
	for i, name := range names {
		c.addresses[name] = freeAddress(t)
		c.voters += voterTable(uint64(i+1), name, c.addresses[name], 0)
	}
	return c
}

func freeAddress(t *testing.T) string {
	l := fakes.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

func voterTable(number uint64, name, address string, replaces uint64) string {
	text := fmt.Sprintf("[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", number, name, address)
	if replaces > 0 {
		text += fmt.Sprintf("replaces = %d\n", replaces)
	}
	return text
}

// writeFile writes a process's file and gives its path; a voter has a folder of its own.
func (c *voterCluster) writeFile(name, disk string) string {
	c.Helper()
	text := fmt.Sprintf("[process]\nname = %q\nhall = \"hall-a\"\n", name)
	if disk != "" {
		text += fmt.Sprintf("voter = true\ndisk = %q\n", disk)
	}
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text+c.voters), 0o600); err != nil {
		c.Fatal(err)
	}
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

func (c *voterCluster) run(name string, env ...string) {
	c.Helper()
	cmd, log := exec.Command(program), &logBuffer{}
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		requireNoRace(c.T, log)
		if c.Failed() {
			c.Logf("%s:\n%s", name, log)
		}
	})
	c.processes[name], c.logs[name] = cmd, log
}

// kill ends processes at once, with no chance to say goodbye.
func (c *voterCluster) kill(names ...string) {
	for _, name := range names {
		_ = c.processes[name].Process.Kill()
	}
	for _, name := range names {
		_ = c.processes[name].Wait()
	}
}

// leader gives the name of a voter that says it leads, and that others follow.
func (c *voterCluster) leader() (leader string) {
	c.Helper()
	fakes.Eventually(c, "a leader", func() bool {
		votes := map[uint64]int{}
		for name, address := range c.addresses {
			if s, err := c.client.Info(c.Context(), address); err == nil && s.Started && s.Status.Leader != 0 {
				if votes[s.Status.Leader]++; s.Status.Leader == s.Number {
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

// writeTable has a table written, on the epoch that it stands at, and gives its new epoch. A command whose end is not known
// is proposed again under its number.
func (c *voterCluster) writeTable(table string, epoch uint64, value string) {
	c.Helper()
	c.number++
	fakes.Eventually(c, "a write", func() bool {
		for _, address := range c.addresses {
			r, err := c.client.Propose(c.Context(), address, statemachine.Command{Kind: statemachine.Write, Proposer: "test/1", Number: c.number,
				Table: table, Epoch: epoch, Value: []byte(value)})
			if err == nil && r.Applied {
				return true
			}
		}
		return false
	})
}

// readTable reads a table with the word of a majority.
func (c *voterCluster) readTable(table string) (e statemachine.Table) {
	c.Helper()
	fakes.Eventually(c, "a read", func() bool {
		for _, address := range c.addresses {
			ctx, cancel := context.WithTimeout(c.Context(), time.Second)
			found, _, err := c.client.Read(ctx, address, nil, 0)
			cancel()
			if err == nil {
				e = found[table]
				return true
			}
		}
		return false
	})
	return e
}

func (c *voterCluster) waitForLog(name, line string) {
	c.Helper()
	fakes.Eventually(c, name+" says "+line, func() bool { return strings.Contains(c.logs[name].String(), line) })
}

// startGateway starts a gateway that follows.
func (c *voterCluster) startGateway(name string) {
	c.Helper()
	gateway := &gatewayUnderTest{T: c.T, addr: freeAddress(c.T), server: fakes.NewServer(c.T, answerHello), counter: fakes.NewCounter(c.T)}
	entry := fakes.FormatHost("s-1", gateway.server.Addr, "in_service")
	gateway.discovery = fakes.NewDiscovery(c.T, entry)
	config := filepath.Join(c.dir, name+".json")
	text := fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, 1024, fakes.FormatList(1, true, entry))
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		c.Fatal(err)
	}
	c.run(name, "RELAY_CONFIG="+config, "RELAY_COMMON="+c.writeFile(name, ""))
	c.waitForLog(name, `"gateway: ready"`)
}

// What one process writes all hold, whoever leads; what was acknowledged outlives the end of all voters at once.
func TestVoters_writesAreReplicatedAndDurable(t *testing.T) {
	t.Parallel()
	c := newVoterCluster(t, "v1", "v2", "v3")
	c.start("v1", "v2", "v3")
	c.startGateway("g1")
	c.startGateway("g2")
	c.writeTable("plan", 0, "one")
	for _, name := range []string{"v1", "v2", "v3", "g1", "g2"} {
		c.waitForLog(name, `"plan":1`)
	}
	leader := c.leader()
	c.kill(leader)
	c.writeTable("plan", 1, "two")
	c.waitForLog("g1", `"plan":2`)
	c.waitForLog("g2", `"plan":2`)
	c.start(leader)
	c.leader()
	c.writeTable("plan", 2, "three")
	c.kill("v1", "v2", "v3")
	c.waitForLog("g1", "follower: lease expired")
	c.start("v1", "v2", "v3")
	if e := c.readTable("plan"); e.Epoch != 3 || string(e.Value) != "three" {
		t.Errorf("held after all were killed: %+v", e)
	}
	c.waitForLog("g1", "follower: lease renewed")
	c.waitForLog("g1", `"plan":3`)
	if n := strings.Count(c.logs["g1"].String(), "follower: lease expired"); n != 1 {
		t.Errorf("said %d times", n)
	}
	_ = c.processes["g1"].Process.Signal(syscall.SIGTERM)
	if err := c.processes["g1"].Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
