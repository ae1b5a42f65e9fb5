package node

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/transport"
)

// How often a voter asks how it is to begin.
const (
	initialBackoff = 50 * time.Millisecond // others that start at the same time are there within some of these
	maxBackoff     = time.Second           // an operator waits for a replaced voter no longer than needed
	warnAfter      = 3 * time.Second       // it waits that long before it says so
)

// bootstrap is what a voter with an empty disk has heard of the others.
type bootstrap struct {
	emptyVoters map[uint64]coordination.Member // voters that had an empty disk too when last heard of, with its mark
}

// bootstrapDecision is how a voter with an empty disk is to go on.
type bootstrapDecision struct {
	start          bool                  // now
	initialMembers []coordination.Member // with these, or none: the log comes from those who have it
	reason         string                // it waits
}

// decide decides it. An empty disk may be a new one, or one that was lost: a voter that forgets how it voted could
// vote twice, and what a majority had acknowledged could be gone. So it begins a log only where all voters named in the
// file have told it in this life that they have none, and joins one only where the members' list has this very disk.
func (b *bootstrap) decide(self coordination.Member, configured []config.Voter, infos map[uint64]transport.VoterInfo) bootstrapDecision {
	for number, info := range infos {
		if !info.Started {
			b.emptyVoters[number] = coordination.Member{Number: number, Name: info.Name, Address: info.Address, DiskID: info.DiskID}
		}
	}
	initialMembers := []coordination.Member{self}
	for _, v := range configured {
		if other, ok := b.emptyVoters[v.Number]; ok && v.Number != self.Number {
			initialMembers = append(initialMembers, other)
		}
	}
	slices.SortFunc(initialMembers, func(a, b coordination.Member) int { return int(a.Number) - int(b.Number) })
	all := len(initialMembers) == len(configured)
	mine := func(o coordination.Member) bool { return o.Number == self.Number }
	for _, number := range sortedKeys(infos) {
		info := infos[number]
		if !info.Started {
			continue
		}
		if index := slices.IndexFunc(info.InitialMembers, mine); index >= 0 && info.InitialMembers[index].DiskID == self.DiskID {
			return bootstrapDecision{start: true, initialMembers: info.InitialMembers} // it heard this voter before it began
		}
		index := slices.IndexFunc(info.Status.Members, mine)
		switch {
		case index >= 0 && info.Status.Members[index].DiskID == self.DiskID:
			return bootstrapDecision{start: true}
		case index >= 0 && info.Status.Members[index].DiskID == "":
			return bootstrapDecision{reason: "the voters began without having heard of this disk: " +
				"it comes under a new number that replaces this one"}
		case index >= 0:
			return bootstrapDecision{reason: "the voters know this number with another disk: " +
				"a lost disk comes back under a new number that replaces it"}
		default:
			return bootstrapDecision{reason: "the voters have not taken this number in yet: the leader's file must name it"}
		}
	}
	if all {
		return bootstrapDecision{start: true, initialMembers: initialMembers}
	}
	return bootstrapDecision{reason: "its disk is empty, and not all voters of the file have answered: " +
		"a first start takes all of them"}
}

// run has the voter begin, and then does what the leader has to do outside the log.
func (h *voterHost) run(ctx context.Context) {
	if h.runningVoter() == nil && !h.bootstrapVoter(ctx) {
		return
	}
	h.reconcile(ctx)
}

// bootstrapVoter asks the other voters until it knows how to begin. It tells whether it has begun.
func (h *voterHost) bootstrapVoter(ctx context.Context) bool {
	retry := &backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 1.5, RandomizationFactor: 0.5,
		MaxInterval: maxBackoff}
	retry.Reset()
	b, began, said := bootstrap{map[uint64]coordination.Member{}}, time.Now(), ""
	for {
		cfg := h.node.Config()
		h.mu.Lock()
		self := coordination.Member{Number: h.self.Number, Name: h.self.Name, Address: h.self.Address, DiskID: h.storage.DiskID()}
		h.mu.Unlock()
		decision := b.decide(self, cfg.Voters, h.queryVoters(ctx, cfg, self.Number))
		if decision.start {
			if err := h.startVoter(cfg, decision.initialMembers); err != nil {
				h.node.logger.Error("this voter cannot begin", zap.Error(err))
				return false
			}
			h.node.follower.Reconfigure(h.node.sources(cfg), followerTiming(cfg)) // it had turned to others meanwhile
			h.node.logger.Info("this voter has begun", zap.Uint64("number", self.Number),
				zap.Int("first", len(decision.initialMembers)))
			return true
		}
		if time.Since(began) > warnAfter && said != decision.reason {
			said = decision.reason
			h.node.logger.Warn("this voter waits", zap.Uint64("number", self.Number), zap.String("why", decision.reason))
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// queryVoters asks all other voters of the file at once what they are, and gives those that answer as the file has them.
func (h *voterHost) queryVoters(ctx context.Context, cfg *config.Config, mine uint64) map[uint64]transport.VoterInfo {
	type reply struct {
		voter config.Voter
		is    transport.VoterInfo
		err   error
	}
	replies := make(chan reply, len(cfg.Voters))
	for _, v := range cfg.Voters {
		go func() {
			if v.Number == mine {
				replies <- reply{voter: v, err: coordination.ErrStopped}
				return
			}
			info, err := h.node.client.Info(ctx, v.Address)
			replies <- reply{v, info, err}
		}()
	}
	infos := map[uint64]transport.VoterInfo{}
	for range cfg.Voters {
		if r := <-replies; r.err == nil && r.is.Number == r.voter.Number && r.is.Name == r.voter.Name {
			infos[r.voter.Number] = r.is
		}
	}
	return infos
}
