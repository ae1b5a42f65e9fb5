// Package transport carries the calls between the processes that coordinate: net/http on plain
// connections with CBOR bodies, each call with limits of size and time. Package node starts its
// server, its clients and the sender of voters' messages.
package transport

import (
	"errors"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Sizes.
const (
	maxBodyBytes        = 4 << 20  // of a digest, a read or a proposal
	maxMessageBodyBytes = 64 << 20 // of voters' messages in one body, one of which may be a snapshot
	maxHeaderBytes      = 4 << 10  // of a call's header
)

// Timeouts.
const (
	maxReadWait        = 8 * time.Second        // longest wait of a read; a longer one is cut to it
	requestReadTimeout = 5 * time.Second        // in which a call is read, or its connection is closed
	proposeTimeout     = 5 * time.Second        // after which the outcome of a proposal is not known
	idleTimeout        = 30 * time.Second       // after which a server closes a connection without calls
	clientIdleTimeout  = idleTimeout / 2        // a client closes it before: a call sent into a closing one is lost
	dialTimeout        = 400 * time.Millisecond // of a connection's start
	responseGrace      = 300 * time.Millisecond // how much longer than the requested wait a response may take
)

// Names on the wire.
const (
	pathMessages = "/messages"
	pathDigests  = "/digests"
	pathRead     = "/read"
	pathPropose  = "/propose"
	pathInfo     = "/standing"

	// headerChecksum has the checksum of a body. It finds what was corrupted by accident, which
	// TCP's own is too weak for, but nothing that was forged.
	headerChecksum = "Body-Sum"
)

// VoterInfo is what a voter answers to the question who it is.
type VoterInfo struct {
	// Number is the voter's by the operators' file, or by the log once it started.
	Number uint64 `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"` // of its process
	DiskID string `cbor:"3,keyasint"` // 32 hex digits
	// Started is set once its disk holds a log; until then it takes no other call.
	Started     bool                `cbor:"4,keyasint"`
	Incarnation uint64              `cbor:"5,keyasint"` // of its process
	Status      coordination.Status `cbor:"6,keyasint"` // once it started
	Address     string              `cbor:"7,keyasint"` // host:port, by its own file: what the log has of it
	// InitialMembers are those with whom it started the log, if it did in this incarnation, with
	// the IDs of their disks.
	InitialMembers []coordination.Member `cbor:"8,keyasint"`
}

// MessageBatch is what one voter sends another.
type MessageBatch struct {
	To       uint64   `cbor:"1,keyasint"` // number of the voter that it is for: another may have its address now
	Messages [][]byte `cbor:"2,keyasint"`
}

// ReadRequest is a waiting read.
type ReadRequest struct {
	KnownEpochs map[string]uint64 `cbor:"1,keyasint"` // by table; 0 or left out: never read
	Wait        time.Duration     `cbor:"2,keyasint"` // in nanoseconds; at most maxReadWait counts
}

// Response is the result of a read or a proposal.
type Response struct {
	Error   string                        `cbor:"1,keyasint,omitempty"` // a key of wireErrors, or the error's text
	Tables  map[string]statemachine.Table `cbor:"2,keyasint,omitempty"`
	GroupID []byte                        `cbor:"4,keyasint,omitempty"` // drawn when the voters first started
	Result  statemachine.Result           `cbor:"3,keyasint"`
}

// wireErrors are the errors of a voter that both ends know, by their words on the wire.
var wireErrors = map[string]error{
	"not leader": coordination.ErrNotLeader,
	"unknown":    coordination.ErrOutcomeUnknown,
	"no quorum":  coordination.ErrNoQuorum,
	"stopped":    coordination.ErrStopped,
}

// encodeError returns an error's word on the wire.
func encodeError(err error) string {
	if err == nil {
		return ""
	}
	for word, known := range wireErrors {
		if errors.Is(err, known) {
			return word
		}
	}
	return err.Error()
}

// decodeError returns the error of a word on the wire.
func decodeError(word string) error {
	if word == "" {
		return nil
	}
	if known, ok := wireErrors[word]; ok {
		return known
	}
	return errors.New(word)
}

// Errors of calls that are well formed but must not be made. Their texts go on the wire.
var (
	errUnnamedCommand   = errors.New("a command names who proposes it and a table")
	errUnnumberedWrite  = errors.New("a write is numbered: it may not be applied twice")
	errUnknownKind      = errors.New("no such kind of command")
	errIncompleteDigest = errors.New("a digest names its process, its life and its place in it")
)

// validateCommand decides whether another process's command may be proposed. A write without a
// number could be applied twice.
func validateCommand(command statemachine.Command) error {
	switch {
	case command.Proposer == "" || command.Table == "":
		return errUnnamedCommand
	case command.Kind == statemachine.Write && command.Number == 0:
		return errUnnumberedWrite
	case command.Kind != statemachine.Write && command.Kind != statemachine.RaiseTotals:
		return errUnknownKind
	}
	return nil
}

// validateDigests decides whether another process's digests may be merged.
func validateDigests(digests []observation.Digest) error {
	for _, digest := range digests {
		if digest.Process == "" || digest.Incarnation == 0 || digest.Serial == 0 {
			return errIncompleteDigest
		}
	}
	return nil
}
