package commons

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

	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/standin"
)

// site is the files of three voters on free ports.
type site struct {
	*testing.T
	dir, voters string
	said        *observer.ObservedLogs
	log         *zap.Logger
}

func newSite(t *testing.T) *site {
	core, said := observer.New(zap.InfoLevel)
	s := &site{T: t, dir: t.TempDir(), said: said, log: zap.New(core)}
	for i := 1; i <= 3; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.voters += fmt.Sprintf("[[voter]]\nnumber = %d\nname = \"v%d\"\naddress = %q\n", i, i, l.Addr())
		_ = l.Close()
	}
	return s
}

// file writes a process's file; a voter's disk is named after it.
func (s *site) file(name string, voter bool, more string) string {
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

func (s *site) open(name string, voter bool) *Process {
	s.Helper()
	p, err := Open(s.file(name, voter, ""), func(*charter.Charter) []cluster.Decider { return nil }, s.log)
	if err != nil {
		s.Fatal(err)
	}
	return p
}

func (s *site) lines(text string) int { return s.said.FilterMessageSnippet(text).Len() }

// A first start takes all voters; then what is written is held by all, and the end of each gives back all that it took.
func TestVotersBeginTogetherAndEndCleanly(t *testing.T) {
	s := newSite(t)
	all := []*Process{s.open("v1", true), s.open("v2", true), s.open("g1", false)}
	time.Sleep(300 * time.Millisecond) // some rounds of asking
	if s.lines("has begun") > 0 {
		t.Error("two of three began alone: the third may have what a majority wrote")
	}
	all = append(all, s.open("v3", true))
	standin.Eventually(t, "all begin", func() bool { return s.lines("has begun") == 3 })
	standin.Eventually(t, "a write", func() bool {
		for _, v := range all[2].Charter().Voters {
			if _, err := all[2].client.Propose(t.Context(), v.Address, tables.Command{Kind: tables.Write, By: "t",
				Number: 1, Table: "plan", Value: []byte("x")}); err == nil {
				return true
			}
		}
		return false
	})
	for _, p := range all {
		standin.Eventually(t, "the write", func() bool {
			h := p.Commons().Held("plan")
			return string(h.Value) == "x" && h.Until > p.Commons().Now()
		})
	}
	path := s.file("g1", false, "hall = \"b\"\n") // what takes a restart is named, and the rest is taken
	if !all[2].Reload() || s.lines("left as it was") != 1 || all[2].Charter().Process.Hall != "" {
		t.Error("reloaded", s.said.All())
	}
	if err := os.WriteFile(path, []byte("[process]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if all[2].Reload() || s.lines("is not taken") != 1 || len(all[2].Charter().Voters) != 3 {
		t.Error("a bad file is taken")
	}
	for _, p := range all {
		p.Resign()
		p.Close()
	}
}

// A file that gives a used folder another number would make one voter of two.
func TestUsedFolderKeepsItsNumber(t *testing.T) {
	s := newSite(t)
	var all []*Process
	for _, name := range []string{"v1", "v2", "v3"} {
		all = append(all, s.open(name, true))
	}
	standin.Eventually(t, "all begin", func() bool { return s.lines("has begun") == 3 })
	for _, p := range all {
		p.Close()
	}
	s.voters = strings.Replace(s.voters, "number = 1\n", "number = 4\nreplaces = 1\n", 1)
	_, err := Open(s.file("v1", true, ""), func(*charter.Charter) []cluster.Decider { return nil }, s.log)
	if err == nil || !strings.Contains(err.Error(), "v1.toml: process.disk: holds the log of voter 1") {
		t.Errorf("opened: %v", err)
	}
}
