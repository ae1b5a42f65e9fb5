package conformance

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// partState is a state of an optional part at a process. The process follows a voter that holds the
// part's table as the state needs it. No controller runs there, so the state lasts for as long as a
// case runs.
type partState struct {
	name, description string
	zone              string // of the process

	config     string        // of the part, in the operators' file
	table      string        // the part's table; empty if nothing is decided
	value      func() []byte // of the table
	readyLines []string      // logged by the process once the state is in force

	zones               []string // of the settings, the process's own first; nil: zoneA alone
	lastServerElsewhere bool     // the last of the case's servers is in zoneB

	leaseLostLines []string      // logged once the voter has stopped and its lease has ended; nil: it keeps running
	settleTime     time.Duration // until the state has come, from when the process serves

	counterKey      func(customer uint64) uint64
	acceptsCustomer func(customer uint64) bool
	onlyNamedCases  bool
	makesOwnCalls   bool
}

// variant returns the state as a variant. Its cases share one voter unless the voter has to stop.
func (s partState) variant() Variant {
	return Variant{
		Name: s.name, Description: s.description, CounterKey: s.counterKey, AcceptsCustomer: s.acceptsCustomer,
		MakesOwnCalls: s.makesOwnCalls, OnlyNamedCases: s.onlyNamedCases, Process: s.launcher(),
	}
}

// launcher returns the function that brings a process into the state.
func (s partState) launcher() func(testing.TB, *Launch) {
	if s.leaseLostLines == nil && s.settleTime == 0 {
		var once sync.Once
		var shared *testVoter
		return func(tb testing.TB, launch *Launch) {
			tb.Helper()
			once.Do(func() {
				shared = s.startVoter(tb)
				sharedVotersLock.Lock()
				defer sharedVotersLock.Unlock()
				sharedVoters = append(sharedVoters, shared)
			})
			if shared == nil {
				tb.Fatal("the shared voter did not start")
			}
			s.prepare(tb, launch, shared, longLease, nil)
		}
	}
	return func(tb testing.TB, launch *Launch) {
		tb.Helper()
		voter := s.startVoter(tb)
		stop := sync.OnceFunc(func() {
			if err := voter.stop(); err != nil {
				tb.Error(err)
			}
		})
		tb.Cleanup(stop)
		if s.leaseLostLines == nil {
			s.prepare(tb, launch, voter, longLease, func() { time.Sleep(s.settleTime) })
			return
		}
		s.prepare(tb, launch, voter, shortLease, stop)
	}
}

func (s partState) startVoter(tb testing.TB) *testVoter {
	tb.Helper()
	var value []byte
	if s.value != nil {
		value = s.value()
	}
	return startVoter(tb, s.table, value)
}

// prepare writes a follower's configuration and adds it to the launch. Once the process serves, it
// waits until the state is in force, calls proceed, which may be nil, and waits for the lines on
// the lost lease.
func (s partState) prepare(tb testing.TB, launch *Launch, voter *testVoter, lease string, proceed func()) {
	tb.Helper()
	path := filepath.Join(launch.Dir, "common.toml")
	text := fmt.Sprintf("[process]\nname = \"g1\"\nsingle = true\nhall = %q\n",
		s.zone) + voter.votersConfig(lease) + s.config
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	launch.Env = append(launch.Env, "RELAY_COMMON="+path)
	launch.Peers = append(launch.Peers, voter.address)
	if s.zones != nil {
		launch.Config["settings"].(map[string]any)["Dcs"] = s.zones
	}
	if s.lastServerElsewhere {
		last := &launch.Hosts[len(launch.Hosts)-1]
		*last = strings.Replace(*last, `"site":"`+zoneA+`"`, `"site":"`+zoneB+`"`, 1)
	}
	launch.OnReady = func(instance Instance) {
		for _, line := range s.readyLines {
			fakes.Eventually(tb, line, func() bool { return strings.Contains(instance.Log(), line) })
		}
		if proceed == nil {
			return
		}
		before := instance.Log() // the same lines may have been logged before there was a lease
		proceed()
		for _, line := range s.leaseLostLines {
			fakes.Eventually(tb, line, func() bool { return strings.Contains(instance.Log()[len(before):], line) })
		}
	}
}
