package node

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/statemachine"
)

// How the leader looks after the members.
const (
	reconcileInterval = 500 * time.Millisecond // a replacement is a matter of seconds
	reconcileTimeout  = 3 * time.Second        // a change that no majority takes by then is looked at anew
	groupIDBytes      = 16                     // of the group's mark: never drawn twice
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// reconcile does, at the leader, what stands outside the deciders: it gives the group its mark, and makes the members
// those that the file names.
func (h *voterHost) reconcile(ctx context.Context) {
	for n := uint64(1); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconcileInterval):
		}
		running := h.runningVoter()
		status := running.Status()
		if status.Leader == 0 || status.Leader != status.Number {
			continue
		}
		within, cancel := context.WithTimeout(ctx, reconcileTimeout)
		if held := h.node.follower.Cached(follower.GroupTable); held.Epoch == 0 && held.LeaseEnd > h.node.follower.Now() {
			groupID := make([]byte, groupIDBytes)
			_, _ = rand.Read(groupID) // never fails
			by := fmt.Sprintf("%s/%d/steward", h.node.Config().Process.Name, h.incarnation)
			_, _ = running.Propose(within, statemachine.Command{Kind: statemachine.Write, Proposer: by, Number: n, Table: follower.GroupTable,
				Value: groupID}) // if it is not written, the next look sees it
			n++
		}
		h.reconcileMembers(within, status)
		cancel()
	}
}

// reconcileMembers takes the next step from the members that are to those that the file names.
func (h *voterHost) reconcileMembers(ctx context.Context, status coordination.Status) {
	cfg := h.node.Config()
	running, logger := h.runningVoter(), h.node.logger
	for _, configured := range cfg.Voters {
		remove, add := nextMemberChange(status.Members, configured)
		if !add && remove == 0 {
			continue
		}
		// The old one goes only when the new one is there, its disk empty: until then the old one may yet come back.
		info, err := h.node.client.Info(ctx, configured.Address)
		if err != nil || info.Started || info.Number != configured.Number || info.Name != configured.Name {
			continue
		}
		if remove == status.Number {
			logger.Info("this voter is to be replaced: it gives the lead away")
			running.TransferLeadership(ctx)
			return
		}
		if remove != 0 {
			err = running.ChangeMembership(ctx, coordination.Member{Number: remove}, true)
			logger.Info("a voter is taken out", zap.Uint64("number", remove), zap.Uint64("replaced by", configured.Number),
				zap.Error(err))
			if err == nil {
				h.sender.RemoveVoter(remove)
			}
			return
		}
		m := coordination.Member{Number: configured.Number, Name: info.Name, Address: info.Address, DiskID: info.DiskID}
		err = running.ChangeMembership(ctx, m, false)
		logger.Info("a voter is taken in", zap.Uint64("number", m.Number), zap.String("name", m.Name), zap.Error(err))
		return
	}
}

// nextMemberChange is the next step to a voter that the file names. First the one that it replaces goes: while it is dead, it
// counts among those of whom a majority must answer, and a fifth in place of a fourth would need one more of them.
func nextMemberChange(members []coordination.Member, configured config.Voter) (remove uint64, add bool) {
	top := uint64(0)
	for _, m := range members {
		top = max(top, m.Number)
		if m.Number == configured.Number {
			return 0, false
		}
		if m.Number == configured.ReplacesNumber {
			remove = m.Number
		}
	}
	// A number below is one of the past, in an old file.
	return remove, remove == 0 && configured.Number > top
}
