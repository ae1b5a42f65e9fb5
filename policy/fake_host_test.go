package policy

import (
	"fmt"
	"slices"
	"time"
)

// fakeHost is a Host that records all calls.
type fakeHost struct {
	log      []string
	attempts []fakeAttempt
	calls    []fakeCall
	timers   []fakeTimer
	now      time.Duration
}

type fakeAttempt struct {
	request, server uint32
	at, until       time.Duration
	ended           bool
}

type fakeCall struct {
	name  uint64
	units float64
}

type fakeTimer struct {
	token uint64
	at    time.Duration
}

func (f *fakeHost) record(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

func (f *fakeHost) Attempt(requestID, server uint32, until time.Duration) {
	f.attempts = append(f.attempts, fakeAttempt{requestID, server, f.now, until, false})
	f.record("attempt %d at %d until %v", requestID, server, until)
}

func (f *fakeHost) Cancel(requestID uint32, attempt int) {
	f.record("cancel %d %d", requestID, attempt)
}

func (f *fakeHost) Reject(requestID uint32, retryAfter time.Duration) {
	f.record("reject %d, retry after %v", requestID, retryAfter.Round(ms))
}
func (f *fakeHost) Terminate(requestID uint32)        { f.record("terminate %d", requestID) }
func (f *fakeHost) CheckHealth(server uint32)         { f.record("health check %d", server) }
func (f *fakeHost) SendPeer(gateway int, text []byte) { f.record("peer %d %x", gateway, text) }
func (f *fakeHost) WatchEndpoints()                   { f.record("watch") }
func (f *fakeHost) Log(line string)                   { f.record("log %s", line) }
func (f *fakeHost) SetTimer(token uint64, after time.Duration) {
	f.timers = append(f.timers, fakeTimer{token, f.now + after})
}

func (f *fakeHost) CancelTimer(token uint64) {
	f.timers = slices.DeleteFunc(f.timers, func(t fakeTimer) bool { return t.token == token })
}

func (f *fakeHost) Count(name uint64, _ time.Duration, units float64) {
	f.calls = append(f.calls, fakeCall{name, units})
	f.record("count %x %g", name, units)
}

// occurrences returns how often a line is in the log.
func (f *fakeHost) occurrences(line string) int {
	n := 0
	for _, logged := range f.log {
		if logged == line {
			n++
		}
	}
	return n
}
