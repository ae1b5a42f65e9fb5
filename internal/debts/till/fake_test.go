package till

import (
	"errors"
	"sync"
	"time"

	"harrierhoist/internal/cluster"
)

// fake is what all hold in common, in a test's hands.
type fake struct {
	sync.Mutex
	held    cluster.Held
	now     time.Duration
	changed chan struct{}
	exact   func(add func(string, uint64))
}

func (f *fake) set(do func()) {
	f.Lock()
	defer f.Unlock()
	do()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fake) Now() time.Duration {
	f.Lock()
	defer f.Unlock()
	return f.now
}

func (f *fake) Held(string) cluster.Held {
	f.Lock()
	defer f.Unlock()
	return f.held
}

func (f *fake) Changed() <-chan struct{} {
	f.Lock()
	defer f.Unlock()
	return f.changed
}

func (f *fake) Witness(func(func(string, uint64))) {}

func (f *fake) WitnessExact(e func(func(string, uint64))) {
	f.Lock()
	defer f.Unlock()
	f.exact = e
}

type settler chan struct{}

func (s settler) Settle() { s <- struct{}{} }

// disk is one in a test's hands.
type disk struct {
	sync.Mutex
	fails bool
	life  string
	kept  []Kept
}

func (d *disk) Write(life string, kept []Kept) error {
	d.Lock()
	defer d.Unlock()
	if d.fails {
		return errors.New("no space left")
	}
	d.life, d.kept = life, kept
	return nil
}

func (d *disk) Life() (string, []Kept) { return d.life, d.kept }

func (f *fake) asked() bool {
	f.Lock()
	defer f.Unlock()
	return f.exact != nil
}
