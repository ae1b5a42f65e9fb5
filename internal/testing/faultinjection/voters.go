package faultinjection

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/faultinjection/faultproxy"
	"harrierhoist/internal/testing/subprocess"
)

// LeaseDuration is short, so that scenarios are. Processes confirm what they hold about five times
// in it.
const LeaseDuration = time.Second

const (
	voterCount   = 3
	readTimeout  = time.Second // of one voter's answer to the test itself
	writeTimeout = 2 * time.Second
)

// Voter is the process of a voter, without a gateway.
type Voter struct {
	*subprocess.Process
	Number   uint64
	Replaces uint64 // number of the voter that it takes the place of; 0: none
	Addr     string
	Dir      string // of its log
}

// VoterCluster is three voters and, from each process to each other voter, a proxy. Each process
// has a configuration of its own, in which the voters are at its own proxies.
type VoterCluster struct {
	Voters []*Voter
	// GatewayTerms and VoterTerms are the tables of failover, counting and debts in the processes'
	// configurations.
	GatewayTerms, VoterTerms string

	env           *Environment
	proxies       map[[2]string]*faultproxy.Proxy // by names of caller and voter
	client        *transport.Client
	commandNumber uint64 // of the latest write
}

// AddVoters makes voters v1 to v3, and the configurations of all processes. The processes are yet
// to be started.
func (env *Environment) AddVoters(gatewayTerms, voterTerms string) *VoterCluster {
	env.T.Helper()
	c := &VoterCluster{
		env: env, GatewayTerms: gatewayTerms, VoterTerms: voterTerms, proxies: map[[2]string]*faultproxy.Proxy{},
		client: transport.NewClient(transport.Network{}, 4),
	}
	env.T.Cleanup(c.client.Close)
	for i := range voterCount {
		c.Voters = append(c.Voters, c.newVoter(fmt.Sprintf("v%d", i+1), uint64(i+1), 0))
	}
	for _, g := range env.Gateways {
		g.AddEnv("RELAY_COMMON=" + c.configPath(g.Name))
	}
	c.WriteConfigs()
	return c
}

func (c *VoterCluster) newVoter(name string, number, replaces uint64) *Voter {
	c.env.T.Helper()
	v := &Voter{
		Process: subprocess.NewProcess(c.env.Program, name, "RELAY_CONFIG=", "RELAY_COMMON="+c.configPath(name)),
		Number:  number, Replaces: replaces, Addr: FreeAddr(c.env.T),
		Dir: filepath.Join(c.env.Folder, fmt.Sprintf("disk%d", number)),
	}
	c.env.T.Cleanup(func() {
		v.Kill()
		if c.env.T.Failed() {
			c.env.T.Logf("%s:\n%s", name, v.Log.String())
		}
	})
	return v
}

// Replace makes a voter that takes the place of another, with a folder of its own. WriteConfigs and
// SIGHUP tell the other processes.
func (c *VoterCluster) Replace(old *Voter, name string, number uint64) *Voter {
	c.env.T.Helper()
	v := c.newVoter(name, number, old.Number)
	c.Voters[slices.Index(c.Voters, old)] = v
	return v
}

func (c *VoterCluster) configPath(name string) string {
	return filepath.Join(c.env.Folder, name+".toml")
}

// WriteConfigs writes the configurations of the processes named; none named: of all.
func (c *VoterCluster) WriteConfigs(names ...string) {
	c.env.T.Helper()
	isWritten := func(name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	for _, v := range c.Voters {
		if isWritten(v.Name) {
			c.writeConfig(v.Name, fmt.Sprintf("voter = true\ndisk = %q\n", v.Dir), c.VoterTerms)
		}
	}
	for _, g := range c.env.Gateways {
		if isWritten(g.Name) {
			c.writeConfig(g.Name, fmt.Sprintf("hall = %q\n", g.Zone), c.GatewayTerms)
		}
	}
}

// writeConfig writes a process's configuration: what it has in the table [process], and the terms.
func (c *VoterCluster) writeConfig(name, process, terms string) {
	c.env.T.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "[process]\nname = %q\n%s", name, process)
	fmt.Fprintf(&text, "[timing]\nlease = %q\ndigest_every = \"100ms\"\n%s", LeaseDuration.String(), terms)
	for _, v := range c.Voters {
		addr := v.Addr
		if v.Name != name {
			addr = c.proxy(name, v).Addr
		}
		fmt.Fprintf(&text, "[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", v.Number, v.Name, addr)
		if v.Replaces > 0 {
			fmt.Fprintf(&text, "replaces = %d\n", v.Replaces)
		}
	}
	must(c.env.T, os.WriteFile(c.configPath(name), []byte(text.String()), 0o600))
}

// proxy returns the proxy for calls of a process to a voter; one is made where there is none.
func (c *VoterCluster) proxy(from string, to *Voter) *faultproxy.Proxy {
	c.env.T.Helper()
	key := [2]string{from, to.Name}
	if p := c.proxies[key]; p != nil {
		return p
	}
	p, err := faultproxy.New(to.Addr)
	must(c.env.T, err)
	c.env.T.Cleanup(p.Close)
	c.proxies[key] = p
	return p
}

// SetFault sets a fault on the calls of some processes to some voters; nil: of all, to all.
func (c *VoterCluster) SetFault(from, to []string, fault faultproxy.Fault) {
	for key, p := range c.proxies {
		isFrom := len(from) == 0 || slices.Contains(from, key[0])
		isTo := len(to) == 0 || slices.Contains(to, key[1])
		if isFrom && isTo {
			p.SetFault(fault)
		}
	}
}

// Isolate drops all calls of processes and to them.
func (c *VoterCluster) Isolate(names ...string) {
	c.SetFault(names, nil, dropRequests)
	c.SetFault(nil, names, dropRequests)
}

var dropRequests = faultproxy.Fault{DropRequests: true}

// ClearFaults ends all faults between processes.
func (c *VoterCluster) ClearFaults() { c.SetFault(nil, nil, faultproxy.Fault{}) }

// Start starts voters; none named: all.
func (c *VoterCluster) Start(voters ...*Voter) {
	c.env.T.Helper()
	if len(voters) == 0 {
		voters = c.Voters
	}
	for _, v := range voters {
		must(c.env.T, v.Start())
	}
}

// Leader waits until a voter leads by its own word and a majority's, and returns it.
func (c *VoterCluster) Leader() (leader *Voter) {
	c.env.T.Helper()
	fakes.Eventually(c.env.T, "a leader", func() bool {
		votes := map[uint64]int{}
		for _, v := range c.Voters {
			if info, err := c.info(v); err == nil && info.Started {
				votes[info.Status.Leader]++
			}
		}
		for _, v := range c.Voters {
			info, err := c.info(v)
			if err == nil && info.Status.Leader == info.Number && votes[info.Number] > len(c.Voters)/2 {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

func (c *VoterCluster) info(v *Voter) (transport.VoterInfo, error) {
	return c.client.Info(c.env.T.Context(), v.Addr)
}

// untilOneSucceeds calls voters, one after the other, until a call succeeds.
func (c *VoterCluster) untilOneSucceeds(what string, timeout time.Duration, call func(context.Context, *Voter) error) {
	c.env.T.Helper()
	fakes.Eventually(c.env.T, what, func() bool {
		return slices.ContainsFunc(c.Voters, func(v *Voter) bool {
			ctx, cancel := context.WithTimeout(c.env.T.Context(), timeout)
			defer cancel()
			return call(ctx, v) == nil // the next voter is tried, until the wait for one that succeeds fails
		})
	})
}

// Read returns a table as a majority confirms it.
func (c *VoterCluster) Read(name string) (table statemachine.Table) {
	c.env.T.Helper()
	c.untilOneSucceeds("a read of "+name, readTimeout, func(ctx context.Context, v *Voter) error {
		tables, _, err := c.client.Read(ctx, v.Addr, nil, 0)
		table = tables[name]
		return err
	})
	return table
}

// Write writes a table and returns its new epoch. Where another write came first, it is written
// again on that one; what may have been written is proposed again under the same number.
func (c *VoterCluster) Write(name string, value []byte) (epoch uint64) {
	c.env.T.Helper()
	for {
		c.commandNumber++
		command := statemachine.Command{
			Kind: statemachine.Write, Proposer: "drill/1", Number: c.commandNumber, Table: name,
			Epoch: c.Read(name).Epoch, Value: value,
		}
		var result statemachine.Result
		c.untilOneSucceeds("a write of "+name, writeTimeout, func(ctx context.Context, v *Voter) (err error) {
			result, err = c.client.Propose(ctx, v.Addr, command)
			return err
		})
		if result.Applied {
			return result.Epoch
		}
	}
}
