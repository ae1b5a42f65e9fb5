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
	leaseLong  = "30s"       // outlives a row on a busy machine
	leaseShort = "500ms"     // is over soon after the voter has gone
	votersMost = 20          // ports that may be taken meanwhile
	writeEvery = time.Second // for one try to have a table written
)

// union is one voter, and what its followers' files say of it.
type union struct {
	*node.Node
	address, dir string
	client       *transport.Client
}

// unions are those that rows share; Clean closes them.
var (
	unions     []*union
	unionsLock sync.Mutex
)

// begin opens a voter that holds one table; an empty name holds none.
func begin(t testing.TB, table string, value []byte) *union {
	t.Helper()
	dir, err := os.MkdirTemp("", "conformance-voter")
	if err != nil {
		t.Fatal(err)
	}
	u := &union{dir: dir, client: transport.NewClient(transport.Network{}, 1)}
	for range votersMost { // the port may be taken by another between the two
		u.address = address(ported.Add(1))
		path := filepath.Join(dir, "voter.toml")
		text := "[process]\nname = \"v1\"\nsingle = true\nvoter = true\ndisk = \"" + dir + "/disk\"\n" + u.voters(leaseLong)
		if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		none := func(*config.Config) []coordination.Controller { return nil }
		if u.Node, err = node.Open(path, none, zap.NewNop()); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	if table != "" {
		fakes.Eventually(t, "the table is written", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), writeEvery)
			defer cancel()
			r, err := u.client.Propose(ctx, u.address, log.Command{
				Kind: log.Write, Proposer: "rows/1", Number: 1,
				Table: table, Value: value,
			})
			return err == nil && r.Applied
		})
	}
	return u
}

func (u *union) voters(lease string) string {
	return fmt.Sprintf("[timing]\nlease = %q\n[[voter]]\nnumber = 1\nname = \"v1\"\naddress = %q\n", lease, u.address)
}

// end closes the voter.
func (u *union) end() {
	u.client.Close()
	u.Close()
	_ = os.RemoveAll(u.dir)
}

// state is a part's state at a process.
type state struct {
	name, text string
	hall       string // the process's
	terms      string // of the part, in the process's file
	table      string // its table; "" where nothing is decided
	value      func() []byte
	says       []string // the process's log, once the state is in force
	halls      []string // of the settings, the process's own first; nil: hall-a alone
	away       bool     // the last of the row's servers stands in hall-b
	over       []string // the log once the voter has gone and the lease is over; nil: it stays
	key        func(customer uint64) uint64
	fits       func(customer uint64) bool
	alone      bool
	span       time.Duration // that a row waits for until the state has come, with a voter of its own
	aside      bool
}

// variant gives the state as a variant. Rows share one voter, unless it has to go.
func (s state) variant() Variant {
	var lock sync.Mutex
	var one *union
	shared := func(t testing.TB) *union {
		lock.Lock()
		defer lock.Unlock()
		if one == nil {
			one = s.begin(t)
			unionsLock.Lock()
			defer unionsLock.Unlock()
			unions = append(unions, one)
		}
		return one
	}
	v := Variant{Name: s.name, Text: s.text, Key: s.key, Fits: s.fits, Aside: s.aside, Alone: s.alone}
	v.Process = func(t testing.TB, l *Launch) {
		t.Helper()
		if s.over == nil && s.span == 0 {
			s.ready(t, l, shared(t), leaseLong, nil)
			return
		}
		u := s.begin(t)
		gone := sync.OnceFunc(u.end)
		t.Cleanup(gone)
		if s.over == nil {
			s.ready(t, l, u, leaseLong, func() { time.Sleep(s.span) })
			return
		}
		s.ready(t, l, u, leaseShort, gone)
	}
	return v
}

func (s state) begin(t testing.TB) *union {
	t.Helper()
	var value []byte
	if s.value != nil {
		value = s.value()
	}
	return begin(t, s.table, value)
}

// ready writes a follower's file and waits, once it serves, until the state is in force.
func (s state) ready(t testing.TB, l *Launch, u *union, lease string, gone func()) {
	t.Helper()
	path := filepath.Join(l.Dir, "common.toml")
	text := fmt.Sprintf("[process]\nname = \"g1\"\nsingle = true\nhall = %q\n", s.hall) + u.voters(lease) + s.terms
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l.Env, l.Peers = append(l.Env, "RELAY_COMMON="+path), append(l.Peers, u.address)
	if s.halls != nil {
		l.Config["settings"].(map[string]any)["Dcs"] = s.halls
	}
	if s.away {
		last := &l.Hosts[len(l.Hosts)-1]
		*last = strings.Replace(*last, `"site":"hall-a"`, `"site":"hall-b"`, 1)
	}
	l.Ready = func(r Running) {
		for _, line := range s.says {
			fakes.Eventually(t, line, func() bool { return strings.Contains(r.Log(), line) })
		}
		if gone == nil {
			return
		}
		before := r.Log() // what is said of no lease may have been said before there was one
		gone()
		for _, line := range s.over {
			fakes.Eventually(t, line, func() bool { return strings.Contains(r.Log()[len(before):], line) })
		}
	}
}
