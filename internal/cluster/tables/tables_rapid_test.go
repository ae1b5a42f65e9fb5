package tables

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawCommand(t *rapid.T) Command {
	c := Command{Kind: rapid.SampledFrom([]Kind{Write, Raise}).Draw(t, "kind"),
		By: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "by")), Number: rapid.Uint64Range(1, 6).Draw(t, "number"),
		Table: rapid.SampledFrom([]string{"plan", "rules"}).Draw(t, "table")}
	if c.Kind == Write {
		c.Epoch, c.Value = rapid.Uint64Range(0, 4).Draw(t, "epoch"), []byte(fmt.Sprint(c.By, c.Number))
	} else {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		c.Totals = map[string]uint64{name: rapid.Uint64Range(0, 9).Draw(t, "n")}
	}
	return c
}

// Whatever comes, in whatever order, doubled, with restarts from snapshots between: a table's epoch grows by one with
// each write and with nothing else, totals only grow, of each proposer the numbers applied grow, and a state that was
// restored says the same as one that never was.
func TestRulesOfTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, other := New(), New()
		last, was := map[string]uint64{}, map[string]Command{}
		for i, c := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands") {
			key := fmt.Sprint(c.By, c.Number)
			if old, ok := was[key]; ok {
				c = old // a number names one command
			}
			was[key] = c
			before, totals := s.Table(c.Table), s.Totals(c.Table)
			r := s.Apply(uint64(i+1), c)
			after := s.Table(c.Table)
			fresh := c.Number > last[c.By]
			wrote := fresh && c.Kind == Write && before.Epoch == c.Epoch
			if (after.Epoch == before.Epoch+1) != wrote || !wrote && after.Epoch != before.Epoch {
				t.Fatalf("%+v: epoch %d, then %d", c, before.Epoch, after.Epoch)
			}
			if wrote && (!r.Applied || !bytes.Equal(after.Value, c.Value) || r.Epoch != after.Epoch) {
				t.Fatalf("%+v: %+v, %+v", c, r, after)
			}
			for name, n := range totals {
				if s.Totals(c.Table)[name] < n {
					t.Fatalf("total %s fell", name)
				}
			}
			last[c.By] = max(last[c.By], c.Number)
			if rapid.Bool().Draw(t, "restart") {
				picture, err := other.Snapshot()
				if err != nil || other.Restore(picture) != nil {
					t.Fatal(err)
				}
			}
			if o := other.Apply(uint64(i+1), c); o != r {
				t.Fatalf("%+v, but restored %+v", r, o)
			}
		}
		a, _ := s.Snapshot()
		b, _ := other.Snapshot()
		if !bytes.Equal(a, b) {
			t.Fatal("states differ")
		}
	})
}
