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
)

// LeaseDuration is that of the stories: short, so that they are. Each process confirms what it holds some five times in it.
const LeaseDuration = time.Second

// readWithin is how long the harness waits for one voter's word, and writeWithin for a write's.
const (
	readTimeout  = time.Second
	writeTimeout = 2 * time.Second
)

// Voter is a voter's process, without a gateway.
type Voter struct {
	*Process
	Number, Replaces uint64
	Addr, Dir        string
}

// VoterCluster is what the processes of a world hold in common: three voters and, from each process to each other voter, a
// relay. Every process finds the voters at its own relays, by its own file.
type VoterCluster struct {
	env    *Environment
	Voters []*Voter
	// GatewayTerms are the parts' tables in the gateways' files, VoterTerms in the voters'.
	GatewayTerms, VoterTerms string

	proxies       map[[2]string]*faultproxy.Proxy
	client        *transport.Client
	commandNumber uint64 // of the latest command
}

// AddVoters makes the voters v1 to v3 and the files of all, with the parts' terms in them. Start and Gateways' Start
// start the processes.
func (env *Environment) AddVoters(terms, voterTerms string) *VoterCluster {
	env.T.Helper()
	c := &VoterCluster{env: env, GatewayTerms: terms, VoterTerms: voterTerms, proxies: map[[2]string]*faultproxy.Proxy{},
		client: transport.NewClient(transport.Network{}, 4)}
	env.T.Cleanup(c.client.Close)
	for i := range 3 {
		c.Voters = append(c.Voters, c.newVoter(fmt.Sprintf("v%d", i+1), uint64(i+1), 0))
	}
	for _, g := range env.Gateways {
		g.env = append(g.env, "RELAY_COMMON="+c.configPath(g.Name))
	}
	c.WriteConfigs()
	return c
}

func (c *VoterCluster) newVoter(name string, number, replaces uint64) *Voter {
	v := &Voter{Number: number, Replaces: replaces, Addr: FreeAddr(c.env.T),
		Dir: filepath.Join(c.env.Folder, fmt.Sprintf("disk%d", number))}
	v.Process = NewProcess(c.env.Program, name, "RELAY_CONFIG=", "RELAY_COMMON="+c.configPath(name))
	c.env.T.Cleanup(func() {
		v.Kill()
		if c.env.T.Failed() {
			c.env.T.Logf("%s:\n%s", name, v.Log.String())
		}
	})
	return v
}

// Replace makes a voter that takes the place of another, on a folder of its own; Files and SIGHUP tell the others.
func (c *VoterCluster) Replace(old *Voter, name string, number uint64) *Voter {
	c.env.T.Helper()
	v := c.newVoter(name, number, old.Number)
	c.Voters[slices.Index(c.Voters, old)] = v
	return v
}

func (c *VoterCluster) configPath(name string) string {
	return filepath.Join(c.env.Folder, name+".toml")
}

// WriteConfigs writes the files of all processes, or of those named.
func (c *VoterCluster) WriteConfigs(names ...string) {
	c.env.T.Helper()
	for _, v := range c.Voters {
		c.writeConfig(v.Name, "", v.Dir, names)
	}
	for _, g := range c.env.Gateways {
		c.writeConfig(g.Name, g.Zone, "", names)
	}
}

func (c *VoterCluster) writeConfig(name, zone, disk string, only []string) {
	c.env.T.Helper()
	if len(only) > 0 && !slices.Contains(only, name) {
		return
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[process]\nname = %q\n", name)
	if zone != "" {
		fmt.Fprintf(&text, "hall = %q\n", zone)
	}
	if disk != "" {
		fmt.Fprintf(&text, "voter = true\ndisk = %q\n", disk)
	}
	terms := c.GatewayTerms
	if disk != "" {
		terms = c.VoterTerms
	}
	fmt.Fprintf(&text, "[timing]\nlease = %q\ndigest_every = \"100ms\"\n%s", LeaseDuration.String(), terms)
	for _, v := range c.Voters {
		at := v.Addr
		if v.Name != name {
			at = c.Proxy(name, v.Name).Addr
		}
		fmt.Fprintf(&text, "[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", v.Number, v.Name, at)
		if v.Replaces > 0 {
			fmt.Fprintf(&text, "replaces = %d\n", v.Replaces)
		}
	}
	must(c.env.T, os.WriteFile(c.configPath(name), []byte(text.String()), 0o600))
}

// Proxy is the relay for calls of one process to a voter.
func (c *VoterCluster) Proxy(from, to string) *faultproxy.Proxy {
	c.env.T.Helper()
	key := [2]string{from, to}
	if proxy := c.proxies[key]; proxy != nil {
		return proxy
	}
	i := slices.IndexFunc(c.Voters, func(v *Voter) bool { return v.Name == to })
	proxy, err := faultproxy.New(c.Voters[i].Addr)
	must(c.env.T, err)
	c.env.T.Cleanup(proxy.Close)
	c.proxies[key] = proxy
	return proxy
}

// SetFault puts a fault on all links from some processes to others; none named: all.
func (c *VoterCluster) SetFault(from, to []string, f faultproxy.Fault) {
	for key, proxy := range c.proxies {
		if (len(from) == 0 || slices.Contains(from, key[0])) && (len(to) == 0 || slices.Contains(to, key[1])) {
			proxy.SetFault(f)
		}
	}
}

// Isolate cuts a process off from all others, both ways; what others see of it too.
func (c *VoterCluster) Isolate(names ...string) {
	c.SetFault(names, nil, faultproxy.Fault{DropRequests: true})
	c.SetFault(nil, names, faultproxy.Fault{DropRequests: true})
}

// ClearFaults ends all faults between processes.
func (c *VoterCluster) ClearFaults() { c.SetFault(nil, nil, faultproxy.Fault{}) }

// Start starts voters, or all of them.
func (c *VoterCluster) Start(voters ...*Voter) {
	c.env.T.Helper()
	if len(voters) == 0 {
		voters = c.Voters
	}
	for _, v := range voters {
		must(c.env.T, v.Process.Start())
	}
}

// Status is what a voter says of itself.
func (c *VoterCluster) Status(v *Voter) (transport.VoterInfo, error) {
	return c.client.Info(c.env.T.Context(), v.Addr)
}

// Leader waits until a voter leads, as it says and a majority with it, and gives it.
func (c *VoterCluster) Leader() (leader *Voter) {
	c.env.T.Helper()
	fakes.Eventually(c.env.T, "a leader", func() bool {
		votes := map[uint64]int{}
		for _, v := range c.Voters {
			if s, err := c.Status(v); err == nil && s.Started {
				votes[s.Status.Leader]++
			}
		}
		for _, v := range c.Voters {
			s, err := c.Status(v)
			if err == nil && s.Status.Leader == s.Number && votes[s.Number] > len(c.Voters)/2 {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

// Read reads a table with the word of a majority.
func (c *VoterCluster) Read(table string) (entry statemachine.Table) {
	c.env.T.Helper()
	fakes.Eventually(c.env.T, "a read of "+table, func() bool {
		for _, v := range c.Voters {
			ctx, cancel := context.WithTimeout(c.env.T.Context(), readTimeout)
			found, _, err := c.client.Read(ctx, v.Addr, nil, 0)
			cancel()
			if err == nil {
				entry = found[table]
				return true
			}
		}
		return false
	})
	return entry
}

// Write writes a table on the epoch that it stands at, and gives the new one. Where another write was first, it is done
// again; what may have been written is proposed again under its number alone.
func (c *VoterCluster) Write(table string, value []byte) (epoch uint64) {
	c.env.T.Helper()
	for {
		c.commandNumber++
		command := statemachine.Command{Kind: statemachine.Write, Proposer: "drill/1", Number: c.commandNumber, Table: table,
			Epoch: c.Read(table).Epoch, Value: value}
		var r statemachine.Result
		fakes.Eventually(c.env.T, "a write of "+table, func() bool {
			for _, v := range c.Voters {
				ctx, cancel := context.WithTimeout(c.env.T.Context(), writeTimeout)
				got, err := c.client.Propose(ctx, v.Addr, command)
				cancel()
				if err == nil {
					r = got
					return true
				}
			}
			return false
		})
		if r.Applied {
			return r.Epoch
		}
	}
}
