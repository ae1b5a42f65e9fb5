package follower

import (
	"bytes"
	"errors"
	"time"
)

// GroupTable has a mark drawn when the voters first began. Tables of another beginning are never taken: their epochs
// say nothing about those held.
const GroupTable = "group"

// errForeignGroup: the voters began anew, and what they hold is not what this process has followed.
var errForeignGroup = errors.New("tables of another beginning")

// accept takes an answer of the voters that this process has followed from its start. It guards against voters that lost
// all their disks and began anew: a table of theirs at epoch 3 is not older than one held at 57, it is another. The
// harm is that a process that held something then must be started again.
func (f *Follower) accept(result ReadResult, until time.Duration) error {
	mine := f.cache.get(GroupTable)
	if !result.FromOwnVoter && mine.Epoch > 0 && !bytes.Equal(mine.Value, result.GroupID) {
		if len(result.GroupID) > 0 {
			f.logForeignGroup()
		}
		return errForeignGroup // a voter that does not know its group yet will know it soon
	}
	f.cache.merge(result.Tables, until)
	return nil
}

func (f *Follower) logForeignGroup() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.foreignGroupLogged {
		f.foreignGroupLogged = true
		f.logger.Error("the voters began anew with empty disks: this process takes nothing from them " +
			"until it is started again")
	}
}
