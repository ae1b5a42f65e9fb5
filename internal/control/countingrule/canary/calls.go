package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
)

// Call is a call to the counter that the caller makes for the shadow evaluation. The counter adds
// the units and answers with the count that results, which the caller passes to HandleCount.
type Call struct {
	Name  uint64        // name of the count
	Units float64       // units to add; 0 only reads the count
	TTL   time.Duration // how long the counter keeps the name
	ID    uint64        // identifies the answer in HandleCount; 0 if the answer is not used
}

// outstandingCall is a call whose answer has not arrived.
type outstandingCall struct {
	side                int
	state               *keyState
	window              countingrule.Window // window that is read
	asOf                time.Duration       // time of the count: that of the call, or the end of the previous window
	units               float64             // units added by the call
	request             *shadowRequest      // request to decide by the count, or nil for a flush
	readsPreviousWindow bool                // the count is for the deficit of the previous window
}

// startCall returns a call that adds a key's pending units and reads its count. shadowed is the
// request to decide by the count, or nil for a flush.
func (s *Shadow) startCall(side int, state *keyState, now time.Duration, shadowed *shadowRequest) Call {
	window := countingrule.WindowAt(state.key, &state.plan, now)
	call := s.send(outstandingCall{
		side: side, state: state, window: window, asOf: now,
		units: state.pendingUnits, request: shadowed,
	})
	state.pendingUnits = 0
	state.flushAt = noFlush
	return call
}

// readPreviousWindow returns a call that reads the window before that of the given call.
func (s *Shadow) readPreviousWindow(call outstandingCall) Call {
	end := call.window.Start - 1
	window := countingrule.WindowAt(call.state.key, &call.state.plan, end)
	return s.send(outstandingCall{
		side: call.side, state: call.state, window: window, asOf: end,
		readsPreviousWindow: true,
	})
}

// send registers a call as outstanding, spends budget on it and returns it.
func (s *Shadow) send(call outstandingCall) Call {
	s.spendCall(call.side)
	s.lastCallID++
	s.outstanding[s.lastCallID] = call
	return Call{Name: call.window.Name, Units: call.units, TTL: call.window.TTL, ID: s.lastCallID}
}

// spendCall takes one call from a side's budget and counts it.
func (s *Shadow) spendCall(side int) {
	s.sides[side].callBudget--
	s.observations.calls++
}

// HandleCount handles the answer to a call. answered is false if no answer came or the counter
// rejected the call. The caller must make the returned calls. If the window had no units before the
// call, the returned calls carry over the deficit of the previous window, as the decision module
// does. Answers with an unknown ID are ignored.
func (s *Shadow) HandleCount(now time.Duration, id uint64, count float64, answered bool) []Call {
	call, ok := s.outstanding[id]
	if !ok {
		return nil
	}
	delete(s.outstanding, id)
	switch {
	case !answered:
		s.handleFailedCall(now, call)
		return nil
	case call.readsPreviousWindow:
		return s.carryOver(call, now, count)
	default:
		return s.handleWindowCount(now, call, count)
	}
}

// handleFailedCall makes the units of a call pending again and decides its request by an estimate.
func (s *Shadow) handleFailedCall(now time.Duration, call outstandingCall) {
	if call.readsPreviousWindow {
		return
	}
	state := call.state
	remaining := state.estimateRemaining(now)
	state.pendingUnits += call.units
	if state.pendingUnits > 0 {
		s.sides[call.side].scheduleFlush(state, now)
	}
	if call.request != nil {
		call.request.estimated = true
		s.decideOnSide(call.side, state, call.request, now, remaining)
	}
}

// handleWindowCount decides the request of a call by the count that was read. If the window had no
// units before the call, it returns a call that reads the previous window.
func (s *Shadow) handleWindowCount(now time.Duration, call outstandingCall, count float64) (calls []Call) {
	state := call.state
	remaining := state.updateFromCount(call.window, call.asOf, count)
	call.recordOverLimit(count)
	isUntouched := count <= call.units
	if isUntouched && state.carryOverWindow != call.window.Index {
		state.carryOverWindow = call.window.Index
		calls = append(calls, s.readPreviousWindow(call))
	}
	if call.request != nil {
		s.decideOnSide(call.side, state, call.request, now, remaining)
	}
	return calls
}

// carryOver returns a call that adds the deficit of the previous window to the key's current
// window. It returns nil if there is no deficit.
func (s *Shadow) carryOver(call outstandingCall, now time.Duration, count float64) []Call {
	state := call.state
	deficit := state.plan.Burst - countingrule.Remaining(&state.plan, call.window, call.asOf, count)
	if deficit <= 0 {
		return nil
	}
	s.spendCall(call.side)
	window := countingrule.WindowAt(state.key, &state.plan, now)
	return []Call{{Name: window.Name, Units: deficit, TTL: window.TTL}}
}

// recordOverLimit records the units that a call added beyond the new rule's limit. They were
// admitted because counts lag behind admissions.
func (c *outstandingCall) recordOverLimit(count float64) {
	if c.side != newSide || c.request == nil {
		return
	}
	limit := c.state.plan.Burst + c.state.plan.Rate*(c.asOf-c.window.Start).Seconds()
	c.request.overLimit = min(max(count-limit, 0), c.units)
}

// Flush returns calls that add the pending units of keys whose flush is due, as far as the budget
// allows, and removes unused keys. It does nothing within flushInterval of the previous flush. The
// caller must make the returned calls.
func (s *Shadow) Flush(now time.Duration) (calls []Call) {
	if now < s.lastFlushAt+flushInterval {
		return nil
	}
	s.lastFlushAt = now
	for i := range s.sides {
		side := &s.sides[i]
		queued := side.flushQueue[:0]
		for _, state := range side.flushQueue {
			switch {
			case !state.isFlushScheduled(): // a request's call has added the units
			case now >= state.flushAt && side.callBudget >= 1:
				calls = append(calls, s.startCall(i, state, now, nil))
			default:
				queued = append(queued, state)
			}
		}
		clear(side.flushQueue[len(queued):])
		side.flushQueue = queued
		side.forgetUnused(now)
	}
	return calls
}
