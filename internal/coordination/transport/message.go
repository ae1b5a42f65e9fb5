// Package transport carries the calls between the processes that coordinate: net/http on plain
// connections with CBOR bodies. Package node starts its server and its clients. It decides nothing;
// each call has limits of size and time.
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
	maxBodyBytes        = 4 << 20  // of a digest, a read or a proposal: a thousand counts are 0.1 MB
	maxMessageBodyBytes = 64 << 20 // of voters' messages in one body: a snapshot of all tables and totals
	maxHeaderBytes      = 4 << 10  // of a call's header
)

// Timeouts.
const (
	maxReadWait        = 8 * time.Second        // of a waiting read: a quarter of the longest lease
	requestReadTimeout = 5 * time.Second        // a call is read in that time, or its connection is closed
	proposeTimeout     = 5 * time.Second        // whether a proposal without a majority by then is written is not known
	idleTimeout        = 30 * time.Second       // a server closes a connection that has had no call for so long
	clientIdleTimeout  = idleTimeout / 2        // a client closes it before: a call sent into a closing one is lost
	dialTimeout        = 400 * time.Millisecond // beyond a round trip between regions; two such fit into a lease
	responseGrace      = 300 * time.Millisecond // what a response may take beyond the wait that was asked for
)

// Names on the wire.
const (
	pathMessages = "/messages"
	pathDigests  = "/digests"
	pathRead     = "/read"
	pathPropose  = "/propose"
	pathInfo     = "/standing"

	// headerChecksum has the checksum of a body. TCP's own is too weak to trust digests and log
	// entries to; this one finds what was corrupted by accident, not on purpose.
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
	To       uint64   `cbor:"1,keyasint"` // number of the voter that it is for: an address may have a new tenant
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

// encodeError gives an error's word on the wire.
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

// decodeError gives the error of a word on the wire.
func decodeError(word string) error {
	if word == "" {
		return nil
	}
	if known, ok := wireErrors[word]; ok {
		return known
	}
	return errors.New(word)
}

// Errors of calls that hold what no caller may ask for. Their texts go on the wire.
var (
	errUnnamedCommand   = errors.New("a command names who proposes it and a table")
	errUnnumberedWrite  = errors.New("a write is numbered: it may not be applied twice")
	errUnknownKind      = errors.New("no such kind of command")
	errIncompleteDigest = errors.New("a digest names its process, its life and its place in it")
)

// validateCommand says what is wrong with a command that comes from outside.
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

// validateDigests says what is wrong with digests that come from outside.
func validateDigests(digests []observation.Digest) error {
	for _, digest := range digests {
		if digest.Process == "" || digest.Incarnation == 0 || digest.Serial == 0 {
			return errIncompleteDigest
		}
	}
	return nil
}
