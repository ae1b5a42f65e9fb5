package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
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
	core, said := observer.New(zap.InfoLevel)
	site := &testSite{T: t, dir: t.TempDir(), logs: said, log: zap.New(core)}
	for i := 1; i <= 3; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		site.voters += fmt.Sprintf("[[voter]]\nnumber = %d\nname = \"v%d\"\naddress = %q\n", i, i, l.Addr())
		_ = l.Close()
	}
	return site
}

// file writes a process's file; a voter's disk is named after it.
func (site *testSite) file(name string, voter bool, more string) string {
	site.Helper()
	text := fmt.Sprintf("[process]\nname = %q\n", name)
	if voter {
		text += fmt.Sprintf("voter = true\ndisk = %q\n", filepath.Join(site.dir, name))
	}
	path := filepath.Join(site.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text+more+site.voters), 0o600); err != nil {
		site.Fatal(err)
	}
	return path
}

func (site *testSite) open(name string, voter bool) *Node {
	site.Helper()
	n, err := Open(site.file(name, voter, ""), func(*config.Config) []coordination.Controller { return nil }, site.log)
	if err != nil {
		site.Fatal(err)
	}
	return n
}

func (site *testSite) countLines(text string) int { return site.logs.FilterMessageSnippet(text).Len() }

// A first start takes all voters; then what is written is held by all, and the end of each gives back all that it took.
func TestNode_votersStartTogetherAndCloseCleanly(t *testing.T) {
	site := newTestSite(t)
	all := []*Node{site.open("v1", true), site.open("v2", true), site.open("g1", false)}
	time.Sleep(300 * time.Millisecond) // some rounds of asking
	if site.countLines("has begun") > 0 {
		t.Error("two of three began alone: the third may have what a majority wrote")
	}
	all = append(all, site.open("v3", true))
	fakes.Eventually(t, "all begin", func() bool { return site.countLines("has begun") == 3 })
	fakes.Eventually(t, "a write", func() bool {
		for _, v := range all[2].Config().Voters {
			if _, err := all[2].client.Propose(t.Context(), v.Address, statemachine.Command{Kind: statemachine.Write, Proposer: "t",
				Number: 1, Table: "plan", Value: []byte("x")}); err == nil {
				return true
			}
		}
		return false
	})
	for _, n := range all {
		fakes.Eventually(t, "the write", func() bool {
			held := n.Client().Cached("plan")
			return string(held.Value) == "x" && held.LeaseEnd > n.Client().Now()
		})
	}
	path := site.file("g1", false, "hall = \"b\"\n") // what takes a restart is named, and the rest is taken
	if !all[2].Reload() || site.countLines("left as it was") != 1 || all[2].Config().Process.Zone != "" {
		t.Error("reloaded", site.logs.All())
	}
	if err := os.WriteFile(path, []byte("[process]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if all[2].Reload() || site.countLines("is not taken") != 1 || len(all[2].Config().Voters) != 3 {
		t.Error("a bad file is taken")
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
	fakes.Eventually(t, "all begin", func() bool { return site.countLines("has begun") == 3 })
	for _, n := range all {
		n.Close()
	}
	site.voters = strings.Replace(site.voters, "number = 1\n", "number = 4\nreplaces = 1\n", 1)
	_, err := Open(site.file("v1", true, ""), func(*config.Config) []coordination.Controller { return nil }, site.log)
	if err == nil || !strings.Contains(err.Error(), "v1.toml: process.disk: holds the log of voter 1") {
		t.Errorf("opened: %v", err)
	}
}
