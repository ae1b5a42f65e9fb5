package observation

import (
	"testing"

	"pgregory.net/rapid"
)

// addressedDigest is a digest on its way to a voter.
type addressedDigest struct {
	voter  int
	digest Digest
}

// countingProcess counts, sends its digests to one of three voters at a time, and is restarted.
type countingProcess struct {
	digest  Digest // the last one sent
	voter   int
	count   uint64 // of this incarnation
	counted uint64 // by all incarnations
	sent    []addressedDigest
}

// proceed draws the next thing that happens to the process.
func (p *countingProcess) proceed(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0: // it switches to another voter
		p.voter = rapid.IntRange(0, 2).Draw(t, "voter")
		p.digest.Session++
	case 1: // it restarts
		p.digest = Digest{Process: "g", Incarnation: p.digest.Incarnation + 1}
		p.count = 0
	default:
		growth := rapid.Uint64Range(0, 5).Draw(t, "growth")
		p.count += growth
		p.counted += growth
		p.digest.Serial++
		p.digest.Counts = map[string]uint64{"n": p.count}
		p.digest.Exact = map[string]uint64{"n": p.count}
		p.sent = append(p.sent, addressedDigest{p.voter, p.digest})
	}
}

// deliver has some of the digests on their way arrive, in any order; some of them are duplicated.
func (p *countingProcess) deliver(t *rapid.T, voters []*Merger) {
	for len(p.sent) > 0 && rapid.Bool().Draw(t, "arrives") {
		i := rapid.IntRange(0, len(p.sent)-1).Draw(t, "which")
		voters[p.sent[i].voter].Add(p.sent[i].digest)
		if rapid.Bool().Draw(t, "once") {
			p.sent = append(p.sent[:i:i], p.sent[i+1:]...)
		}
	}
}

// Digests are lost, duplicated and late: all voters together never have more than was counted.
func TestMerger_votersNeverSumToMoreThanWasCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := []*Merger{NewMerger(), NewMerger(), NewMerger()}
		process := countingProcess{digest: Digest{Process: "g", Incarnation: 1}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			process.proceed(t)
			process.deliver(t, voters)
			sum := uint64(0)
			for _, voter := range voters {
				sum += voter.Sums()["n"]
				for _, exact := range voter.ExactCounts() {
					if exact.Exact["n"] > process.counted {
						t.Fatalf("exact count %d of %d", exact.Exact["n"], process.counted)
					}
				}
			}
			if sum > process.counted {
				t.Fatalf("sum %d of %d", sum, process.counted)
			}
		}
	})
}
