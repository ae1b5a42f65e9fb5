package pool

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"harrierhoist/policy"
)

// told is the part of servers by hall that all gateways are handed, in the mean, by weights; and which servers.
func told(weights []float64, gateways int, list []Server, halls int, now time.Duration) ([]float64, map[uint32]int) {
	mean, met := make([]float64, halls), map[uint32]int{}
	for me := range gateways {
		p := New(me, gateways, 15*time.Second)
		p.Steer(weights, 0)
		part, _ := p.Part(now, list)
		for _, l := range part {
			mean[l.Hall] += 1 / float64(len(part)) / float64(gateways)
			met[l.Server]++
		}
	}
	return mean, met
}

// Shares hold in the mean over the fleet, though no gateway has a fiftieth of a server; and other gateways try it in turn.
func TestSharesHoldOverTheFleet(t *testing.T) {
	for _, gateways := range []int{30, 300} {
		list := fleet(120, 3)
		want := []float64{0.68, 0.3, 0.02}
		met := map[uint32]int{}
		for turns := range 5 {
			mean, now := told(want, gateways, list, 3, time.Hour+time.Duration(turns)*turnEvery)
			for hall, share := range want {
				if math.Abs(mean[hall]-share) > 0.35/float64(gateways)+0.015 {
					t.Errorf("%d gateways: hall %d gets %.3f, not %.2f", gateways, hall, mean[hall], share)
				}
			}
			for server, n := range now {
				met[server] += n
			}
		}
		if len(met) < 85 {
			t.Errorf("%d gateways: only %d of 120 servers met", gateways, len(met))
		}
	}
}

// A hall with too few servers gets its share all the same, as fewer of the others are handed over.
func TestAHallWithFewServersKeepsItsShare(t *testing.T) {
	list := slices.DeleteFunc(fleet(60, 2), func(s Server) bool { return s.Hall == 1 && s.Server > 4 })
	mean, _ := told([]float64{0.5, 0.5}, 20, list, 2, time.Hour)
	if math.Abs(mean[1]-0.5) > 0.02 {
		t.Errorf("two servers get %.2f", mean[1])
	}
}

// A hall with no weight gets nothing; what belongs to a hall without a server ready is shed, and no one else's.
func TestNothingGoesWhereNothingIsPlanned(t *testing.T) {
	list := fleet(30, 3)
	for i := range list {
		if list[i].Hall == 0 {
			list[i].Stage = policy.Gone
		}
	}
	p := New(3, 30, 15*time.Second)
	p.Steer([]float64{0.3, 0.7, 0}, 0.5)
	part, _ := p.Part(time.Hour, list)
	if len(part) == 0 || slices.ContainsFunc(part, func(l policy.Listed) bool { return l.Hall != 1 }) {
		t.Errorf("part %v", part)
	}
	shed, third := 0, 0
	for i := range 3000 {
		if p.Shed() {
			shed++
			if i%3 == 0 {
				third++
			}
		}
	}
	if want := 3000 * (0.5 + 0.5*0.3); math.Abs(float64(shed)-want) > 5 || math.Abs(float64(third)-want/3) > 5 {
		t.Errorf("%d of 3000 shed, %d of every third, not %.0f", shed, third, want)
	}
}

// asEver is the hash of the parts that the pool laid out before it knew weights.
const asEver = 0x421af0ccf5576efb

// Without weights, also after some, the parts are the same as they ever were.
func TestWithoutWeightsThePartIsAsEver(t *testing.T) {
	plain, steered := xxhash.New(), xxhash.New()
	for me := range 40 {
		a, b := New(me, 300, 15*time.Second), New(me, 300, 15*time.Second)
		list := fleet(200, 3)
		write(plain, a, list)
		b.Steer([]float64{1, 0, 0}, 0.5)
		b.Part(time.Hour, list)
		b.Steer(nil, 0)
		write(steered, b, list)
		if b.Shed() {
			t.Error("a task is shed")
		}
	}
	if plain.Sum64() != asEver || steered.Sum64() != asEver {
		t.Errorf("parts of %#x, and after weights %#x", plain.Sum64(), steered.Sum64())
	}
}

// asListed is what of a server the hash was taken over.
type asListed struct {
	Server           uint32
	Stage            policy.Stage
	Power            float64
	Since            time.Duration
	Cell, Hall, Kind int
}

func write(h *xxhash.Digest, p *Pool, list []Server) {
	for now := time.Hour; now < time.Hour+5*time.Second; now += time.Second / 4 {
		part, sharers := p.Part(now, list)
		was := make([]asListed, len(part))
		for i, l := range part {
			was[i] = asListed{l.Server, l.Stage, l.Power, l.Since, l.Cell, l.Hall, l.Kind}
			if l.Owner != 0 || l.Elective {
				_, _ = fmt.Fprintln(h, "marked", l)
			}
		}
		_, _ = fmt.Fprintln(h, was, sharers, p.Due(now+time.Minute))
		for i := range 9 {
			p.Pushed(now + time.Duration(i)*20*time.Millisecond)
		}
	}
}
