package transport

import (
	"context"
	"errors"
	"net"
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

// fakeVoter is a voter that has its tables in memory, and records what it receives.
type fakeVoter struct {
	mu       sync.Mutex // guards what follows
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

func (v *fakeVoter) HandleMessage(_ context.Context, message []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.messages = append(v.messages, message)
	return nil
}

func (v *fakeVoter) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.proposed++
	if v.err != nil {
		return statemachine.Result{}, v.err
	}
	v.index++
	v.names[command.Table] = true
	close(v.changed)
	v.changed = make(chan struct{})
	return v.state.Apply(v.index, command), nil
}

func (v *fakeVoter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (
	map[string]statemachine.Table, error,
) {
	for end := time.After(wait); ; {
		v.mu.Lock()
		found := map[string]statemachine.Table{}
		changed := v.changed
		err := v.err
		for name := range v.names {
			if table := v.state.Table(name); table.Epoch > known[name] {
				found[name] = table
			}
		}
		v.mu.Unlock()
		if len(found) > 0 || err != nil {
			return found, err
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

func (v *fakeVoter) AddDigests(digests []observation.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.digests = append(v.digests, digests...)
}

func (v *fakeVoter) ChangeMembership(context.Context, coordination.Member, bool) error { return nil }

func (v *fakeVoter) Status() coordination.Status { return coordination.Status{Number: 7, Leader: 7} }

// received counts what it received so far.
func (v *fakeVoter) received() (messages, digests, proposals int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.messages), len(v.digests), v.proposed
}

// fakeHost is the process of a voter.
type fakeHost struct{ voter coordination.Voter }

func (h fakeHost) Voter() coordination.Voter { return h.voter }
func (h fakeHost) Info() VoterInfo           { return VoterInfo{Number: 7, Name: "v7", Started: h.voter != nil} }
func (h fakeHost) GroupID() []byte           { return []byte("g") }

// listen opens a listener on loopback that is closed with the test.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := Network{}.Listen(tb.Context(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() }) // most tests have closed it by then
	return listener
}

// startServer starts a server for a voter on loopback, and returns its address and a client.
func startServer(tb testing.TB, voter coordination.Voter) (string, *Client) {
	tb.Helper()
	listener := listen(tb)
	server := Serve(listener, fakeHost{voter}, 16, zap.NewNop())
	tb.Cleanup(server.Close)
	return listener.Addr().String(), newTestClient(tb)
}

// dial connects to an address.
func dial(tb testing.TB, address string) net.Conn {
	tb.Helper()
	conn, err := new(net.Dialer).DialContext(tb.Context(), "tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	return conn
}

func newTestClient(tb testing.TB) *Client {
	tb.Helper()
	client := NewClient(Network{}, 2)
	tb.Cleanup(client.Close)
	return client
}

func newDigest(n uint64) observation.Digest {
	return observation.Digest{Process: "g1", Incarnation: 3, Serial: n, Counts: map[string]uint64{"pushes": n}}
}

// isSame reports whether two errors are the very same, not one around the other.
func isSame(a, b error) bool { return errors.Is(a, b) && errors.Is(b, a) }

var eventually = fakes.Eventually
