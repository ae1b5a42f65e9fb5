package node

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/fakes"
)

// testSite is the files of three voters on free ports.
type testSite struct {
	*testing.T
	dir, voters string
	logs        *observer.ObservedLogs
	log         *zap.Logger
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	site := &testSite{T: t, dir: t.TempDir(), logs: logs, log: zap.New(core)}
	for i := 1; i <= 3; i++ {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		site.voters += fmt.Sprintf("[[voter]]\nnumber = %d\nname = \"v%d\"\naddress = %q\n", i, i, listener.Addr())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return site
}

// file writes a process's file; a voter's disk is named after it.
func (s *testSite) file(name string, voter bool, more string) string {
	s.Helper()
	text := fmt.Sprintf("[process]\nname = %q\n", name)
	if voter {
		text += fmt.Sprintf("voter = true\ndisk = %q\n", filepath.Join(s.dir, name))
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text+more+s.voters), 0o600); err != nil {
		s.Fatal(err)
	}
	return path
}

func (s *testSite) open(name string, voter bool) *Node {
	s.Helper()
	n, err := Open(s.file(name, voter, ""), func(*config.Config) []coordination.Controller { return nil }, s.log)
	if err != nil {
		s.Fatal(err)
	}
	return n
}

func (s *testSite) countLines(text string) int { return s.logs.FilterMessageSnippet(text).Len() }

// A first start takes all voters; then what is written is cached by all, and Close ends all that
// was started.
func TestNode_votersStartTogetherAndCloseCleanly(t *testing.T) {
	site := newTestSite(t)
	all := []*Node{site.open("v1", true), site.open("v2", true), site.open("g1", false)}
	time.Sleep(300 * time.Millisecond) // some rounds of queries, after which no voter may start
	if site.countLines("voter started") > 0 {
		t.Error("two of three started alone: the third may have what a majority wrote")
	}
	all = append(all, site.open("v3", true))
	fakes.Eventually(t, "the start of all", func() bool { return site.countLines("voter started") == 3 })
	fakes.Eventually(t, "a write", func() bool {
		command := statemachine.Command{
			Kind: statemachine.Write, Proposer: "t", Number: 1, Table: "plan", Value: []byte("x"),
		}
		return slices.ContainsFunc(all[2].Config().Voters, func(voter config.Voter) bool {
			_, err := all[2].client.Propose(t.Context(), voter.Address, command)
			return err == nil
		})
	})
	for _, n := range all {
		fakes.Eventually(t, "the write", func() bool {
			plan := n.Client().Cached("plan")
			return string(plan.Value) == "x" && plan.LeaseEnd > n.Client().Now()
		})
	}
	path := site.file("g1", false, "hall = \"b\"\n") // what needs a restart is logged, and the rest is accepted
	if !all[2].Reload() || site.countLines("need a restart") != 1 || all[2].Config().Process.Zone != "" {
		t.Error("reloaded", site.logs.All())
	}
	if err := os.WriteFile(path, []byte("[process]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if all[2].Reload() || site.countLines("new configuration rejected") != 1 || len(all[2].Config().Voters) != 3 {
		t.Error("a bad file is accepted")
	}
	for _, n := range all {
		n.TransferLeadership()
		n.Close()
	}
}

// A file that gives a used folder another number would make one voter of two.
func TestNode_usedFolderKeepsItsNumber(t *testing.T) {
	site := newTestSite(t)
	var all []*Node
	for _, name := range []string{"v1", "v2", "v3"} {
		all = append(all, site.open(name, true))
	}
	fakes.Eventually(t, "the start of all", func() bool { return site.countLines("voter started") == 3 })
	for _, n := range all {
		n.Close()
	}
	site.voters = strings.Replace(site.voters, "number = 1\n", "number = 4\nreplaces = 1\n", 1)
	_, err := Open(site.file("v1", true, ""), func(*config.Config) []coordination.Controller { return nil }, site.log)
	var mismatch *NumberMismatchError
	if !errors.As(err, &mismatch) || !strings.Contains(err.Error(), "v1.toml: process.disk: holds the log of voter 1") {
		t.Errorf("opened: %v", err)
	}
}
