package conformance

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/node"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/testing/fakes"
)

const (
	longLease      = "30s"       // outlives a case on a busy machine
	shortLease     = "500ms"     // ends soon after the voter has stopped
	maxVoterStarts = 20          // each on another port
	writeTimeout   = time.Second // of one try to have a table written
)

// testVoter is a single voter, and what its followers' configuration says of it.
type testVoter struct {
	*node.Node
	address, dir string
	client       *transport.Client
}

// sharedVoters are those that cases share. Cleanup stops them.
var (
	sharedVoters     []*testVoter
	sharedVotersLock sync.Mutex
)

// startVoter starts a voter without controllers whose state machine holds one table, or none if the
// name is empty.
func startVoter(tb testing.TB, table string, value []byte) *testVoter {
	tb.Helper()
	dir, err := os.MkdirTemp("", "conformance-voter")
	if err != nil {
		tb.Fatal(err)
	}
	v := &testVoter{dir: dir, client: transport.NewClient(transport.Network{}, 1)}
	for range maxVoterStarts {
		err = v.open()
		if err == nil {
			break
		}
	}
	if err != nil {
		tb.Fatal(err)
	}
	if table != "" {
		v.writeTable(tb, table, value)
	}
	return v
}

// open opens the voter on another port than the one before, which may be taken.
func (v *testVoter) open() (err error) {
	v.address = listenAddress(portsUsed.Add(1))
	path := filepath.Join(v.dir, "voter.toml")
	text := "[process]\nname = \"v1\"\nsingle = true\nvoter = true\ndisk = \"" + v.dir + "/disk\"\n" +
		v.votersConfig(longLease)
	err = os.WriteFile(path, []byte(text), 0o600)
	if err != nil {
		return err
	}
	noControllers := func(*config.Config) []coordination.Controller { return nil }
	v.Node, err = node.Open(path, noControllers, zap.NewNop())
	return err
}

func (v *testVoter) writeTable(tb testing.TB, table string, value []byte) {
	tb.Helper()
	fakes.Eventually(tb, "the table is written", func() bool {
		ctx, cancel := context.WithTimeout(tb.Context(), writeTimeout)
		defer cancel()
		result, err := v.client.Propose(ctx, v.address, statemachine.Command{
			Kind: statemachine.Write, Proposer: "conformance/1", Number: 1, Table: table, Value: value,
		})
		return err == nil && result.Applied
	})
}

// votersConfig is the part of an operators' file that names the voter.
func (v *testVoter) votersConfig(lease string) string {
	return fmt.Sprintf("[timing]\nlease = %q\n[[voter]]\nnumber = 1\nname = \"v1\"\naddress = %q\n", lease, v.address)
}

// stop closes the voter and removes its files.
func (v *testVoter) stop() error {
	v.client.Close()
	v.Close()
	return os.RemoveAll(v.dir)
}
