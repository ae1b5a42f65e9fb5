package node

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/coordination/voter"
)

// How the leader looks after the group.
const (
	reconcileInterval = 500 * time.Millisecond // a replacement is a matter of seconds
	reconcileTimeout  = 3 * time.Second        // a change that no majority accepts by then is looked at anew
	groupIDBytes      = 16                     // never drawn twice
)

// proposerName names the reconciler in the commands that it writes. It is stored in the log.
const proposerName = "steward"

// reconciler does at the leader what is outside the controllers: it writes the group ID, and
// changes the members to those that the file names.
type reconciler struct {
	host       *voterHost
	client     *transport.Client
	follower   *follower.Follower
	config     func() *config.Config // in force
	logger     *zap.Logger
	nextNumber uint64 // of its commands
}

// run works until the context ends.
func (r *reconciler) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconcileInterval):
		}
		running := r.host.runningVoter()
		if status := running.Status(); status.Leader != 0 && status.Leader == status.Number {
			r.reconcile(ctx, running, status)
		}
	}
}

func (r *reconciler) reconcile(ctx context.Context, running *voter.Voter, status coordination.Status) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	if group := r.follower.Cached(follower.GroupTable); group.Epoch == 0 && group.LeaseEnd > r.follower.Now() {
		r.writeGroupID(ctx, running)
	}
	r.reconcileMembers(ctx, running, status)
}

// writeGroupID writes a new group ID. Where it is not written, the next turn sees it.
func (r *reconciler) writeGroupID(ctx context.Context, running *voter.Voter) {
	groupID := make([]byte, groupIDBytes)
	_, _ = rand.Read(groupID) // never fails
	_, _ = running.Propose(ctx, statemachine.Command{
		Kind:     statemachine.Write,
		Proposer: fmt.Sprintf("%s/%d/%s", r.config().Process.Name, r.host.incarnation, proposerName),
		Number:   r.nextNumber, Table: follower.GroupTable, Value: groupID,
	})
	r.nextNumber++
}

// reconcileMembers takes the next step from the present members to those that the file names.
func (r *reconciler) reconcileMembers(ctx context.Context, running *voter.Voter, status coordination.Status) {
	for _, configured := range r.config().Voters {
		remove, add := nextMemberChange(status.Members, configured)
		if !add && remove == 0 {
			continue
		}
		// The old one goes only when the new one is there, its disk empty: until then the old one
		// may yet come back.
		info, err := r.client.Info(ctx, configured.Address)
		isConfigured := info.Number == configured.Number && info.Name == configured.Name
		if err != nil || info.Started || !isConfigured {
			continue
		}
		switch remove {
		case 0:
			r.addMember(ctx, running, info)
		case status.Number:
			r.logger.Info("coordination: leader is to be replaced, transferring leadership")
			running.TransferLeadership(ctx)
		default:
			r.removeMember(ctx, running, remove, configured.Number)
		}
		return // one change at a time
	}
}

func (r *reconciler) addMember(ctx context.Context, running *voter.Voter, info transport.VoterInfo) {
	member := coordination.Member{Number: info.Number, Name: info.Name, Address: info.Address, DiskID: info.DiskID}
	fields := []zap.Field{zap.Uint64("number", member.Number), zap.String("name", member.Name)}
	if err := running.ChangeMembership(ctx, member, false); err != nil {
		r.logger.Info("coordination: voter not added yet", append(fields, zap.Error(err))...)
		return
	}
	r.logger.Info("coordination: voter added", fields...)
}

func (r *reconciler) removeMember(ctx context.Context, running *voter.Voter, number, replacement uint64) {
	fields := []zap.Field{zap.Uint64("number", number), zap.Uint64("replaced_by", replacement)}
	if err := running.ChangeMembership(ctx, coordination.Member{Number: number}, true); err != nil {
		r.logger.Info("coordination: voter not removed yet", append(fields, zap.Error(err))...)
		return
	}
	r.logger.Info("coordination: voter removed", fields...)
	r.host.sender.RemoveVoter(number)
}

// nextMemberChange is the next step to a voter that the file names. First the one that it replaces
// is removed: while that one is dead, it counts among those of whom a majority must answer, and a
// fifth in place of a fourth would need one more of them.
func nextMemberChange(members []coordination.Member, configured config.Voter) (remove uint64, add bool) {
	highest := uint64(0)
	for _, member := range members {
		highest = max(highest, member.Number)
		if member.Number == configured.Number {
			return 0, false
		}
		if member.Number == configured.ReplacesNumber {
			remove = member.Number
		}
	}
	// A number below the highest is one of the past, in an old file.
	return remove, remove == 0 && configured.Number > highest
}
