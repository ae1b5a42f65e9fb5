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
	Name string
	Text string // what the state is, for the page
	// Module makes the module behind a host; nil: no row is played against the module.
	Module func(site policy.Settings, seed int64, host policy.Host) (Module, error)
	// Process readies a process before it starts; nil: no row is played against a process.
	Process func(t testing.TB, p *Launch)
	// Key gives what stands for a customer in the names of its counts; nil: its own number.
	Key func(customer uint64) uint64
	// Fits tells whether a customer may be a process row's; nil: any may.
	Fits func(customer uint64) bool
	// Aside says that the part makes calls of its own at the counter: those under other names than the row's
	// customer's are not looked at.
	Aside bool
	// Alone says that only rows that name the variant are played with it, as the part changes all others on purpose.
	Alone bool
	Never []string // patterns that no row may show with it
}

// Launch is how a process starts: a variant may add to it.
type Launch struct {
	Dir    string          // for files; gone with the test
	Env    []string        // added to that of the test
	Config map[string]any  // of the gateway, as it is written in JSON
	Hosts  []string        // the servers, as discovery lists them
	Peers  []string        // addresses that it may be connected with besides counter, discovery, servers and clients
	Ready  func(r Running) // called once it serves, before the row begins; nil: nothing is to be done then
}

// Running is a process that serves.
type Running struct {
	Pid    int
	Config string        // the file of its configuration
	Log    func() string // what it has logged so far
}

// Variants are those that the tests play. A part that can be switched on adds one for each of its states.
var Variants = slices.Concat([]Variant{Plain, Reshaped}, inModule, inCommon())

// Plain is the gateway as it is, with all parts off.
var Plain = Variant{
	Name: "plain", Text: "all parts are off",
	Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		return policy.New(site, seed, host)
	},
	Process: func(testing.TB, *Launch) {},
}

// Reshaped has taken its settings once more while it ran: nothing may follow from that.
var Reshaped = Variant{
	Name: "reshaped", Text: "the settings were taken once more while it ran",
	Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		g, err := policy.New(site, seed, host)
		if err == nil {
			_, err = g.Reconfigure(origin, site)
		}
		return g, err
	},
	Process: func(t testing.TB, l *Launch) {
		l.Ready = func(r Running) {
			if err := syscall.Kill(r.Pid, syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			fakes.Eventually(t, "settings taken", func() bool {
				return strings.Contains(r.Log(), "gateway: configuration reloaded")
			})
		}
	},
}

// player plays steps.
type player interface {
	do(s step)
	// settled waits until what was seen is enough, or will not come any more, and gives it.
	settled(enough func(lines [][]string) bool) *seen
}

// Play plays a row against the module and against a process, each where the row and the variant say so.
func Play(t *testing.T, tables *Tables, row Row, v Variant) {
	if row.But[v.Name] != "" || row.Only != v.Name && (row.Only != "" || v.Alone) {
		return // by its nature the part changes it on purpose
	}
	if row.at("module") && v.Module != nil {
		t.Run("module", func(t *testing.T) { PlayModule(t, tables, row, v) })
	}
	if row.at("process") && v.Process != nil {
		t.Run("process", func(t *testing.T) { PlayProcess(t, tables, row, v) })
	}
}

// PlayModule plays a row against the module.
func PlayModule(t testing.TB, tables *Tables, row Row, v Variant) {
	t.Helper()
	play(t, tables, row, v, func(p Plan) player { return newModule(t, row, p, v) })
}

// PlayProcess plays a row against a process of the program.
func PlayProcess(t testing.TB, tables *Tables, row Row, v Variant) {
	t.Helper()
	play(t, tables, row, v, func(p Plan) player { return newProcess(t, row, p, v) })
}

func play(t testing.TB, tables *Tables, row Row, v Variant, make func(Plan) player) {
	t.Helper()
	plan, err := tables.plan(row.Plan)
	if err != nil {
		t.Fatal(err)
	}
	p := make(plan)
	steps := func(texts []string) {
		for _, text := range texts {
			s, err := read(text)
			if err != nil {
				t.Fatal(err)
			}
			p.do(s)
		}
	}
	steps(row.Given)
	before := len(p.settled(func([][]string) bool { return true }).from(0))
	steps(row.Event)
	lines := p.settled(func(lines [][]string) bool { // holds, or does not any more
		return len(follows(lines[before:], row)) == 0 || len(forbidden(lines[before:], row.MustNot)) > 0
	}).from(before)
	for _, wrong := range judge(lines, row, slices.Concat(tables.Never, v.Never)) {
		t.Errorf("%s: %s\nseen: %s", row.Text, wrong, told(lines))
	}
}

func decimal(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
