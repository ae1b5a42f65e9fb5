package transport

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/fakes"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeVoter is a voter that holds its tables in memory, and notes what it was handed.
type fakeVoter struct {
	mu       sync.Mutex
	state    *statemachine.State
	index    uint64
	names    map[string]bool
	changed  chan struct{}
	messages [][]byte
	digests  []observation.Digest
	proposed int
	err      error
}

func newFakeVoter() *fakeVoter {
	return &fakeVoter{state: statemachine.New(), names: map[string]bool{}, changed: make(chan struct{})}
}

func (m *fakeVoter) HandleMessage(_ context.Context, message []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messages = append(m.messages, message)
	return nil
}

func (m *fakeVoter) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proposed++; m.err != nil {
		return statemachine.Result{}, m.err
	}
	m.index++
	m.names[command.Table] = true
	close(m.changed)
	m.changed = make(chan struct{})
	return m.state.Apply(m.index, command), nil
}

func (m *fakeVoter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (map[string]statemachine.Table, error) {
	for end := time.After(wait); ; {
		m.mu.Lock()
		found, changed, wireErr := map[string]statemachine.Table{}, m.changed, m.err
		for name := range m.names {
			if e := m.state.Table(name); e.Epoch > known[name] {
				found[name] = e
			}
		}
		m.mu.Unlock()
		if len(found) > 0 || wireErr != nil {
			return found, wireErr
		}
		select {
		case <-end:
			return nil, nil
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *fakeVoter) AddDigests(digests []observation.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digests = append(m.digests, digests...)
}

func (m *fakeVoter) ChangeMembership(context.Context, coordination.Member, bool) error { return nil }
func (m *fakeVoter) Status() coordination.Status                                       { return coordination.Status{Number: 7, Leader: 7} }

// received gives what it was handed so far.
func (m *fakeVoter) received() (steps, digests, proposed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.messages), len(m.digests), m.proposed
}

// fakeHost is the process of a voter.
type fakeHost struct{ voter coordination.Voter }

func (h fakeHost) Voter() coordination.Voter { return h.voter }
func (h fakeHost) Info() VoterInfo           { return VoterInfo{Number: 7, Name: "v7", Started: h.voter != nil} }
func (h fakeHost) GroupID() []byte           { return []byte("g") }

// startServer starts a server for a voter on loopback, and gives its address and a client.
func startServer(t *testing.T, voter coordination.Voter, maxConnections int) (string, *Client) {
	t.Helper()
	listener, err := Network{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(listener, fakeHost{voter}, maxConnections, zap.NewNop())
	t.Cleanup(s.Close)
	return listener.Addr().String(), newTestClient(t, Network{})
}

func newTestClient(t *testing.T, network Network) *Client {
	c := NewClient(network, 2)
	t.Cleanup(c.Close)
	return c
}

func newDigest(n uint64) observation.Digest {
	return observation.Digest{Process: "g1", Incarnation: 3, Serial: n, Counts: map[string]uint64{"pushes": n}}
}

func TestClient_callsReachTheVoter(t *testing.T) {
	voter := newFakeVoter()
	address, c := startServer(t, voter, 16)
	if err := c.Digests(t.Context(), address, []observation.Digest{newDigest(5)}); err != nil || !maps.Equal(voter.digests[0].Counts, newDigest(5).Counts) {
		t.Error(err, voter.digests)
	}
	write := statemachine.Command{Kind: statemachine.Write, Proposer: "p/1", Number: 1, Table: "plan", Value: []byte("x")}
	read := make(chan map[string]statemachine.Table)
	go func() { // it waits for the write
		found, group, err := c.Read(t.Context(), address, map[string]uint64{"plan": 0}, 5*time.Second)
		if err != nil || string(group) != "g" {
			t.Error(err)
		}
		read <- found
	}()
	if r, err := c.Propose(t.Context(), address, write); err != nil || !r.Applied || r.Epoch != 1 {
		t.Error(r, err)
	}
	if e := (<-read)["plan"]; e.Epoch != 1 || string(e.Value) != "x" {
		t.Errorf("read %+v", e)
	}
	if found, _, err := c.Read(t.Context(), address, map[string]uint64{"plan": 1}, time.Millisecond); err != nil || len(found) > 0 {
		t.Errorf("read %v, %v", found, err)
	}
	if info, err := c.Info(t.Context(), address); err != nil || info.Name != "v7" || !info.Started {
		t.Error(info, err)
	}
	for _, wireErr := range wireErrors {
		voter.err = wireErr
		if _, err := c.Propose(t.Context(), address, write); err != wireErr {
			t.Errorf("%v came as %v", wireErr, err)
		}
		if _, _, err := c.Read(t.Context(), address, nil, 0); err != wireErr {
			t.Errorf("%v came as %v", wireErr, err)
		}
	}
}

// A voter that waits to begin must not count as one that answers.
func TestServer_voterThatHasNotStartedAcceptsNothing(t *testing.T) {
	address, c := startServer(t, nil, 16)
	if info, err := c.Info(t.Context(), address); err != nil || info.Started {
		t.Error(info, err)
	}
	if _, _, err := c.Read(t.Context(), address, nil, 0); err == nil {
		t.Error("a read is answered")
	}
	if c.Digests(t.Context(), address, []observation.Digest{newDigest(1)}) == nil {
		t.Error("a digest is taken")
	}
}

var eventually = fakes.Eventually
