// Package link carries messages between the processes that hold something in common: net/http on plain connections
// with cbor bodies. It decides nothing; each call has its limits of size and time, whoever is at the other end.
package transport

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// Limits of what is sent and of how long it may take.
const (
	maxBodyBytes        = 4 << 20                // bytes of a digest, a read or a proposal: a thousand counts are 0.1 MB
	maxMessageBodyBytes = 64 << 20               // bytes of voters' messages in one body: a snapshot of all tables and totals
	maxHeaderBytes      = 4 << 10                // bytes of a call's header
	maxReadWait         = 8 * time.Second        // of a read: a quarter of the longest lease
	requestReadTimeout  = 5 * time.Second        // a call is read in that time, or its connection is closed
	proposeTimeout      = 5 * time.Second        // a proposal that has no majority by then is not known to be written
	idleTimeout         = 30 * time.Second       // a connection with no call is closed after that
	dialTimeout         = 400 * time.Millisecond // beyond a round trip between regions; two such fit into a lease
	responseGrace       = 300 * time.Millisecond // what an answer may take beyond the wait that was asked for
)

const (
	pathMessages = "/messages"
	pathDigests  = "/digests"
	pathRead     = "/read"
	pathPropose  = "/propose"
	pathInfo     = "/standing"

	// headerChecksum has the check sum of a body. TCP's own is too weak to trust evidence and log entries to; this one finds
	// what is spoilt by accident, not on purpose.
	headerChecksum = "Body-Sum"
)

// VoterInfo is what a voter says of itself to whoever asks.
type VoterInfo struct {
	Number      uint64              `cbor:"1,keyasint"` // as its file has it, or its disk once it has begun
	Name        string              `cbor:"2,keyasint"` // of its process
	DiskID      string              `cbor:"3,keyasint"` // of its disk
	Started     bool                `cbor:"4,keyasint"` // whether its disk holds a log; until then it takes no other call
	Incarnation uint64              `cbor:"5,keyasint"` // of its process
	Status      coordination.Status `cbor:"6,keyasint"` // once it has begun
	Address     string              `cbor:"7,keyasint"` // of its link, by its own file: what the log has of it
	// InitialMembers are those with whom it began the log, if it did in this life, with the marks of their disks.
	InitialMembers []coordination.Member `cbor:"8,keyasint"`
}

// MessageBatch is what one voter sends another.
type MessageBatch struct {
	To       uint64   `cbor:"1,keyasint"` // number of the voter that it is for: an address may have a new tenant
	Messages [][]byte `cbor:"2,keyasint"`
}

// ReadRequest is a waiting read.
type ReadRequest struct {
	KnownEpochs map[string]uint64 `cbor:"1,keyasint"`
	Wait        time.Duration     `cbor:"2,keyasint"`
}

// Response is what became of a call other than a message.
type Response struct {
	Error   string                        `cbor:"1,keyasint,omitempty"` // one of the words below, or what is wrong
	Tables  map[string]statemachine.Table `cbor:"2,keyasint,omitempty"`
	GroupID []byte                        `cbor:"4,keyasint,omitempty"` // of the tables: drawn when the voters first began
	Result  statemachine.Result           `cbor:"3,keyasint"`
}

// wireErrors are the errors of a voter that both ends know.
var wireErrors = map[string]error{"not leader": coordination.ErrNotLeader, "unknown": coordination.ErrOutcomeUnknown,
	"no quorum": coordination.ErrNoQuorum, "stopped": coordination.ErrStopped}

// encodeError gives an error's word.
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

// decodeError gives a word's error.
func decodeError(word string) error {
	if word == "" {
		return nil
	}
	if known, ok := wireErrors[word]; ok {
		return known
	}
	return errors.New(word)
}

// errMalformed: a body is not what was sent, or not what such a body is made of.
var errMalformed = errors.New("spoilt body")

var (
	encoding = must(cbor.EncOptions{}.EncMode()) // no order of keys: sorting the counts of a digest doubled its cost
	// What a body can hold is bounded, so that a spoilt one makes no work.
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 17,
		MaxMapPairs: 1 << 17, IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the library's own options
	}
	return mode
}

func checksum(body []byte) string { return hex.EncodeToString(checksumBytes(body)) }

func checksumBytes(body []byte) []byte {
	h := xxhash.New()
	_, _ = h.Write(body) // never fails
	return h.Sum(nil)
}

// readBody reads a body of a stated length into what it is to be.
func readBody(r io.Reader, length int64, limit int64, want string, into any) error {
	if length < 0 || length > limit {
		return fmt.Errorf("%w: a length from 0 to %d is wanted, not %d", errMalformed, limit, length)
	}
	body, err := io.ReadAll(io.LimitReader(r, length+1))
	if err != nil {
		return err
	}
	if int64(len(body)) != length {
		return fmt.Errorf("%w: %d bytes of %d", errMalformed, len(body), length)
	}
	if !strings.EqualFold(want, checksum(body)) {
		return fmt.Errorf("%w: its sum is another", errMalformed)
	}
	if err := decoding.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return nil
}

// validateCommand says what is wrong with a command that comes from outside.
func validateCommand(command statemachine.Command) error {
	switch {
	case command.Proposer == "" || command.Table == "":
		return errors.New("a command names who proposes it and a table")
	case command.Kind == statemachine.Write && command.Number == 0:
		return errors.New("a write is numbered: it may not be applied twice")
	case command.Kind != statemachine.Write && command.Kind != statemachine.RaiseTotals:
		return errors.New("no such kind of command")
	}
	return nil
}

// validateDigests says what is wrong with digests that come from outside.
func validateDigests(digests []observation.Digest) error {
	for _, d := range digests {
		if d.Process == "" || d.Incarnation == 0 || d.Serial == 0 {
			return errors.New("a digest names its process, its life and its place in it")
		}
	}
	return nil
}
