package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
)

// Call is a call to the counter that the shadow evaluation asks for. Its answer goes to
// HandleCount.
type Call struct {
	Name  uint64        // at the counter
	Units float64       // to be added
	TTL   time.Duration // how long the counter is to keep the name
	ID    uint64        // of the answer; 0: no answer is awaited
}

// outstandingCall is a call that awaits its answer.
type outstandingCall struct {
	side          int
	state         *keyState
	window        countingrule.Window
	sentAt        time.Duration
	units         float64
	request       *shadowRequest // nil: it added units alone
	readsPrevious bool           // it read the window before, for its deficit
}

// startCall adds a key's pending units to its count. A nil request awaits no count.
func (s *Shadow) startCall(i int, state *keyState, now time.Duration, shadowed *shadowRequest) Call {
	window := countingrule.WindowAt(state.key, &state.plan, now)
	call := s.send(outstandingCall{
		side: i, state: state, window: window, sentAt: now,
		units: state.pending, request: shadowed,
	})
	state.pending = 0
	state.flushAt = noFlush
	return call
}

// readPreviousWindow reads the window before the one that a call found untouched.
func (s *Shadow) readPreviousWindow(call outstandingCall) Call {
	end := call.window.Start - 1
	window := countingrule.WindowAt(call.state.key, &call.state.plan, end)
	return s.send(outstandingCall{side: call.side, state: call.state, window: window, sentAt: end, readsPrevious: true})
}

// send makes a call whose answer is awaited.
func (s *Shadow) send(call outstandingCall) Call {
	s.spend(call.side)
	s.lastID++
	s.outstanding[s.lastID] = call
	return Call{Name: call.window.Name, Units: call.units, TTL: call.window.TTL, ID: s.lastID}
}

func (s *Shadow) spend(side int) {
	s.sides[side].budget--
	s.observations.calls++
}

// HandleCount takes a call's answer; answered is false where none came or the counter rejected it.
// It gives the calls that follow: where a window was untouched, the deficit of the one before is
// carried over, as the decision module does.
func (s *Shadow) HandleCount(now time.Duration, id uint64, count float64, answered bool) []Call {
	call, ok := s.outstanding[id]
	if !ok {
		return nil
	}
	delete(s.outstanding, id)
	switch {
	case !answered:
		s.handleMissingCount(now, call)
		return nil
	case call.readsPrevious:
		return s.carryOver(call, now, count)
	default:
		return s.handleRead(now, call, count)
	}
}

// handleMissingCount has a call's units added later, and its request decided by an estimate.
func (s *Shadow) handleMissingCount(now time.Duration, call outstandingCall) {
	if call.readsPrevious {
		return
	}
	state := call.state
	remaining := state.estimate(now)
	state.pending += call.units
	if state.pending > 0 {
		s.sides[call.side].scheduleFlush(state, now)
	}
	if call.request != nil {
		call.request.estimated = true
		s.decide(call.side, state, call.request, now, remaining)
	}
}

// handleRead decides a request by the count that its call read, and gives the call that reads the
// window before where this one was untouched.
func (s *Shadow) handleRead(now time.Duration, call outstandingCall, count float64) (calls []Call) {
	state := call.state
	remaining := state.observe(call.window, call.sentAt, count)
	call.measureOverLimit(count)
	isUntouched := count <= call.units
	if isUntouched && state.carriedWindow != call.window.Index {
		state.carriedWindow = call.window.Index
		calls = append(calls, s.readPreviousWindow(call))
	}
	if call.request != nil {
		s.decide(call.side, state, call.request, now, remaining)
	}
	return calls
}

// carryOver adds the deficit of the previous window, where there is one, to the key's window now.
func (s *Shadow) carryOver(call outstandingCall, now time.Duration, count float64) []Call {
	state := call.state
	deficit := state.plan.Burst - countingrule.Remaining(&state.plan, call.window, call.sentAt, count)
	if deficit <= 0 {
		return nil
	}
	s.spend(call.side)
	window := countingrule.WindowAt(state.key, &state.plan, now)
	return []Call{{Name: window.Name, Units: deficit, TTL: window.TTL}}
}

// measureOverLimit notes the units that a call added beyond the new rule's limit: they were
// admitted as the count lagged.
func (c *outstandingCall) measureOverLimit(count float64) {
	if c.side != newSide || c.request == nil {
		return
	}
	limit := c.state.plan.Burst + c.state.plan.Rate*(c.sentAt-c.window.Start).Seconds()
	c.request.overLimit = min(max(count-limit, 0), c.units)
}

// Flush gives the calls for units that no later request added, as far as the budget reaches, and
// forgets keys that are no longer used.
func (s *Shadow) Flush(now time.Duration) (calls []Call) {
	if now < s.sweptAt+sweepInterval {
		return nil
	}
	s.sweptAt = now
	for i := range s.sides {
		side := &s.sides[i]
		queued := side.flushQueue[:0]
		for _, state := range side.flushQueue {
			switch {
			case !state.isFlushScheduled(): // a request added them
			case now >= state.flushAt && side.budget >= 1:
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
