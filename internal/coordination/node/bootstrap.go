package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/transport"
)

// How often a voter with an empty disk asks the others how it is to start.
const (
	initialBackoff = 50 * time.Millisecond // first pause
	backoffGrowth  = 1.5                   // factor from one pause to the next
	backoffSpread  = 0.5                   // part of a pause by which the drawn one may differ
	maxBackoff     = time.Second           // longest pause
	warnAfter      = 3 * time.Second       // after which it logs why it waits
)

// bootstrap is what a voter with an empty disk has learnt of the others.
type bootstrap struct {
	// emptyVoters are the voters whose disks were empty too when they last answered, by number.
	emptyVoters map[uint64]coordination.Member
}

// bootstrapDecision is how a voter with an empty disk is to go on.
type bootstrapDecision struct {
	start          bool                  // now, else it waits
	initialMembers []coordination.Member // that start the log; none: the log comes from another voter
	reason         string                // why it waits
}

// decide decides how a voter with an empty disk goes on. The disk may have been lost with votes
// that the voter gave. So it starts a log only where all voters of the file have reported an empty
// disk in this incarnation, and joins one only where the members' list has this very disk.
func (b *bootstrap) decide(self coordination.Member, configured []config.Voter,
	infos map[uint64]transport.VoterInfo,
) bootstrapDecision {
	for number, info := range infos {
		if !info.Started {
			b.emptyVoters[number] = coordination.Member{
				Number: number, Name: info.Name, Address: info.Address, DiskID: info.DiskID,
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(infos)) {
		if info := infos[number]; info.Started {
			return decideByStarted(self, info)
		}
	}
	return b.decideFirstStart(self, configured)
}

// decideFirstStart decides how to go on where no other voter that answered has started.
func (b *bootstrap) decideFirstStart(self coordination.Member, configured []config.Voter) bootstrapDecision {
	initialMembers := []coordination.Member{self}
	for _, voter := range configured {
		if other, ok := b.emptyVoters[voter.Number]; ok && voter.Number != self.Number {
			initialMembers = append(initialMembers, other)
		}
	}
	if len(initialMembers) != len(configured) {
		return bootstrapDecision{reason: "its disk is empty, and not all voters of the file have answered: " +
			"a first start takes all of them"}
	}
	slices.SortFunc(initialMembers, func(a, b coordination.Member) int { return cmp.Compare(a.Number, b.Number) })
	return bootstrapDecision{start: true, initialMembers: initialMembers}
}

// decideByStarted decides how to go on where another voter has started: this one starts only if the
// other knows its very disk.
func decideByStarted(self coordination.Member, other transport.VoterInfo) bootstrapDecision {
	initial, ok := memberOf(other.InitialMembers, self.Number)
	if ok && initial.DiskID == self.DiskID { // the other had this voter's answer when it started
		return bootstrapDecision{start: true, initialMembers: other.InitialMembers}
	}
	switch member, ok := memberOf(other.Status.Members, self.Number); {
	case !ok:
		return bootstrapDecision{reason: "the voters have not added this number yet: the leader's file must name it"}
	case member.DiskID == self.DiskID:
		return bootstrapDecision{start: true}
	case member.DiskID == "":
		return bootstrapDecision{reason: "the voters started without an answer from this disk: " +
			"it joins under a new number that replaces this one"}
	default:
		return bootstrapDecision{reason: "the voters know this number with another disk: " +
			"a lost disk comes back under a new number that replaces it"}
	}
}

// memberOf returns the member of a number, and whether there is one.
func memberOf(members []coordination.Member, number uint64) (coordination.Member, bool) {
	index := slices.IndexFunc(members, func(member coordination.Member) bool { return member.Number == number })
	if index < 0 {
		return coordination.Member{}, false
	}
	return members[index], true
}

// bootstrapper starts a voter whose disk is empty.
type bootstrapper struct {
	host    *voterHost
	client  *transport.Client
	config  func() *config.Config // in force
	started func(*config.Config)  // called once the voter has started
	logger  *zap.Logger
}

// run asks the other voters until it knows how to start the voter. It reports whether the voter has
// started.
func (b *bootstrapper) run(ctx context.Context) bool {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     initialBackoff,
		Multiplier:          backoffGrowth,
		RandomizationFactor: backoffSpread,
		MaxInterval:         maxBackoff,
	}
	retry.Reset()
	known := bootstrap{map[uint64]coordination.Member{}}
	began := time.Now()
	logged := ""
	for {
		cfg := b.config()
		self := b.host.member()
		decision := known.decide(self, cfg.Voters, b.queryVoters(ctx, cfg, self.Number))
		if decision.start {
			if err := b.host.startVoter(ctx, cfg, decision.initialMembers); err != nil {
				b.logger.Error("coordination: voter failed to start", zap.Error(err))
				return false
			}
			b.started(cfg)
			b.logger.Info("coordination: voter started", zap.Uint64("number", self.Number),
				zap.Int("initial_members", len(decision.initialMembers)))
			return true
		}
		if time.Since(began) > warnAfter && logged != decision.reason {
			logged = decision.reason
			b.logger.Warn("coordination: voter waits to start", zap.Uint64("number", self.Number),
				zap.String("reason", decision.reason))
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// queryVoters asks all other voters of the file at once who they are, and returns by number those
// that answer under the number and name that the file gives them.
func (b *bootstrapper) queryVoters(
	ctx context.Context,
	cfg *config.Config,
	self uint64,
) map[uint64]transport.VoterInfo {
	type answer struct {
		voter config.Voter
		info  transport.VoterInfo
		err   error
	}
	answers := make(chan answer, len(cfg.Voters))
	asked := 0
	for _, voter := range cfg.Voters {
		if voter.Number == self {
			continue
		}
		asked++
		go func() {
			info, err := b.client.Info(ctx, voter.Address)
			answers <- answer{voter, info, err}
		}()
	}
	infos := map[uint64]transport.VoterInfo{}
	for range asked {
		got := <-answers
		if got.err == nil && got.info.Number == got.voter.Number && got.info.Name == got.voter.Name {
			infos[got.voter.Number] = got.info
		}
	}
	return infos
}
