package link

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// memory is a voter that holds its tables in memory, and notes what it was handed.
type memory struct {
	mu       sync.Mutex
	state    *tables.State
	index    uint64
	names    map[string]bool
	news     chan struct{}
	steps    [][]byte
	digests  []evidence.Digest
	proposed int
	fault    error
}

func newMemory() *memory {
	return &memory{state: tables.New(), names: map[string]bool{}, news: make(chan struct{})}
}

func (m *memory) Step(_ context.Context, message []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steps = append(m.steps, message)
	return nil
}

func (m *memory) Propose(_ context.Context, c tables.Command) (tables.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proposed++; m.fault != nil {
		return tables.Result{}, m.fault
	}
	m.index++
	m.names[c.Table] = true
	close(m.news)
	m.news = make(chan struct{})
	return m.state.Apply(m.index, c), nil
}

func (m *memory) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (map[string]tables.Entry, error) {
	for end := time.After(wait); ; {
		m.mu.Lock()
		found, news, fault := map[string]tables.Entry{}, m.news, m.fault
		for name := range m.names {
			if e := m.state.Table(name); e.Epoch > known[name] {
				found[name] = e
			}
		}
		m.mu.Unlock()
		if len(found) > 0 || fault != nil {
			return found, fault
		}
		select {
		case <-end:
			return nil, nil
		case <-news:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *memory) Take(digests []evidence.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.digests = append(m.digests, digests...)
}

func (m *memory) Change(context.Context, cluster.Member, bool) error { return nil }
func (m *memory) Status() cluster.Status                             { return cluster.Status{Number: 7, Leader: 7} }

// noted gives what it was handed so far.
func (m *memory) noted() (steps, digests, proposed int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.steps), len(m.digests), m.proposed
}

// house is the process of a voter.
type house struct{ voter cluster.Voter }

func (h house) Voter() cluster.Voter { return h.voter }
func (h house) Standing() Standing   { return Standing{Number: 7, Name: "v7", Begun: h.voter != nil} }
func (h house) Group() []byte        { return []byte("g") }

// serve starts a server for a voter on loopback, and gives its address and a client.
func serve(t *testing.T, v cluster.Voter, most int) (string, *Client) {
	t.Helper()
	l, err := Plain{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(l, house{v}, most, zap.NewNop())
	t.Cleanup(s.Close)
	return l.Addr().String(), client(t, Plain{})
}

func client(t *testing.T, plain Plain) *Client {
	c := NewClient(plain, 2)
	t.Cleanup(c.Close)
	return c
}

func digest(n uint64) evidence.Digest {
	return evidence.Digest{Process: "g1", Incarnation: 3, Serial: n, Counts: map[string]uint64{"pushes": n}}
}

func TestCallsReachTheVoter(t *testing.T) {
	v := newMemory()
	at, c := serve(t, v, 16)
	if err := c.Digests(t.Context(), at, []evidence.Digest{digest(5)}); err != nil || !maps.Equal(v.digests[0].Counts, digest(5).Counts) {
		t.Error(err, v.digests)
	}
	write := tables.Command{Kind: tables.Write, By: "p/1", Number: 1, Table: "plan", Value: []byte("x")}
	read := make(chan map[string]tables.Entry)
	go func() { // it waits for the write
		found, group, err := c.Read(t.Context(), at, map[string]uint64{"plan": 0}, 5*time.Second)
		if err != nil || string(group) != "g" {
			t.Error(err)
		}
		read <- found
	}()
	if r, err := c.Propose(t.Context(), at, write); err != nil || !r.Applied || r.Epoch != 1 {
		t.Error(r, err)
	}
	if e := (<-read)["plan"]; e.Epoch != 1 || string(e.Value) != "x" {
		t.Errorf("read %+v", e)
	}
	if found, _, err := c.Read(t.Context(), at, map[string]uint64{"plan": 1}, time.Millisecond); err != nil || len(found) > 0 {
		t.Errorf("read %v, %v", found, err)
	}
	if s, err := c.Standing(t.Context(), at); err != nil || s.Name != "v7" || !s.Begun {
		t.Error(s, err)
	}
	for _, fault := range faults {
		v.fault = fault
		if _, err := c.Propose(t.Context(), at, write); err != fault {
			t.Errorf("%v came as %v", fault, err)
		}
		if _, _, err := c.Read(t.Context(), at, nil, 0); err != fault {
			t.Errorf("%v came as %v", fault, err)
		}
	}
}

// A voter that waits to begin must not count as one that answers.
func TestVoterThatHasNotBegunTakesNothing(t *testing.T) {
	at, c := serve(t, nil, 16)
	if s, err := c.Standing(t.Context(), at); err != nil || s.Begun {
		t.Error(s, err)
	}
	if _, _, err := c.Read(t.Context(), at, nil, 0); err == nil {
		t.Error("a read is answered")
	}
	if c.Digests(t.Context(), at, []evidence.Digest{digest(1)}) == nil {
		t.Error("a digest is taken")
	}
}

var eventually = standin.Eventually
