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
	// ErrNotLeader means that another voter leads, or none: the proposal was not accepted and may
	// be made elsewhere.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown means that the proposal may or may not be committed. The same numbered
	// command may be proposed again.
	ErrOutcomeUnknown = errors.New("not known whether the proposal is committed")
	// ErrNoQuorum means that no majority confirmed the read within the context.
	ErrNoQuorum = errors.New("no majority of voters answers")
	// ErrStopped means that this voter was closed, or stopped because its disk failed.
	ErrStopped = errors.New("this voter has stopped")
)

// Member is a voter as the others know it. A voter that lost its disk comes back under a new
// number.
type Member struct {
	Number  uint64 `cbor:"1,keyasint"` // from 1, never reused
	Name    string `cbor:"2,keyasint"` // of its process
	Address string `cbor:"3,keyasint"` // host:port on which other processes reach it
	DiskID  string `cbor:"4,keyasint"` // of the disk that the number was given to, 32 hex digits; empty: not known yet
}

// Status is a voter's own view, which may lag behind the others'.
type Status struct {
	Number  uint64   `cbor:"Number"`
	Leader  uint64   `cbor:"Leader"` // 0: none known
	Term    uint64   `cbor:"Term"`
	Applied uint64   `cbor:"Applied"` // index of the last log entry applied
	Members []Member `cbor:"Members"`
}

// Voter is one of the few processes that replicate the log. All methods are safe for concurrent
// use.
type Voter interface {
	// HandleMessage takes a message of another voter. The error says why the message was rejected.
	HandleMessage(ctx context.Context, message []byte) error
	// Propose replicates a command and returns its result once it is applied at this voter, which
	// must be the leader. Errors: ErrNotLeader, ErrOutcomeUnknown (the context ended or the leader
	// changed meanwhile), ErrStopped.
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
	// Read returns the tables whose epoch is later than the known one (0: never received), as
	// confirmed by a majority since the call. If there is none it waits for up to wait; an empty
	// result then means that a majority confirmed that nothing had changed. Concurrent reads share
	// one confirmation. Errors: ErrNoQuorum, ErrStopped.
	Read(ctx context.Context, known map[string]uint64, wait time.Duration) (map[string]statemachine.Table, error)
	// AddDigests merges digests that processes sent to this voter.
	AddDigests(digests []observation.Digest)
	// ChangeMembership adds a member, or removes the one with that number. Errors: those of
	// Propose, or why the change is invalid.
	ChangeMembership(ctx context.Context, m Member, remove bool) error
	// Status returns the voter's current status.
	Status() Status
}
