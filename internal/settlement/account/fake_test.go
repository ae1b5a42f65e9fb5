package account

import (
	"errors"
	"sync"
	"time"

	"harrierhoist/internal/coordination"
)

// fakeCoordination is what all hold in common, in a test's hands.
type fakeCoordination struct {
	sync.Mutex
	held    coordination.CachedTable
	now     time.Duration
	changed chan struct{}
	exact   func(add func(string, uint64))
}

func (f *fakeCoordination) update(do func()) {
	f.Lock()
	defer f.Unlock()
	do()
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
	return f.held
}

func (f *fakeCoordination) Changed() <-chan struct{} {
	f.Lock()
	defer f.Unlock()
	return f.changed
}

func (f *fakeCoordination) RegisterCounters(func(func(string, uint64))) {}

func (f *fakeCoordination) RegisterExactCounters(e func(func(string, uint64))) {
	f.Lock()
	defer f.Unlock()
	f.exact = e
}

type updateSignal chan struct{}

func (s updateSignal) UpdateElective() { s <- struct{}{} }

// memoryStore is one in a test's hands.
type memoryStore struct {
	sync.Mutex
	isFailing bool
	ledgerID  string
	balances  []StoredBalance
}

func (d *memoryStore) Write(ledgerID string, balances []StoredBalance) error {
	d.Lock()
	defer d.Unlock()
	if d.isFailing {
		return errors.New("no space left")
	}
	d.ledgerID, d.balances = ledgerID, balances
	return nil
}

func (d *memoryStore) Restored() (string, []StoredBalance) { return d.ledgerID, d.balances }

func (f *fakeCoordination) isRegistered() bool {
	f.Lock()
	defer f.Unlock()
	return f.exact != nil
}
