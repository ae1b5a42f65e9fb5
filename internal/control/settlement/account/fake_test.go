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

// fakeCoordination holds one table and a clock, which a test sets.
type fakeCoordination struct {
	sync.Mutex
	table   coordination.CachedTable
	now     time.Duration
	changed chan struct{}
	exact   func(add func(string, uint64)) // nil: none registered yet
}

func newFakeCoordination() *fakeCoordination {
	return &fakeCoordination{changed: make(chan struct{})}
}

// update changes fields, and notifies those that wait for a change.
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
	f.exact = counts
}

func (f *fakeCoordination) isRegistered() bool {
	f.Lock()
	defer f.Unlock()
	return f.exact != nil
}

// updateSignal gets an element with each call.
type updateSignal chan struct{}

func (s updateSignal) UpdateElective() { s <- struct{}{} }

// memoryStore keeps balances in memory, and fails when a test says so.
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

func (m *memoryStore) Restored() (string, []StoredBalance) { return m.ledgerID, m.balances }

func (m *memoryStore) fail() {
	m.Lock()
	defer m.Unlock()
	m.isFailing = true
}

// runAccounts has accounts run until the function returned is called, which waits for their end.
func runAccounts(
	t *testing.T, a *Accounts, f *fakeCoordination, updates updateSignal, log *zap.Logger,
) (stop func()) {
	t.Helper()
	ctx, cancel := newTestContext(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx, f, updates, log)
	}()
	fakes.Eventually(t, "counters registered", f.isRegistered)
	return func() { cancel(); <-ended }
}
