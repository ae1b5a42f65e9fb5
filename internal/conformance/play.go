package conformance

import (
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Variant is a way to make the gateway under test: plain, or with a part switched on, in one of its states. The same
// rows are played with each of Variants.
type Variant struct {
	Name        string
	Description string // what the state is, for the page
	// Module makes the module behind a host; nil: no row is played against the module.
	Module func(site policy.Settings, seed int64, host policy.Host) (Module, error)
	// Process readies a process before it starts; nil: no row is played against a process.
	Process func(t testing.TB, p *Launch)
	// Key gives what stands for a customer in the names of its counts; nil: its own number.
	CounterKey func(customer uint64) uint64
	// Fits tells whether a customer may be a process row's; nil: any may.
	AcceptsCustomer func(customer uint64) bool
	// Aside says that the part makes calls of its own at the counter: those under other names than the row's
	// customer's are not looked at.
	MakesOwnCalls bool
	// Alone says that only rows that name the variant are played with it, as the part changes all others on purpose.
	OnlyNamedRows bool
	Forbidden     []string // patterns that no row may show with it
}

// Launch is how a process starts: a variant may add to it.
type Launch struct {
	Dir     string                  // for files; gone with the test
	Env     []string                // added to that of the test
	Config  map[string]any          // of the gateway, as it is written in JSON
	Hosts   []string                // the servers, as discovery lists them
	Peers   []string                // addresses that it may be connected with besides counter, discovery, servers and clients
	OnReady func(instance Instance) // called once it serves, before the row begins; nil: nothing is to be done then
}

// Running is a process that serves.
type Instance struct {
	PID        int
	ConfigFile string        // the file of its configuration
	Log        func() string // what it has logged so far
}

// Variants are those that the tests play. A part that can be switched on adds one for each of its states.
var Variants = slices.Concat([]Variant{Plain, Reconfigured}, moduleVariants, coordinatedVariants())

// Plain is the gateway as it is, with all parts off.
var Plain = Variant{
	Name: "plain", Description: "all parts are off",
	Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		return policy.New(site, seed, host)
	},
	Process: func(testing.TB, *Launch) {},
}

// Reshaped has taken its settings once more while it ran: nothing may follow from that.
var Reconfigured = Variant{
	Name: "reshaped", Description: "the settings were taken once more while it ran",
	Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		g, err := policy.New(site, seed, host)
		if err == nil {
			_, err = g.Reconfigure(startTime, site)
		}
		return g, err
	},
	Process: func(t testing.TB, launch *Launch) {
		launch.OnReady = func(instance Instance) {
			if err := syscall.Kill(instance.PID, syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			fakes.Eventually(t, "settings taken", func() bool {
				return strings.Contains(instance.Log(), "gateway: configuration reloaded")
			})
		}
	},
}

// player plays steps.
type target interface {
	execute(s step)
	// settled waits until what was seen is enough, or will not come any more, and gives it.
	awaitEvents(enough func(lines [][]string) bool) *eventLog
}

// Play plays a row against the module and against a process, each where the row and the variant say so.
func Run(t *testing.T, suite *Suite, row Row, variant Variant) {
	if row.Exclusions[variant.Name] != "" || row.OnlyVariant != variant.Name && (row.OnlyVariant != "" || variant.OnlyNamedRows) {
		return // by its nature the part changes it on purpose
	}
	if row.runsAgainst("module") && variant.Module != nil {
		t.Run("module", func(t *testing.T) { RunModule(t, suite, row, variant) })
	}
	if row.runsAgainst("process") && variant.Process != nil {
		t.Run("process", func(t *testing.T) { RunProcess(t, suite, row, variant) })
	}
}

// PlayModule plays a row against the module.
func RunModule(t testing.TB, suite *Suite, row Row, variant Variant) {
	t.Helper()
	run(t, suite, row, variant, func(plan Plan) target { return newModuleTarget(t, row, plan, variant) })
}

// PlayProcess plays a row against a process of the program.
func RunProcess(t testing.TB, suite *Suite, row Row, variant Variant) {
	t.Helper()
	run(t, suite, row, variant, func(plan Plan) target { return newProcessTarget(t, row, plan, variant) })
}

func run(t testing.TB, suite *Suite, row Row, variant Variant, make func(Plan) target) {
	t.Helper()
	plan, err := suite.findPlan(row.Plan)
	if err != nil {
		t.Fatal(err)
	}
	p := make(plan)
	steps := func(texts []string) {
		for _, text := range texts {
			s, err := parseStep(text)
			if err != nil {
				t.Fatal(err)
			}
			p.execute(s)
		}
	}
	steps(row.Given)
	before := len(p.awaitEvents(func([][]string) bool { return true }).since(0))
	steps(row.Events)
	lines := p.awaitEvents(func(lines [][]string) bool { // holds, or does not any more
		return len(missingEvents(lines[before:], row)) == 0 || len(forbiddenEvents(lines[before:], row.Forbidden)) > 0
	}).since(before)
	for _, wrong := range violations(lines, row, slices.Concat(suite.Forbidden, variant.Forbidden)) {
		t.Errorf("%s: %s\nseen: %s", row.Text, wrong, formatEvents(lines))
	}
}

func decimal(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
