package drill

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"harrierhoist/internal/cluster/link"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/drill/relay"
	"harrierhoist/internal/standin"
)

// Lease is that of the stories: short, so that they are. Each process confirms what it holds some five times in it.
const Lease = time.Second

// readWithin is how long the harness waits for one voter's word, and writeWithin for a write's.
const (
	readWithin  = time.Second
	writeWithin = 2 * time.Second
)

// Voter is a voter's process, without a gateway.
type Voter struct {
	*Process
	Number, Replaces uint64
	Addr, Disk       string
}

// Club is what the processes of a world hold in common: three voters and, from each process to each other voter, a
// relay. Every process finds the voters at its own relays, by its own file.
type Club struct {
	w      *World
	Voters []*Voter
	// Terms are the parts' tables in the gateways' files, VoterTerms in the voters'.
	Terms, VoterTerms string

	links  map[[2]string]*relay.Relay
	client *link.Client
	number uint64 // of the latest command
}

// Together makes the voters v1 to v3 and the files of all, with the parts' terms in them. Start and Gateways' Start
// start the processes.
func (w *World) Together(terms, voterTerms string) *Club {
	w.T.Helper()
	c := &Club{w: w, Terms: terms, VoterTerms: voterTerms, links: map[[2]string]*relay.Relay{},
		client: link.NewClient(link.Plain{}, 4)}
	w.T.Cleanup(c.client.Close)
	for i := range 3 {
		c.Voters = append(c.Voters, c.voter(fmt.Sprintf("v%d", i+1), uint64(i+1), 0))
	}
	for _, g := range w.Gateways {
		g.env = append(g.env, "RELAY_COMMON="+c.path(g.Name))
	}
	c.Files()
	return c
}

func (c *Club) voter(name string, number, replaces uint64) *Voter {
	v := &Voter{Number: number, Replaces: replaces, Addr: Free(c.w.T),
		Disk: filepath.Join(c.w.Folder, fmt.Sprintf("disk%d", number))}
	v.Process = NewProcess(c.w.Program, name, "RELAY_CONFIG=", "RELAY_COMMON="+c.path(name))
	c.w.T.Cleanup(func() {
		v.Kill()
		if c.w.T.Failed() {
			c.w.T.Logf("%s:\n%s", name, v.Log.String())
		}
	})
	return v
}

// Replace makes a voter that takes the place of another, on a folder of its own; Files and SIGHUP tell the others.
func (c *Club) Replace(old *Voter, name string, number uint64) *Voter {
	c.w.T.Helper()
	v := c.voter(name, number, old.Number)
	c.Voters[slices.Index(c.Voters, old)] = v
	return v
}

func (c *Club) path(name string) string { return filepath.Join(c.w.Folder, name+".toml") }

// Files writes the files of all processes, or of those named.
func (c *Club) Files(names ...string) {
	c.w.T.Helper()
	for _, v := range c.Voters {
		c.file(v.Name, "", v.Disk, names)
	}
	for _, g := range c.w.Gateways {
		c.file(g.Name, g.Hall, "", names)
	}
}

func (c *Club) file(name, hall, disk string, only []string) {
	c.w.T.Helper()
	if len(only) > 0 && !slices.Contains(only, name) {
		return
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[process]\nname = %q\n", name)
	if hall != "" {
		fmt.Fprintf(&text, "hall = %q\n", hall)
	}
	if disk != "" {
		fmt.Fprintf(&text, "voter = true\ndisk = %q\n", disk)
	}
	terms := c.Terms
	if disk != "" {
		terms = c.VoterTerms
	}
	fmt.Fprintf(&text, "[timing]\nlease = %q\ndigest_every = \"100ms\"\n%s", Lease.String(), terms)
	for _, v := range c.Voters {
		at := v.Addr
		if v.Name != name {
			at = c.Link(name, v.Name).Addr
		}
		fmt.Fprintf(&text, "[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", v.Number, v.Name, at)
		if v.Replaces > 0 {
			fmt.Fprintf(&text, "replaces = %d\n", v.Replaces)
		}
	}
	must(c.w.T, os.WriteFile(c.path(name), []byte(text.String()), 0o600))
}

// Link is the relay for calls of one process to a voter.
func (c *Club) Link(from, to string) *relay.Relay {
	c.w.T.Helper()
	key := [2]string{from, to}
	if r := c.links[key]; r != nil {
		return r
	}
	i := slices.IndexFunc(c.Voters, func(v *Voter) bool { return v.Name == to })
	r, err := relay.New(c.Voters[i].Addr)
	must(c.w.T, err)
	c.w.T.Cleanup(r.Close)
	c.links[key] = r
	return r
}

// Between puts a fault on all links from some processes to others; none named: all.
func (c *Club) Between(from, to []string, f relay.Fault) {
	for key, r := range c.links {
		if (len(from) == 0 || slices.Contains(from, key[0])) && (len(to) == 0 || slices.Contains(to, key[1])) {
			r.Set(f)
		}
	}
}

// Apart cuts a process off from all others, both ways; what others see of it too.
func (c *Club) Apart(names ...string) {
	c.Between(names, nil, relay.Fault{CutThere: true})
	c.Between(nil, names, relay.Fault{CutThere: true})
}

// Heal ends all faults between processes.
func (c *Club) Heal() { c.Between(nil, nil, relay.Fault{}) }

// Start starts voters, or all of them.
func (c *Club) Start(voters ...*Voter) {
	c.w.T.Helper()
	if len(voters) == 0 {
		voters = c.Voters
	}
	for _, v := range voters {
		must(c.w.T, v.Process.Start())
	}
}

// Standing is what a voter says of itself.
func (c *Club) Standing(v *Voter) (link.Standing, error) {
	return c.client.Standing(c.w.T.Context(), v.Addr)
}

// Leader waits until a voter leads, as it says and a majority with it, and gives it.
func (c *Club) Leader() (leader *Voter) {
	c.w.T.Helper()
	standin.Eventually(c.w.T, "a leader", func() bool {
		votes := map[uint64]int{}
		for _, v := range c.Voters {
			if s, err := c.Standing(v); err == nil && s.Begun {
				votes[s.Status.Leader]++
			}
		}
		for _, v := range c.Voters {
			s, err := c.Standing(v)
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
func (c *Club) Read(table string) (e tables.Entry) {
	c.w.T.Helper()
	standin.Eventually(c.w.T, "a read of "+table, func() bool {
		for _, v := range c.Voters {
			ctx, cancel := context.WithTimeout(c.w.T.Context(), readWithin)
			found, _, err := c.client.Read(ctx, v.Addr, nil, 0)
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

// Write writes a table on the epoch that it stands at, and gives the new one. Where another write was first, it is done
// again; what may have been written is proposed again under its number alone.
func (c *Club) Write(table string, value []byte) (epoch uint64) {
	c.w.T.Helper()
	for {
		c.number++
		command := tables.Command{Kind: tables.Write, By: "drill/1", Number: c.number, Table: table,
			Epoch: c.Read(table).Epoch, Value: value}
		var r tables.Result
		standin.Eventually(c.w.T, "a write of "+table, func() bool {
			for _, v := range c.Voters {
				ctx, cancel := context.WithTimeout(c.w.T.Context(), writeWithin)
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
