package canary

import (
	"maps"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/counting"
)

// Test is what a canary has shown so far, in the table: it must not be lost with a leader.
type Test struct {
	Next     int               `cbor:"1,keyasint"` // the cell to be looked at next
	Bets     [3]Bet            `cbor:"2,keyasint"` // rejected, let in, beyond
	Sums     map[string]uint64 `cbor:"3,keyasint"` // of the canary's evidence but its cells, over all leaders
	Foretold float64           `cbor:"4,keyasint"` // the part let in that the canary foretold
	Seen     float64           `cbor:"5,keyasint"` // and the one seen at the latest look
	Looks    int               `cbor:"6,keyasint"`
	Left     int               `cbor:"7,keyasint"` // looks in a row that left it
	Asked    uint64            `cbor:"8,keyasint"` // units by the new rule up to the latest look
	In       uint64            `cbor:"9,keyasint"`
}

// take takes a cell. What one rule lets in at one moment and the other at the next is no difference: a key at its limit
// is let in by turns, and only what is left of it over the cell's time counts.
func (x *Test) take(c *counting.Trial, asked, old, next, beyond float64) {
	x.Bets[0].Take((old-next)/asked, float64(c.Rejected)/1000)
	x.Bets[1].Take((next-old)/asked, float64(c.LetIn)/1000)
	x.Bets[2].Take(beyond/asked, float64(c.Beyond)/1000)
}

// foretell is the part that would be let in: what was let in by the old rule, times what the play lets in by the new
// beside what it lets in by the old.
func (x *Test) foretell(old uint64) float64 {
	byOld, byNew := float64(x.Sums[both]+x.Sums[oldOnly]), float64(x.Sums[both]+x.Sums[newOnly])
	asked, in := x.taken(old)
	return min(float64(in)/float64(max(asked, 1))*byNew/max(byOld, 1), 1)
}

// taken are the units of the sample's tasks that were taken under a version, asked and let in.
func (x *Test) taken(version uint64) (asked, in uint64) {
	at := evidence.Name(real, strconv.FormatUint(version, 10))
	return x.Sums[evidence.Name(at, asks)], x.Sums[evidence.Name(at, letIn)]
}

// gather adds to the sums what came since they were last written.
func (x *Test) gather(mark string, base, sums map[string]uint64) {
	prefix := evidence.Name("canary", mark, "")
	all := maps.Clone(x.Sums)
	if all == nil {
		all = map[string]uint64{}
	}
	cells := evidence.Name(inCell, "")
	for name, n := range sums {
		what, ok := strings.CutPrefix(name, prefix)
		if ok && !strings.HasPrefix(what, cells) && n > base[name] {
			all[what] += n - base[name]
		}
	}
	x.Sums = all
}

func decode(text []byte) (x Test, err error) {
	if len(text) > 0 {
		err = cbor.Unmarshal(text, &x)
	}
	return x, err
}

func (x *Test) encode() []byte { return counting.Marshal(x) }
