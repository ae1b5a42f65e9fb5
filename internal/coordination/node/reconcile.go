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
	reconcileInterval = 500 * time.Millisecond // between two comparisons of the members with the file
	reconcileTimeout  = 3 * time.Second        // after which a change without a majority is decided again
	groupIDBytes      = 16
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
	nextNumber uint64 // of its next command; it grows by one with each
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

// reconcile writes the group ID where the lease confirms that there is none, and takes the next
// step towards the members that the file names.
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
		change := nextMemberChange(status.Members, configured)
		if change.kind == keepMembers {
			continue
		}
		// The old voter is removed only when the new one answers, with an empty disk: until then
		// the old one may still come back.
		info, err := r.client.Info(ctx, configured.Address)
		isConfigured := info.Number == configured.Number && info.Name == configured.Name
		if err != nil || info.Started || !isConfigured {
			continue
		}
		switch {
		case change.kind == addMember:
			r.addMember(ctx, running, info)
		case change.replaced == status.Number:
			r.logger.Info("coordination: leader is to be replaced, transferring leadership")
			running.TransferLeadership(ctx)
		default:
			r.removeMember(ctx, running, change.replaced, configured.Number)
		}
		return // one change at a time
	}
}

// addMember adds a voter that answered; a change that is rejected is made again at the next turn.
func (r *reconciler) addMember(ctx context.Context, running *voter.Voter, info transport.VoterInfo) {
	member := coordination.Member{Number: info.Number, Name: info.Name, Address: info.Address, DiskID: info.DiskID}
	fields := []zap.Field{zap.Uint64("number", member.Number), zap.String("name", member.Name)}
	if err := running.ChangeMembership(ctx, member, false); err != nil {
		r.logger.Info("coordination: voter not added yet", append(fields, zap.Error(err))...)
		return
	}
	r.logger.Info("coordination: voter added", fields...)
}

// removeMember removes a voter that another one replaces.
func (r *reconciler) removeMember(ctx context.Context, running *voter.Voter, number, replacement uint64) {
	fields := []zap.Field{zap.Uint64("number", number), zap.Uint64("replaced_by", replacement)}
	if err := running.ChangeMembership(ctx, coordination.Member{Number: number}, true); err != nil {
		r.logger.Info("coordination: voter not removed yet", append(fields, zap.Error(err))...)
		return
	}
	r.logger.Info("coordination: voter removed", fields...)
	r.host.sender.RemoveVoter(number)
}

// memberChangeKind is what the leader does next for a voter that the file names.
type memberChangeKind uint8

const (
	keepMembers    memberChangeKind = iota // the voter is a member, or was one in the past
	removeReplaced                         // the member that it replaces is removed first
	addMember                              // the voter is added
)

// memberChange is the next step to a voter that the file names.
type memberChange struct {
	kind     memberChangeKind
	replaced uint64 // number of the member to remove
}

// nextMemberChange decides the next step from the members to a voter that the file names. The
// member that it replaces is removed before it is added: while dead, that one counts among those of
// whom a majority must answer.
func nextMemberChange(members []coordination.Member, configured config.Voter) memberChange {
	highest := uint64(0)
	replaced := uint64(0)
	for _, member := range members {
		highest = max(highest, member.Number)
		if member.Number == configured.Number {
			return memberChange{}
		}
		if member.Number == configured.ReplacesNumber {
			replaced = member.Number
		}
	}
	switch {
	case replaced != 0:
		return memberChange{kind: removeReplaced, replaced: replaced}
	case configured.Number > highest:
		return memberChange{kind: addMember}
	}
	return memberChange{} // a lower number was given in the past, and the file is old
}
