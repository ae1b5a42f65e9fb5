package conformance

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/node"
	log "harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
)

// This file brings a process into a state of a part: it follows a voter of ours at which the part's table stands as the
// state wants it. No decider runs there, so the state stays for as long as a row is played.

const (
	longLease      = "30s"       // outlives a row on a busy machine
	shortLease     = "500ms"     // is over soon after the voter has gone
	maxVoterStarts = 20          // ports that may be taken meanwhile
	writeTimeout   = time.Second // for one try to have a table written
)

// union is one voter, and what its followers' files say of it.
type testVoter struct {
	*node.Node
	address, dir string
	client       *transport.Client
}

// unions are those that rows share; Clean closes them.
var (
	sharedVoters     []*testVoter
	sharedVotersLock sync.Mutex
)

// begin opens a voter that holds one table; an empty name holds none.
func startVoter(t testing.TB, table string, value []byte) *testVoter {
	t.Helper()
	dir, err := os.MkdirTemp("", "conformance-voter")
	if err != nil {
		t.Fatal(err)
	}
	v := &testVoter{dir: dir, client: transport.NewClient(transport.Network{}, 1)}
	for range maxVoterStarts { // the port may be taken by another between the two
		v.address = listenAddress(portsUsed.Add(1))
		path := filepath.Join(dir, "voter.toml")
		text := "[process]\nname = \"v1\"\nsingle = true\nvoter = true\ndisk = \"" + dir + "/disk\"\n" + v.votersConfig(longLease)
		if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		none := func(*config.Config) []coordination.Controller { return nil }
		if v.Node, err = node.Open(path, none, zap.NewNop()); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if table != "" {
		fakes.Eventually(t, "the table is written", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
			defer cancel()
			r, err := v.client.Propose(ctx, v.address, log.Command{
				Kind: log.Write, Proposer: "rows/1", Number: 1,
				Table: table, Value: value,
			})
			return err == nil && r.Applied
		})
	}
	return v
}

func (v *testVoter) votersConfig(lease string) string {
	return fmt.Sprintf("[timing]\nlease = %q\n[[voter]]\nnumber = 1\nname = \"v1\"\naddress = %q\n", lease, v.address)
}

// end closes the voter.
func (v *testVoter) stop() {
	v.client.Close()
	v.Close()
	_ = os.RemoveAll(v.dir)
}

// state is a part's state at a process.
type partState struct {
	name, description   string
	zone                string // the process's
	config              string // of the part, in the process's file
	table               string // its table; "" where nothing is decided
	value               func() []byte
	readyLines          []string // the process's log, once the state is in force
	zones               []string // of the settings, the process's own first; nil: hall-a alone
	lastServerElsewhere bool     // the last of the row's servers stands in hall-b
	leaseLostLines      []string // the log once the voter has gone and the lease is over; nil: it stays
	counterKey          func(customer uint64) uint64
	acceptsCustomer     func(customer uint64) bool
	onlyNamedRows       bool
	settleTime          time.Duration // that a row waits for until the state has come, with a voter of its own
	makesOwnCalls       bool
}

// variant gives the state as a variant. Rows share one voter, unless it has to go.
func (s partState) variant() Variant {
	var lock sync.Mutex
	var one *testVoter
	shared := func(t testing.TB) *testVoter {
		lock.Lock()
		defer lock.Unlock()
		if one == nil {
			one = s.startVoter(t)
			sharedVotersLock.Lock()
			defer sharedVotersLock.Unlock()
			sharedVoters = append(sharedVoters, one)
		}
		return one
	}
	variant := Variant{Name: s.name, Description: s.description, CounterKey: s.counterKey, AcceptsCustomer: s.acceptsCustomer, MakesOwnCalls: s.makesOwnCalls, OnlyNamedRows: s.onlyNamedRows}
	variant.Process = func(t testing.TB, launch *Launch) {
		t.Helper()
		if s.leaseLostLines == nil && s.settleTime == 0 {
			s.prepare(t, launch, shared(t), longLease, nil)
			return
		}
		v := s.startVoter(t)
		gone := sync.OnceFunc(v.stop)
		t.Cleanup(gone)
		if s.leaseLostLines == nil {
			s.prepare(t, launch, v, longLease, func() { time.Sleep(s.settleTime) })
			return
		}
		s.prepare(t, launch, v, shortLease, gone)
	}
	return variant
}

func (s partState) startVoter(t testing.TB) *testVoter {
	t.Helper()
	var value []byte
	if s.value != nil {
		value = s.value()
	}
	return startVoter(t, s.table, value)
}

// ready writes a follower's file and waits, once it serves, until the state is in force.
func (s partState) prepare(t testing.TB, launch *Launch, v *testVoter, lease string, gone func()) {
	t.Helper()
	path := filepath.Join(launch.Dir, "common.toml")
	text := fmt.Sprintf("[process]\nname = \"g1\"\nsingle = true\nhall = %q\n", s.zone) + v.votersConfig(lease) + s.config
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	launch.Env, launch.Peers = append(launch.Env, "RELAY_COMMON="+path), append(launch.Peers, v.address)
	if s.zones != nil {
		launch.Config["settings"].(map[string]any)["Dcs"] = s.zones
	}
	if s.lastServerElsewhere {
		last := &launch.Hosts[len(launch.Hosts)-1]
		*last = strings.Replace(*last, `"site":"hall-a"`, `"site":"hall-b"`, 1)
	}
	launch.OnReady = func(instance Instance) {
		for _, line := range s.readyLines {
			fakes.Eventually(t, line, func() bool { return strings.Contains(instance.Log(), line) })
		}
		if gone == nil {
			return
		}
		before := instance.Log() // what is said of no lease may have been said before there was one
		gone()
		for _, line := range s.leaseLostLines {
			fakes.Eventually(t, line, func() bool { return strings.Contains(instance.Log()[len(before):], line) })
		}
	}
}
