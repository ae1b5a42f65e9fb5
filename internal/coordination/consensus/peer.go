package consensus

import (
	"fmt"

	"harrierhoist/internal/coordination"
)

// numberLimit is above every member's number; the library keeps the highest numbers for itself.
const numberLimit = 1 << 32

// peer is another voter as it last identified itself.
type peer struct {
	coordination.Member
	incarnation Incarnation
}

// checkSender decides whether a message of another voter is rejected: its sender is not who it
// claims to be, is of another installation, was removed, or has lost votes that it gave, as its
// disk was emptied, copied or restored. Such a member has to come back under a new number.
func (n *Node) checkSender(received envelope) error {
	from := received.From.Number
	if from == 0 || from >= numberLimit || from == n.self.Number {
		return fmt.Errorf("%w: it claims to be number %d", ErrRejected, from)
	}
	bothInCluster := received.ClusterID != 0 && n.membership.ClusterID != 0
	if bothInCluster && received.ClusterID != n.membership.ClusterID {
		return fmt.Errorf("%w: number %d is of another log", ErrRejected, from)
	}
	if n.membership.wasRemoved(from) {
		return fmt.Errorf("%w: number %d was removed", ErrRejected, from)
	}
	if err := n.checkDisk(received); err != nil {
		return err
	}
	n.peers[from] = peer{received.From, received.Incarnation}
	return nil
}

// checkDisk compares the sender's disk and incarnation with those of the member list and of its
// earlier messages.
func (n *Node) checkDisk(received envelope) error {
	from := received.From.Number
	previous := n.peers[from]
	member, _ := n.membership.find(from)
	isOtherDisk := func(known string) bool { return known != "" && known != received.From.DiskID }
	switch {
	case isOtherDisk(member.DiskID), isOtherDisk(previous.DiskID):
		return fmt.Errorf("%w: number %d came with another disk", ErrRejected, from)
	case received.Incarnation.Count < previous.incarnation.Count:
		return fmt.Errorf("%w: number %d came with an earlier incarnation of its disk", ErrRejected, from)
	case received.Incarnation.isCopyOf(previous.incarnation):
		return fmt.Errorf("%w: number %d came twice: its disk was copied", ErrRejected, from)
	}
	return nil
}
