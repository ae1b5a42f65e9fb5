package consensus

import "errors"

// Errors of a Node.
var (
	// ErrCorrupt means that the records on disk do not fit together.
	ErrCorrupt = errors.New("the records on disk do not fit together")
	// ErrChangePending means that another membership change has not been applied yet.
	ErrChangePending = errors.New("another membership change is pending")
	// ErrRejected wraps the reason for which a message was rejected.
	ErrRejected = errors.New("message rejected")
	// ErrDiskMismatch means that this voter's number was given to another disk. A voter whose disk
	// was emptied needs a new number.
	ErrDiskMismatch = errors.New("this number belongs to another disk")
)
