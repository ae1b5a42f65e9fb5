package conformance

import (
	"slices"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Variant is a way to make the gateway under test: plain, or with an optional part switched on, in
// one of its states. The same cases run with each of Variants.
type Variant struct {
	Name        string
	Description string // of the state, for the page
	// Module makes the module behind a host; nil: no case runs against the module.
	Module func(settings policy.Settings, seed int64, host policy.Host) (Module, error)
	// Process prepares a process before it starts; nil: no case runs against a process.
	Process func(tb testing.TB, launch *Launch)
	// CounterKey returns what stands for a customer in the names of its counts; nil: its own
	// number.
	CounterKey func(customer uint64) uint64
	// AcceptsCustomer reports whether a customer may be a process case's; nil: any may.
	AcceptsCustomer func(customer uint64) bool
	// MakesOwnCalls says that the part makes counter calls of its own: those whose names are not of
	// the case's customer's windows are ignored.
	MakesOwnCalls bool
	// OnlyNamedCases says that only cases that name the variant run with it, as the part changes
	// all others on purpose.
	OnlyNamedCases bool
	Forbidden      []string // patterns that no case may show with it
}

// Launch is how a process starts. A variant may add to it.
type Launch struct {
	Dir     string         // for files; removed with the test
	Env     []string       // added to the test's own environment
	Config  map[string]any // the gateway's configuration, as it is written in JSON
	Hosts   []string       // the servers, as discovery lists them
	Peers   []string       // addresses it may connect to besides counter, discovery, servers and clients
	OnReady func(Instance) // called once it serves, before the case begins; may be nil
}

// Instance is a process that serves.
type Instance struct {
	PID        int
	ConfigFile string
	Log        func() string // what it has logged so far
}

// Variants are those that the tests run. A part that can be switched on adds one for each of its
// states.
var Variants = slices.Concat([]Variant{Plain, Reconfigured}, moduleVariants, coordinatedVariants())

// Plain is the gateway with all optional parts off.
var Plain = Variant{
	Name: "plain", Description: "all optional parts are off",
	Module: func(settings policy.Settings, seed int64, host policy.Host) (Module, error) {
		return policy.New(settings, seed, host)
	},
	Process: func(testing.TB, *Launch) {},
}

// Reconfigured has reloaded the same settings while it ran: nothing may follow from that.
var Reconfigured = Variant{
	Name: "reconfigured", Description: "the same settings were reloaded while it ran",
	Module: func(settings policy.Settings, seed int64, host policy.Host) (Module, error) {
		module, err := policy.New(settings, seed, host)
		if err == nil {
			_, err = module.Reconfigure(startTime, settings)
		}
		return module, err
	},
	Process: func(tb testing.TB, launch *Launch) {
		launch.OnReady = func(instance Instance) {
			if err := syscall.Kill(instance.PID, syscall.SIGHUP); err != nil {
				tb.Fatal(err)
			}
			fakes.Eventually(tb, "the configuration is reloaded", func() bool {
				return strings.Contains(instance.Log(), "gateway: configuration reloaded")
			})
		}
	},
}
