package observation

import (
	"testing"

	"pgregory.net/rapid"
)

// A process counts, tells one of three voters at a time, and is restarted; its digests are lost, doubled and late. All
// voters together never have more than was counted, and one that hears all of a session has what grew in it.
func TestMerger_votersNeverSumToMoreThanWasCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			to int
			d  Digest
		}
		mergers := []*Merger{NewMerger(), NewMerger(), NewMerger()}
		var way []sent
		counted, n, voter := uint64(0), uint64(0), 0
		digest := Digest{Process: "g", Incarnation: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0: // turns to another voter
				voter, digest.Session = rapid.IntRange(0, 2).Draw(t, "to"), digest.Session+1
			case 1: // a new life
				digest, n = Digest{Process: "g", Incarnation: digest.Incarnation + 1}, 0
			default:
				grown := rapid.Uint64Range(0, 5).Draw(t, "grown")
				n, counted, digest.Serial = n+grown, counted+grown, digest.Serial+1
				digest.Counts, digest.Exact = map[string]uint64{"n": n}, map[string]uint64{"n": n}
				way = append(way, sent{voter, digest})
			}
			for len(way) > 0 && rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(way)-1).Draw(t, "which")
				mergers[way[i].to].Add(way[i].d)
				if rapid.Bool().Draw(t, "once") {
					way = append(way[:i:i], way[i+1:]...)
				}
			}
			sum := uint64(0)
			for _, m := range mergers {
				sum += m.Sums()["n"]
				for _, e := range m.ExactCounts() {
					if e.Exact["n"] > counted {
						t.Fatalf("%d exact of %d", e.Exact["n"], counted)
					}
				}
			}
			if sum > counted {
				t.Fatalf("%d of %d counted", sum, counted)
			}
		}
	})
}
