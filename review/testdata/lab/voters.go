package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
)

// coordinatedFolder holds bin/harrierhoist with coordination between processes, as review/build.sh builds it.
const coordinatedFolder = "review"

// voter is a process of the group that decides together, without a gateway.
type voter struct {
	name, addr, disk string
	number, replaces int
	process          *process
}

// group is three voters and the files of all processes.
type group struct {
	lab     *lab
	voters  []*voter
	terms   string // tables of failover, counting and debts in the voters' files
	timing  string
	client  *transport.Client
	proxies map[string]*cutProxy // on the way of a process to a voter, by "process>voter"; none: the voter's own address
	writes  uint64
}

func newGroup(l *lab, timing, terms string) (*group, error) {
	g := &group{
		lab: l, terms: terms, timing: timing, client: transport.NewClient(transport.Network{}, 4),
		proxies: map[string]*cutProxy{},
	}
	for i := range 3 {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("v%d", i+1)
		g.voters = append(g.voters, &voter{
			name: name, addr: addr, disk: filepath.Join(l.temp, "disk-"+name), number: i + 1,
		})
	}
	return g, nil
}

// file writes the operators' file of a process and returns its path. own is its part of the table [process].
func (g *group) file(name, own, terms string) (string, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "[process]\nname = %q\n%s[timing]\n%s%s", name, own, g.timing, terms)
	for _, v := range g.voters {
		addr := v.addr
		if p := g.proxies[name+">"+v.name]; p != nil {
			addr = p.addr
		}
		fmt.Fprintf(&text, "[[voter]]\nnumber = %d\nname = %q\naddress = %q\n", v.number, v.name, addr)
		if v.replaces > 0 {
			fmt.Fprintf(&text, "replaces = %d\n", v.replaces)
		}
	}
	path := filepath.Join(g.lab.temp, name+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

func (g *group) start(v *voter) error {
	path, err := g.file(v.name, fmt.Sprintf("voter = true\ndisk = %q\n", v.disk), g.terms)
	if err != nil {
		return err
	}
	v.process, err = g.lab.start(v.name, coordinatedFolder, "", "RELAY_CONFIG=", "RELAY_COMMON="+path)
	return err
}

func (g *group) startAll() error {
	for _, v := range g.voters {
		if err := g.start(v); err != nil {
			return err
		}
	}
	return nil
}

// leader waits until a voter leads by its own word and a majority's.
func (g *group) leader(limit time.Duration) (*voter, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		votes := map[uint64]int{}
		for _, v := range g.voters {
			if info, err := g.client.Info(context.Background(), v.addr); err == nil && info.Started {
				votes[info.Status.Leader]++
			}
		}
		for _, v := range g.voters {
			if votes[uint64(v.number)] >= 2 {
				return v, nil
			}
		}
	}
	return nil, errors.New("no leader")
}

// read returns a table as a majority of the voters confirms it.
func (g *group) read(name string) (table statemachine.Table, err error) {
	for range 20 {
		for _, v := range g.voters {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			tables, _, readErr := g.client.Read(ctx, v.addr, nil, 0)
			cancel()
			if readErr == nil {
				return tables[name], nil
			}
			err = readErr
		}
		time.Sleep(100 * time.Millisecond)
	}
	return table, err
}

// write writes a table through the leader.
func (g *group) write(name string, value []byte) (epoch uint64, err error) {
	for range 20 {
		table, readErr := g.read(name)
		if readErr != nil {
			return 0, readErr
		}
		g.writes++
		command := statemachine.Command{
			Kind: statemachine.Write, Proposer: "review/1", Number: g.writes, Table: name, Epoch: table.Epoch, Value: value,
		}
		for _, v := range g.voters {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			result, proposeErr := g.client.Propose(ctx, v.addr, command)
			cancel()
			if proposeErr == nil && result.Applied {
				return result.Epoch, nil
			}
			err = proposeErr
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, err
}
