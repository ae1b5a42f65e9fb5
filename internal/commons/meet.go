package commons

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/link"
)

// How often a voter asks how it is to begin.
const (
	meetFirst = 50 * time.Millisecond // others that start at the same time are there within some of these
	meetMost  = time.Second           // an operator waits for a replaced voter no longer than needed
	sayAfter  = 3 * time.Second       // it waits that long before it says so
)

// meeting is what a voter with an empty disk has heard of the others.
type meeting struct {
	empty map[uint64]cluster.Member // voters that had an empty disk too when last heard of, with its mark
}

// verdict is how a voter with an empty disk is to go on.
type verdict struct {
	begin bool             // now
	first []cluster.Member // with these, or none: the log comes from those who have it
	why   string           // it waits
}

// judge decides it. An empty disk may be a new one, or one that was lost: a voter that forgets how it voted could
// vote twice, and what a majority had acknowledged could be gone. So it begins a log only where all voters named in the
// file have told it in this life that they have none, and joins one only where the members' list has this very disk.
func (m *meeting) judge(self cluster.Member, named []charter.Voter, heard map[uint64]link.Standing) verdict {
	for number, s := range heard {
		if !s.Begun {
			m.empty[number] = cluster.Member{Number: number, Name: s.Name, Address: s.Address, Disk: s.Mark}
		}
	}
	first := []cluster.Member{self}
	for _, v := range named {
		if other, ok := m.empty[v.Number]; ok && v.Number != self.Number {
			first = append(first, other)
		}
	}
	slices.SortFunc(first, func(a, b cluster.Member) int { return int(a.Number) - int(b.Number) })
	all := len(first) == len(named)
	mine := func(o cluster.Member) bool { return o.Number == self.Number }
	for _, number := range sortedKeys(heard) {
		s := heard[number]
		if !s.Begun {
			continue
		}
		if at := slices.IndexFunc(s.First, mine); at >= 0 && s.First[at].Disk == self.Disk {
			return verdict{begin: true, first: s.First} // it heard this voter before it began
		}
		at := slices.IndexFunc(s.Status.Members, mine)
		switch {
		case at >= 0 && s.Status.Members[at].Disk == self.Disk:
			return verdict{begin: true}
		case at >= 0 && s.Status.Members[at].Disk == "":
			return verdict{why: "the voters began without having heard of this disk: " +
				"it comes under a new number that replaces this one"}
		case at >= 0:
			return verdict{why: "the voters know this number with another disk: " +
				"a lost disk comes back under a new number that replaces it"}
		default:
			return verdict{why: "the voters have not taken this number in yet: the leader's file must name it"}
		}
	}
	if all {
		return verdict{begin: true, first: first}
	}
	return verdict{why: "its disk is empty, and not all voters of the file have answered: " +
		"a first start takes all of them"}
}

// run has the voter begin, and then does what the leader has to do outside the log.
func (s *seat) run(ctx context.Context) {
	if s.running() == nil && !s.meet(ctx) {
		return
	}
	s.steward(ctx)
}

// meet asks the other voters until it knows how to begin. It tells whether it has begun.
func (s *seat) meet(ctx context.Context) bool {
	between := &backoff.ExponentialBackOff{InitialInterval: meetFirst, Multiplier: 1.5, RandomizationFactor: 0.5,
		MaxInterval: meetMost}
	between.Reset()
	m, began, said := meeting{map[uint64]cluster.Member{}}, time.Now(), ""
	for {
		c := s.process.Charter()
		s.mu.Lock()
		self := cluster.Member{Number: s.self.Number, Name: s.self.Name, Address: s.self.Address, Disk: s.disk.Mark()}
		s.mu.Unlock()
		v := m.judge(self, c.Voters, s.ask(ctx, c, self.Number))
		if v.begin {
			if err := s.open(c, v.first); err != nil {
				s.process.log.Error("this voter cannot begin", zap.Error(err))
				return false
			}
			s.process.follower.Move(s.process.sources(c), timing(c)) // it had turned to others meanwhile
			s.process.log.Info("this voter has begun", zap.Uint64("number", self.Number),
				zap.Int("first", len(v.first)))
			return true
		}
		if time.Since(began) > sayAfter && said != v.why {
			said = v.why
			s.process.log.Warn("this voter waits", zap.Uint64("number", self.Number), zap.String("why", v.why))
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(between.NextBackOff()):
		}
	}
}

// ask asks all other voters of the file at once what they are, and gives those that answer as the file has them.
func (s *seat) ask(ctx context.Context, c *charter.Charter, mine uint64) map[uint64]link.Standing {
	type reply struct {
		voter charter.Voter
		is    link.Standing
		err   error
	}
	replies := make(chan reply, len(c.Voters))
	for _, v := range c.Voters {
		go func() {
			if v.Number == mine {
				replies <- reply{voter: v, err: cluster.ErrStopped}
				return
			}
			is, err := s.process.client.Standing(ctx, v.Address)
			replies <- reply{v, is, err}
		}()
	}
	heard := map[uint64]link.Standing{}
	for range c.Voters {
		if r := <-replies; r.err == nil && r.is.Number == r.voter.Number && r.is.Name == r.voter.Name {
			heard[r.voter.Number] = r.is
		}
	}
	return heard
}
