package search

import (
	"testing"

	"harrierhoist/internal/lab/experiment"
	"harrierhoist/internal/lab/world"
)

// found plays a schedule and shrinks it.
func found(t *testing.T, w *world.World, troubles []world.Trouble) (*Found, int) {
	t.Helper()
	calm, err := experiment.Play(w, "module", 1)
	if err != nil {
		t.Fatal(err)
	}
	plays := 0
	play := func(troubles []world.Trouble) (*Found, error) {
		plays++
		c := *w
		c.Troubles = troubles
		l, err := experiment.Play(&c, "module", 1)
		return &Found{World: &c, Line: l, Loss: calm.Net - l.Net}, err
	}
	f, err := play(troubles)
	if err != nil {
		t.Fatal(err)
	}
	if f, err = shrink(f, play); err != nil {
		t.Fatal(err)
	}
	return f, plays
}
