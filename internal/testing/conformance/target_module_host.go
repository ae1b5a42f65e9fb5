package conformance

import (
	"slices"
	"time"

	"harrierhoist/policy"
)

var _ policy.Host = (*moduleTarget)(nil)

// Attempt records an attempt and holds it in flight until the case answers it.
func (m *moduleTarget) Attempt(request, server uint32, _ time.Duration) {
	m.inFlight[request] = server
	forms := []string{"attempt " + decimal(request)}
	if server > serverCount { // one that a variant added to the case's
		forms = append(forms, forms[0]+" elective")
	}
	m.events.add(forms...)
}

// Count records a counter call, which is answered after the action.
func (m *moduleTarget) Count(name uint64, _ time.Duration, units float64) {
	m.pendingCalls = append(m.pendingCalls, policy.CountResult{Name: name, Total: units})
	m.events.add(m.windows.callEvents(m.now, name, units)...)
}

// Cancel records the cancellation of an attempt.
func (m *moduleTarget) Cancel(request uint32, _ int) { m.events.add("cancel " + decimal(request)) }

// Reject records a final answer.
func (m *moduleTarget) Reject(request uint32, _ time.Duration) {
	m.events.add("rejected " + decimal(request))
}

// Terminate records a final answer.
func (m *moduleTarget) Terminate(request uint32) { m.events.add("terminated " + decimal(request)) }

// CheckHealth records a health check, which no case may show.
func (m *moduleTarget) CheckHealth(uint32) { m.events.add("health-check") }

// SendPeer records a message to another gateway, which no case may show.
func (m *moduleTarget) SendPeer(int, []byte) { m.events.add("peer-message") }

// WatchEndpoints does nothing: the list of a case does not change.
func (m *moduleTarget) WatchEndpoints() {}

// Log drops the module's log.
func (m *moduleTarget) Log(string) {}

// SetTimer sets a timer on the virtual clock.
func (m *moduleTarget) SetTimer(token uint64, after time.Duration) {
	m.timers = append(m.timers, timer{token, m.now + after})
}

// CancelTimer removes a timer.
func (m *moduleTarget) CancelTimer(token uint64) {
	m.timers = slices.DeleteFunc(m.timers, func(t timer) bool { return t.token == token })
}
