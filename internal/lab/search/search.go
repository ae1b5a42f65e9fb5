// Package search looks for a schedule of troubles that breaks a rule or loses most, and shrinks what it found to the
// least that still does.
package search

import (
	"math/rand/v2"
	"slices"
	"time"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/world"
)

// Found is a schedule and what it does.
type Found struct {
	World  *world.World
	Line   *experiment.Line
	Loss   float64 // net service lost against the same world without troubles
	Plays  int     // that the search took
	Shrunk int     // troubles that were taken out again
}

// Worse orders what was found: a broken rule before any loss.
func (f *Found) Worse(g *Found) bool {
	if (f.Line.Broken > 0) != (g.Line.Broken > 0) {
		return f.Line.Broken > 0
	}
	return f.Loss > g.Loss
}

// Search draws schedules of up to so many troubles and keeps the worst. Tell is told of each that is worse than all
// before it.
func Search(w *world.World, seed uint64, tries, most int, policy string, tell func(*Found)) (*Found, error) {
	chance := rand.New(rand.NewPCG(seed, 77))
	plain := *w
	plain.Troubles = nil
	calm, err := experiment.Play(&plain, policy, seed)
	if err != nil {
		return nil, err
	}
	plays := 1
	play := func(troubles []world.Trouble) (*Found, error) {
		c := *w
		c.Troubles = troubles
		l, err := experiment.Play(&c, policy, seed)
		plays++
		if err != nil {
			return nil, err
		}
		return &Found{World: &c, Line: l, Loss: calm.Net - l.Net, Plays: plays}, nil
	}
	var worst *Found
	for range tries {
		f, err := play(Draw(chance, w, 1+chance.IntN(most)))
		if err != nil {
			return nil, err
		}
		if worst == nil || f.Worse(worst) {
			worst = f
			tell(f)
		}
	}
	if worst == nil {
		return nil, nil
	}
	worst, err = shrink(worst, play)
	if worst != nil {
		worst.Plays = plays
	}
	return worst, err
}

// keepPart is how much of the loss a smaller schedule has to keep.
const keepPart = 0.9

// shrink takes troubles out, one at a time, and then shortens those left, while a broken rule stays broken or nine
// tenths of the loss stay.
func shrink(f *Found, play func([]world.Trouble) (*Found, error)) (*Found, error) {
	still := func(g *Found) bool {
		if f.Line.Broken > 0 {
			return g.Line.Broken > 0
		}
		return g.Loss >= keepPart*f.Loss
	}
	least, out := f, 0
	for again := true; again; {
		again = false
		for i := range least.World.Troubles {
			if len(least.World.Troubles) == 1 {
				break
			}
			g, err := play(slices.Delete(slices.Clone(least.World.Troubles), i, i+1))
			if err != nil {
				return nil, err
			}
			if still(g) {
				least, again = g, true
				out++
				break
			}
		}
	}
	for i := range least.World.Troubles {
		for least.World.Troubles[i].For.D() > time.Second {
			shorter := slices.Clone(least.World.Troubles)
			shorter[i].For /= 2
			g, err := play(shorter)
			if err != nil {
				return nil, err
			}
			if !still(g) {
				break
			}
			least = g
		}
	}
	least.Shrunk = out
	return least, nil
}

// Draw draws a schedule of so many troubles that a world allows.
func Draw(chance *rand.Rand, w *world.World, n int) []world.Trouble {
	var kinds []string
	for _, name := range world.KindNames() {
		k := world.Kinds[name]
		if (!k.Counter || w.Counter.Rate > 0) && (!k.Halls || w.Gateways.Halls > 1) {
			kinds = append(kinds, name)
		}
	}
	length := w.Length.D().Seconds()
	seconds := func(from, to float64) world.Span {
		return world.Span(time.Duration((from+(to-from)*chance.Float64())*1000).Round(1) * time.Millisecond)
	}
	var all []world.Trouble
	for range n {
		t := world.Trouble{Kind: kinds[chance.IntN(len(kinds))], At: seconds(0.1*length, 0.7*length), For: seconds(1, 0.4*length),
			Part: float64(1+chance.IntN(8)) / 10, Size: 1 + float64(chance.IntN(40))/10, Hall: chance.IntN(w.Gateways.Halls),
			Lane: w.Lanes[chance.IntN(len(w.Lanes))].Name, Plan: w.Plans[chance.IntN(len(w.Plans))].Name}
		switch t.Kind {
		case "server_errors":
			t.Size = float64(2+chance.IntN(9)) / 10
		case "answers_lost", "resets":
			t.Part = float64(1+chance.IntN(20)) / 100
		}
		all = append(all, t)
	}
	slices.SortStableFunc(all, func(a, b world.Trouble) int { return int(a.At - b.At) })
	return all
}
