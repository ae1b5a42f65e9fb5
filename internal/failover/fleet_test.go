package failover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/pool"
	"harrierhoist/internal/witness"
	"harrierhoist/policy"
)

// wholeFleet is the program's own witnesses, digests each 200 ms of which one in twenty is lost, the book, the decider, and
// the pools that act on its plans. Servers and the module are emulated: each gateway pushes at a steady rate to a server of
// its part, drawn by lot of those that have not failed within a second.
type wholeFleet struct {
	chance *rand.Rand
	rate   float64 // pushes a second of each gateway
	dead   bool    // the first hall
	errors float64 // part of all pushes that fail anywhere
	silent bool    // dead servers say nothing, in place of refusing
	now    time.Duration
	each   []*member
	book   *evidence.Book
	d      *Decider
	entry  tables.Entry
	epochs []*Plan
	list   []pool.Server
	loads  [3]int // pushes by hall since counted anew
}

type member struct {
	hall   int
	blind  bool // all that it pushes fails
	w      *witness.Witness
	pool   *pool.Pool
	part   []policy.Listed
	epoch  int // of the plan that the part is of, by number
	sick   map[uint32]time.Duration
	digest evidence.Digest
	next   time.Duration
	out    []pushed
}

type pushed struct {
	server uint32
	hall   int
	ends   time.Duration
	took   time.Duration
	how    policy.Outcome
}

func newFleet(seed uint64, gateways int, rate float64) *wholeFleet {
	f := &wholeFleet{chance: rand.New(rand.NewPCG(seed, 9)), rate: rate, now: time.Hour, book: evidence.NewBook()}
	w := three(0)
	w.terms.Bears = 2 * float64(gateways) * rate / 14 // all halls at half of what they bear
	f.d = New(w.terms, w.lease)
	var list []policy.Listed
	for i := range 42 {
		list = append(list, policy.Listed{Server: uint32(i), Stage: policy.Ready, Hall: i % 3, Cell: i})
		f.list = append(f.list, pool.Server{Mark: pool.Mark(fmt.Sprint(i)), Listed: list[i]})
	}
	for i := range 3 * gateways {
		m := &member{hall: i % 3, epoch: -1, pool: pool.New(i, 3*gateways, 15*time.Second), sick: map[uint32]time.Duration{},
			w: witness.New(w.halls, i%3, &policy.Deployment{})}
		m.digest = evidence.Digest{Process: fmt.Sprint(i), Incarnation: 1}
		m.next = f.now + time.Duration(f.chance.IntN(200))*time.Millisecond
		m.w.Listed(f.now, list)
		f.each = append(f.each, m)
	}
	return f
}

// until lets the fleet go on until a condition holds or a time is over, and tells how long that was.
func (f *wholeFleet) until(most time.Duration, done func() bool) time.Duration {
	const step = 10 * time.Millisecond
	for start := f.now; ; f.now += step {
		if took := f.now - start; took >= most || done() {
			return took
		}
		for _, m := range f.each {
			f.member(m, step)
		}
		if f.now%tick != 0 {
			continue
		}
		seen := cluster.Seen{Sums: f.book.Sums(), Held: func(string) tables.Entry { return f.entry }}
		if value, write := f.d.Decide(f.now, seen); write {
			p, _ := Read(value)
			f.entry = tables.Entry{Epoch: f.entry.Epoch + 1, Value: value}
			f.epochs = append(f.epochs, p)
		}
	}
}

func (f *wholeFleet) member(m *member, step time.Duration) {
	m.out = slices.DeleteFunc(m.out, func(p pushed) bool {
		if f.now >= p.ends {
			m.w.Ended(f.now, p.hall, p.server, p.how, p.took)
			if p.how != policy.Answered {
				m.sick[p.server] = f.now + time.Second
			}
		}
		return f.now >= p.ends
	})
	if f.chance.Float64() < f.rate*step.Seconds() {
		f.push(m)
	}
	if f.now < m.next {
		return
	}
	m.next += 200 * time.Millisecond
	m.digest.Serial++
	m.digest.Counts = map[string]uint64{}
	m.w.Counts(f.now, func(name string, n uint64) { m.digest.Counts[name] = n })
	if f.chance.IntN(20) > 0 {
		f.book.Take(m.digest)
	}
}

// push has a task pushed, or shed.
func (f *wholeFleet) push(m *member) {
	if m.epoch != len(f.epochs) || m.pool.Due(f.now) {
		m.epoch = len(f.epochs)
		part := Part{Weights: map[string]float64{f.d.halls[m.hall]: 1}}
		if m.epoch > 0 {
			part = f.epochs[m.epoch-1].Part(f.d.halls[m.hall])
		}
		weights := make([]float64, 3)
		for i, hall := range f.d.halls {
			weights[i] = part.Weights[hall]
		}
		m.pool.Steer(weights, part.Shed)
		m.part, _ = m.pool.Part(f.now, f.list)
	}
	if m.pool.Shed() {
		m.w.Shed(1)
		return
	}
	from := slices.DeleteFunc(slices.Clone(m.part), func(l policy.Listed) bool { return f.now < m.sick[l.Server] })
	if len(from) == 0 {
		from = m.part
	}
	to := from[f.chance.IntN(len(from))]
	p := pushed{to.Server, to.Hall, 0, time.Duration(50+f.chance.IntN(200)) * time.Millisecond, policy.Answered}
	switch {
	case f.dead && to.Hall == 0 && f.silent:
		p.took, p.how = 3*time.Second, policy.TimedOut
	case f.dead && to.Hall == 0:
		p.took, p.how = time.Millisecond, policy.NoConnect
	case m.blind || f.chance.Float64() < f.errors:
		p.took, p.how = 5*time.Millisecond, policy.Errored
	}
	p.ends = f.now + p.took
	f.loads[to.Hall]++
	m.pool.Pushed(f.now)
	m.w.Pushed(f.now, to.Hall, 1, true)
	m.out = append(m.out, p)
}

// A hall that is lost whole moves the plan within some two seconds, before it is written and heard of, also where each
// gateway has two pushes a second; and nothing moves before.
func TestTimeFromLossToPlan(t *testing.T) {
	for _, k := range []struct {
		gateways int
		rate     float64
		silent   bool
	}{{2, 20, false}, {2, 20, true}, {10, 2, false}, {10, 10, true}} {
		t.Run(fmt.Sprintf("%d gateways of %.0f a second, silent %v", 3*k.gateways, k.rate, k.silent), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for seed := range uint64(30) {
				f := newFleet(seed, k.gateways, k.rate)
				f.until(8*time.Second, func() bool { return false })
				for _, p := range f.epochs {
					if !p.Near("a") || !p.Near("b") || !p.Near("c") {
						t.Fatalf("seed %d: moved in a calm", seed)
					}
				}
				f.dead, f.silent = true, k.silent
				moved := func() bool { return len(f.epochs) > 0 && !f.epochs[len(f.epochs)-1].Near("a") }
				took = append(took, f.until(8*time.Second, moved))
			}
			slices.Sort(took)
			t.Logf("p50 %v, most of 30 %v", took[15], took[29])
			if took[29] > 2100*time.Millisecond {
				t.Errorf("took %v", took[29])
			}
		})
	}
}

// Calm days have failures too: a part of all pushes fails, one gateway fails in all of them, and nothing moves.
func TestFailuresOfCalmDaysMoveNothing(t *testing.T) {
	for _, gateways := range []int{2, 3, 10} {
		for seed := range uint64(10) {
			f := newFleet(seed, gateways, 5)
			f.errors = 0.02
			f.each[seed%3].blind = true
			f.until(20*time.Second, func() bool { return false })
			for _, p := range f.epochs {
				if !p.Near("a") || !p.Near("b") || !p.Near("c") {
					t.Errorf("%d gateways in a hall, seed %d: %v (%v)", gateways, seed, p.Rows, p.Why)
				}
			}
		}
	}
}

// A hall is lost for a minute and comes back: the trial alone shows that it did, its tasks come back in steps, and on
// the way no hall is pushed over.
func TestLostAndBackThroughThePools(t *testing.T) {
	for _, gateways := range []int{2, 10} {
		t.Run(fmt.Sprint(3*gateways), func(t *testing.T) {
			t.Parallel()
			f := newFleet(3, gateways, 10)
			never := func() bool { return false }
			f.until(8*time.Second, never)
			f.dead = true
			f.until(4*time.Second, never)
			f.loads = [3]int{}
			f.until(56*time.Second, never)
			bears := f.d.terms.Bears * 14 * 56
			for hall, n := range f.loads {
				t.Logf("hall %d at %.2f", hall, float64(n)/bears)
				if float64(n) > 0.82*bears || hall > 0 && float64(n) < 0.6*bears {
					t.Errorf("hall %d at %.2f", hall, float64(n)/bears)
				}
			}
			if n := len(f.epochs); n > 15 {
				t.Errorf("%d plans", n)
			}
			f.dead = false
			took := f.until(3*time.Minute, func() bool { return f.epochs[len(f.epochs)-1].Near("a") })
			if t.Logf("back after %v", took); took < 30*time.Second || took > 90*time.Second {
				t.Errorf("back after %v", took)
			}
		})
	}
}
