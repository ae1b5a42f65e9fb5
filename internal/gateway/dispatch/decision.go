package dispatch

import (
	"context"
	"time"

	"harrierhoist/policy"
)

// Action is what is to be done with a request.
type Action uint8

// The actions. All but Forward are final.
const (
	Forward      Action = iota // make an attempt at a server, and report its result
	Reject                     // answer that a repeat is harmless
	Terminate                  // answer that it failed, and may have run
	Disconnected               // answer nothing: its client has gone
)

// Decision is an action and what goes with it.
type Decision struct {
	Action Action
	// Server is where an attempt goes.
	Server Server
	// Deadline is when an attempt that has no answer is abandoned.
	Deadline time.Time
	// WriteDeadline is until when an attempt may be written to its last byte, not after Deadline.
	WriteDeadline time.Time
	// Context ends when an attempt is to be abandoned at once.
	Context context.Context
	// Begin is asked once, right before an attempt's first byte, which is written only where it
	// returns true.
	Begin func() bool
	// SendsRetryAfter is how long the client of a rejected request is asked to stay away; 0: it is
	// not asked.
	RetryAfter time.Duration
}

// Result tells how an attempt, or a health check, ended.
type Result struct {
	Outcome     policy.Outcome
	ActualUnits float64 // true units; 0: not reported
	Usage       float64 // 1 + the part of its rate that the customer used of late; 0: not reported
	LoadReport  []float32
}
