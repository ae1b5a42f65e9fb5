package dispatch

import (
	"context"
	"time"

	"harrierhoist/policy"
)

// Action is what the caller of Next must do with a request.
type Action uint8

// Actions. All but Forward are final.
const (
	Forward      Action = iota // make an attempt at a server and report its result
	Reject                     // reply that the request can be retried safely
	Terminate                  // reply that the request failed and may have run
	Disconnected               // send no reply: the client has disconnected
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	// Server is the server of an attempt.
	Server Server
	// Deadline is when an attempt without an answer is abandoned.
	Deadline time.Time
	// WriteDeadline is when the attempt's last byte must have been written. It is not after
	// Deadline.
	WriteDeadline time.Time
	// Context is cancelled when the attempt must be abandoned immediately.
	Context context.Context
	// BeginSend must be called once, immediately before an attempt's first byte is written. The
	// byte may be written only if it returns true.
	BeginSend func() bool
	// RetryAfter is how long the client of a rejected request should wait before it retries; 0: not
	// stated.
	RetryAfter time.Duration
}

// Result is the result of an attempt or a health check.
type Result struct {
	Outcome     policy.Outcome
	ActualUnits float64   // units that the request used; 0: not reported
	Usage       float64   // 1 + fraction of its rate that the customer used lately; 0: not reported
	LoadReport  []float32 // one value for each of Settings.LoadReportFields; nil: not reported
}
