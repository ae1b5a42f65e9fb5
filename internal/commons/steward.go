package commons

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/follow"
	"harrierhoist/internal/cluster/tables"
)

// How the leader looks after the members.
const (
	stewardEvery  = 500 * time.Millisecond // a replacement is a matter of seconds
	stewardWithin = 3 * time.Second        // a change that no majority takes by then is looked at anew
	markBytes     = 16                     // of the group's mark: never drawn twice
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// steward does, at the leader, what stands outside the deciders: it gives the group its mark, and makes the members
// those that the file names.
func (s *seat) steward(ctx context.Context) {
	for n := uint64(1); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(stewardEvery):
		}
		v := s.running()
		is := v.Status()
		if is.Leader == 0 || is.Leader != is.Number {
			continue
		}
		within, cancel := context.WithTimeout(ctx, stewardWithin)
		if h := s.process.follower.Held(follow.GroupTable); h.Epoch == 0 && h.Until > s.process.follower.Now() {
			mark := make([]byte, markBytes)
			_, _ = rand.Read(mark) // never fails
			by := fmt.Sprintf("%s/%d/steward", s.process.Charter().Process.Name, s.life)
			_, _ = v.Propose(within, tables.Command{Kind: tables.Write, By: by, Number: n, Table: follow.GroupTable,
				Value: mark}) // if it is not written, the next look sees it
			n++
		}
		s.tend(within, is)
		cancel()
	}
}

// tend takes the next step from the members that are to those that the file names.
func (s *seat) tend(ctx context.Context, is cluster.Status) {
	c := s.process.Charter()
	v, log := s.running(), s.process.log
	for _, named := range c.Voters {
		remove, add := next(is.Members, named)
		if !add && remove == 0 {
			continue
		}
		// The old one goes only when the new one is there, its disk empty: until then the old one may yet come back.
		stands, err := s.process.client.Standing(ctx, named.Address)
		if err != nil || stands.Begun || stands.Number != named.Number || stands.Name != named.Name {
			continue
		}
		if remove == is.Number {
			log.Info("this voter is to be replaced: it gives the lead away")
			v.Resign(ctx)
			return
		}
		if remove != 0 {
			err = v.Change(ctx, cluster.Member{Number: remove}, true)
			log.Info("a voter is taken out", zap.Uint64("number", remove), zap.Uint64("replaced by", named.Number),
				zap.Error(err))
			if err == nil {
				s.post.Forget(remove)
			}
			return
		}
		m := cluster.Member{Number: named.Number, Name: stands.Name, Address: stands.Address, Disk: stands.Mark}
		err = v.Change(ctx, m, false)
		log.Info("a voter is taken in", zap.Uint64("number", m.Number), zap.String("name", m.Name), zap.Error(err))
		return
	}
}

// next is the next step to a voter that the file names. First the one that it replaces goes: while it is dead, it
// counts among those of whom a majority must answer, and a fifth in place of a fourth would need one more of them.
func next(members []cluster.Member, named charter.Voter) (remove uint64, add bool) {
	top := uint64(0)
	for _, m := range members {
		top = max(top, m.Number)
		if m.Number == named.Number {
			return 0, false
		}
		if m.Number == named.Replaces {
			remove = m.Number
		}
	}
	// A number below is one of the past, in an old file.
	return remove, remove == 0 && named.Number > top
}
