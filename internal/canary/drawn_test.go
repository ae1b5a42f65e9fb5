package canary

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/counting"
)

// lead is a decider of drawn terms; several of them, one after the other, lead.
func lead(terms *counting.Terms, origin time.Duration) *Decider {
	return &Decider{Terms: func() *counting.Terms { return terms }, Lease: 2 * time.Second, Wait: time.Second, Origin: origin}
}

// Whatever evidence comes, whoever leads and whatever the file says meanwhile: a step never changes at once what holds,
// names no edge that some process may not hear of in time, takes nothing back before its edge, and tries nothing that
// was refused. The same events give the same value.
func TestStepsKeepTheirDistance(t *testing.T) {
	activated, undone := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		terms := &counting.Terms{Try: 1, Rules: []counting.Rule{limits(1), limits(2)}, Canary: trial()}
		terms.Rules[1].Version = 2
		d, twin := lead(terms, time.Hour), lead(terms, time.Hour)
		now, since, entry, sums := time.Minute, time.Duration(0), tables.Entry{}, map[string]uint64{}
		harm := rapid.SampledFrom([]uint64{0, 0, 900}).Draw(t, "harm")
		for range rapid.IntRange(60, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond
			was, err := counting.Decode(entry.Value)
			if err != nil {
				t.Fatal(err)
			}
			switch rapid.IntRange(0, 80).Draw(t, "what") {
			case 0: // another leads, by another monotonic clock
				shift := time.Duration(rapid.IntRange(0, 100).Draw(t, "shift")) * time.Minute
				d, twin = lead(terms, d.Origin+now-shift), lead(terms, d.Origin+now-shift)
				now, since, sums = shift, shift, map[string]uint64{}
			case 1:
				terms.Try = rapid.Uint64Range(0, 2).Draw(t, "try")
			}
			if (was.Phase == counting.Named) == (harm == 0) && rapid.IntRange(0, 20).Draw(t, "turn") == 0 {
				harm = rapid.SampledFrom([]uint64{0, 0, 900}).Draw(t, "harm")
			}
			for i := range Cells {
				sums[cellName(Mark(was.Seed), i, asks)] += 1000
				sums[cellName(Mark(was.Seed), i, oldOnly)] += harm
			}
			for v := range uint64(3) {
				at := fmt.Sprintf("canary\x1f%s\x1freal\x1f%d\x1f", Mark(was.Seed), v)
				sums[at+asks] += 300_000
				sums[at+letIn] += 300_000 - 200*harm
			}
			seen := cluster.Seen{Sums: maps.Clone(sums), Since: since, Held: func(string) tables.Entry { return entry }}
			value, write := d.Decide(now, seen)
			again, writeToo := twin.Decide(now, seen)
			if write != writeToo || !bytes.Equal(value, again) {
				t.Fatal("the same events, another value")
			}
			if !write {
				continue
			}
			next, _ := counting.Decode(value)
			at := d.Origin + now
			if was.InForce(at) != next.InForce(at) {
				t.Fatalf("%d holds, and at once %d: %+v to %+v", was.InForce(at), next.InForce(at), was, next)
			}
			if moved := next.Phase >= counting.Named && next.Edge != was.Edge; moved && next.Edge < at+4*time.Second {
				t.Fatalf("edge %v only ahead", next.Edge-at)
			} else if moved && was.Phase >= counting.Named && at < was.Edge {
				t.Fatal("taken back before its edge")
			}
			if next.Phase == counting.Canary && slices.Contains(was.Refused, next.To) {
				t.Fatalf("%d was refused, and is tried again", next.To)
			}
			if next.Phase == counting.Named && was.Phase == counting.Canary {
				activated++
			}
			if next.Phase == counting.Back && len(next.Refused) > len(was.Refused) {
				undone++
			}
			entry = tables.Entry{Epoch: entry.Epoch + 1, Value: value}
		}
	})
	t.Logf("%d activations, %d undone", activated, undone)
	if activated == 0 {
		t.Error("nothing was ever activated")
	}
}
