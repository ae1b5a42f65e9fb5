package account

import (
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/testing/fakes"
)

// fakeCoordination is a coordination.Client with one table and a clock, both set by the test.
type fakeCoordination struct {
	sync.Mutex
	table         coordination.CachedTable
	now           time.Duration
	changed       chan struct{}
	exactCounters func(add func(string, uint64)) // nil until registered
}

func newFakeCoordination() *fakeCoordination {
	return &fakeCoordination{changed: make(chan struct{})}
}

// update calls change with the lock held, and then wakes the receivers of Changed.
func (f *fakeCoordination) update(change func()) {
	f.Lock()
	defer f.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeCoordination) Now() time.Duration {
	f.Lock()
	defer f.Unlock()
	return f.now
}

func (f *fakeCoordination) Cached(string) coordination.CachedTable {
	f.Lock()
	defer f.Unlock()
	return f.table
}

func (f *fakeCoordination) Changed() <-chan struct{} {
	f.Lock()
	defer f.Unlock()
	return f.changed
}

func (f *fakeCoordination) RegisterCounters(func(func(string, uint64))) {}

func (f *fakeCoordination) RegisterExactCounters(counts func(func(string, uint64))) {
	f.Lock()
	defer f.Unlock()
	f.exactCounters = counts
}

func (f *fakeCoordination) hasExactCounters() bool {
	f.Lock()
	defer f.Unlock()
	return f.exactCounters != nil
}

// updateNotifications receives an element for each call of UpdateElectiveServers.
type updateNotifications chan struct{}

func (u updateNotifications) UpdateElectiveServers() { u <- struct{}{} }

// memoryStore is a Store in memory. Writes fail after a call of fail.
type memoryStore struct {
	sync.Mutex
	isFailing bool
	ledgerID  string
	balances  []StoredBalance
}

var errStoreFull = errors.New("no space left")

func (m *memoryStore) Write(ledgerID string, balances []StoredBalance) error {
	m.Lock()
	defer m.Unlock()
	if m.isFailing {
		return errStoreFull
	}
	m.ledgerID = ledgerID
	m.balances = balances
	return nil
}

func (m *memoryStore) InitialState() (string, []StoredBalance) { return m.ledgerID, m.balances }

func (m *memoryStore) fail() {
	m.Lock()
	defer m.Unlock()
	m.isFailing = true
}

// runAccounts calls Run in a goroutine, and returns once its counters are registered. The function
// that it returns cancels Run and waits until Run has returned.
func runAccounts(
	t *testing.T, a *Accounts, f *fakeCoordination, updates updateNotifications, log *zap.Logger,
) (stop func()) {
	t.Helper()
	ctx, cancel := newTestContext(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx, f, updates, log)
	}()
	fakes.Eventually(t, "registered counters", f.hasExactCounters)
	return func() { cancel(); <-ended }
}
