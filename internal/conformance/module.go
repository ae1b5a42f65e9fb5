package conformance

import (
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// Module is what a row needs of a module: the events of the ordinary path.
type Module interface {
	List(now time.Duration, kind policy.ListKind, list []policy.Listed)
	Take(now time.Duration, t policy.Task)
	Ended(now time.Duration, p policy.Push)
	Woke(now time.Duration, token uint64)
	Counted(now time.Duration, t policy.Tally)
}

const (
	tick       = 2 * time.Millisecond
	slack      = 8 * time.Millisecond
	answerTime = 20 * time.Millisecond  // of a push in a module's play
	callTime   = time.Millisecond       // of a call to the counter there
	countLimit = 200 * time.Millisecond // beyond which a call is slow
	customer   = 77                     // the row's, where its windows need not be chosen
	origin     = time.Minute            // of a module's play
	seed       = 7
	servers    = 2
	pushes     = 6 // for a task at most
	mostUnits  = 6
)

// site is the deployment of a row: roomy, warm, nothing that the design does not speak of.
func site(p Plan, gateways int) policy.Deployment {
	d := policy.Deployment{
		Gateways: max(gateways, 1), Halls: 1, Tick: tick, HasCounter: true, CountLimit: countLimit, Settles: true,
		MostUnits: mostUnits, Cancelling: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, PushLimit: pushes,
		AnswerSlack: slack, DrainGrace: time.Second, ColdFrom: 0.15, WarmAfter: 16 * time.Second, FallMultiple: 2,
		TipAfter: 1500 * time.Millisecond, Plans: []policy.Plan{{Name: p.Name, Rate: p.Rate, Burst: p.Burst}},
	}
	for _, l := range lanes {
		d.Lanes = append(d.Lanes, policy.Lane{Name: l.name, SoftLimit: l.soft, Patience: l.patience, Gain: 1})
	}
	return d
}

// module is a row's play against the module: its host, its clock, and a counter that answers at once while it is up.
// All is in virtual time, so a play is always the same.
type module struct {
	t        testing.TB
	g        Module
	seen     seen
	windows  windows
	gateways int
	now      time.Duration
	silent   bool
	totals   map[uint64]float64
	calls    []policy.Tally // not answered yet, with what each adds as the total
	wakes    []wake
	pushed   map[uint32]uint32 // task to server, while it is out
}

type wake struct {
	token uint64
	at    time.Duration
}

func newModule(t testing.TB, row Row, p Plan, v Variant) *module {
	t.Helper()
	m := &module{t: t, windows: windowsOf(customer, p), gateways: max(row.Gateways, 1), now: origin,
		totals: map[uint64]float64{}, pushed: map[uint32]uint32{}}
	g, err := v.Module(site(p, row.Gateways), seed, m)
	if err != nil {
		t.Fatal(err)
	}
	m.g = g
	var list []policy.Listed
	for i := range servers {
		list = append(list, policy.Listed{Server: uint32(i + 1), Stage: policy.Ready, Power: 1})
	}
	g.List(m.now, policy.ListWhole, list)
	return m
}

func (m *module) do(s step) {
	switch s.verb {
	case "task":
		t := policy.Task{ID: uint32(s.task), Lane: s.lane, Customer: s.customer, Width: m.gateways, Units: s.units,
			Expires: m.now + lanes[s.lane].patience}
		if t.Customer == 0 {
			t.Customer = m.windows.customer
		}
		m.g.Take(m.now, t)
	case "answer":
		id := uint32(s.task)
		server, out := m.pushed[id]
		if !out {
			m.t.Fatalf("task %d is not out", id)
		}
		m.seen.add("answered " + decimal(id))
		delete(m.pushed, id)
		m.g.Ended(m.now, policy.Push{Task: id, Server: server, Took: answerTime, Done: true, Billed: s.units})
	case "others":
		m.totals[m.windows.name(m.windows.number(m.now))] += s.units
	case "counter":
		m.silent = s.word == "silent"
	case "wait":
		m.pass(s.span)
	case "edge":
		m.pass(m.windows.edge(m.now))
	case "mark":
		m.seen.add("mark " + s.word)
	case "talks": // whom the module talks to is seen at the host
	}
	m.count()
}

// count answers the calls made, in order, while the counter is up.
func (m *module) count() {
	for !m.silent && len(m.calls) > 0 {
		c := m.calls[0]
		m.calls = m.calls[1:]
		m.totals[c.Name] += c.Total
		m.g.Counted(m.now, policy.Tally{Name: c.Name, Total: m.totals[c.Name], Took: callTime})
	}
}

// pass lets time go by and rings the timers that fall due.
func (m *module) pass(d time.Duration) {
	end := m.now + d
	for {
		due := slices.DeleteFunc(slices.Clone(m.wakes), func(w wake) bool { return w.at > end })
		if len(due) == 0 {
			m.now = end
			return
		}
		w := slices.MinFunc(due, func(a, b wake) int { return int(a.at - b.at) })
		m.Forget(w.token)
		m.now = max(m.now, w.at)
		m.g.Woke(m.now, w.token)
		m.count()
	}
}

// settled gives what was seen; nothing is under way between two steps.
func (m *module) settled(func([][]string) bool) *seen { return &m.seen }

// Push and the rest are the module's host.
func (m *module) Push(task, server uint32, _ time.Duration) {
	m.pushed[task] = server
	faces := []string{"push " + decimal(task)}
	if server > servers { // one that a variant put beside the row's
		faces = append(faces, faces[0]+" elective")
	}
	m.seen.add(faces...)
}
func (m *module) Cancel(task uint32, _ int)           { m.seen.add("cancel " + decimal(task)) }
func (m *module) Reject(task uint32, _ time.Duration) { m.seen.add("rejected " + decimal(task)) }
func (m *module) Terminate(task uint32)               { m.seen.add("terminated " + decimal(task)) }
func (m *module) Probe(uint32)                        { m.seen.add("probe") }
func (m *module) Tell(int, []byte)                    { m.seen.add("tell") }
func (m *module) Watch()                              {}
func (m *module) Log(string)                          {}
func (m *module) Wake(token uint64, after time.Duration) {
	m.wakes = append(m.wakes, wake{token, m.now + after})
}
func (m *module) Count(n uint64, _ time.Duration, units float64) {
	m.calls = append(m.calls, policy.Tally{Name: n, Total: units})
	m.seen.add(m.windows.call(m.now, n, units)...)
}

// Forget takes a wake back.
func (m *module) Forget(token uint64) {
	m.wakes = slices.DeleteFunc(m.wakes, func(w wake) bool { return w.token == token })
}
