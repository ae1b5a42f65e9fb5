package coordination

import (
	"context"
	"errors"
	"time"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Errors of a Voter.
var (
	// ErrNotLeader: another voter leads, or none; the proposal was not taken and may be made elsewhere.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown: whether the proposal was or will be written is not known; the same numbered command may be proposed again.
	ErrOutcomeUnknown = errors.New("not known whether it is written")
	// ErrNoQuorum: no majority confirmed the read within the context.
	ErrNoQuorum = errors.New("no majority answers")
	// ErrStopped: this voter has ended, or its disk failed it.
	ErrStopped = errors.New("this voter has stopped")
)

// Member is a voter as the others know it. A disk that was lost comes back under a new number.
type Member struct {
	Number  uint64 `cbor:"1,keyasint"` // from 1; never used twice
	Name    string `cbor:"2,keyasint"` // of its process
	Address string `cbor:"3,keyasint"` // host:port of its link
	DiskID  string `cbor:"4,keyasint"` // mark of the disk that the number was given to, 32 hex digits
}

// Status is a voter as it sees itself; it may be behind.
type Status struct {
	Number  uint64   `cbor:"Number"`
	Leader  uint64   `cbor:"Leader"` // 0: none known
	Term    uint64   `cbor:"Term"`
	Applied uint64   `cbor:"Applied"`
	Members []Member `cbor:"Members"`
}

// Voter is one of the few processes that hold the log. All calls may be made by several goroutines at once.
type Voter interface {
	// HandleMessage takes a message of another voter; one that makes no sense is dropped with an error.
	HandleMessage(ctx context.Context, message []byte) error
	// Propose has a command written: it returns once the command is applied at this voter, which must lead. Errors:
	// ErrNotLeader, ErrUnknown (the context ended or the leader changed meanwhile), ErrStopped.
	Propose(ctx context.Context, c statemachine.Command) (statemachine.Result, error)
	// Read gives the tables that stand at a later epoch than known names (0: never heard of), as confirmed by a majority
	// since the call; where there is none it waits for one up to wait, and then gives none: a majority has confirmed that
	// nothing changed before the end of the wait. Many waiting reads cost one confirmation. Errors: ErrNoQuorum, ErrStopped.
	Read(ctx context.Context, known map[string]uint64, wait time.Duration) (map[string]statemachine.Table, error)
	// AddDigests takes digests of processes that send theirs here, or of another voter (what it merged).
	AddDigests(digests []observation.Digest)
	// ChangeMembership adds a member, or removes the one of that number. Errors as Propose, or what is wrong with the change.
	ChangeMembership(ctx context.Context, m Member, remove bool) error
	Status() Status
}
