package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
)

// Call is a call to the counter that the shadow evaluation asks for. Its answer goes to HandleCount.
type Call struct {
	Name  uint64        // at the counter
	Units float64       // to be added
	TTL   time.Duration // how long the counter is to keep the name
	ID    uint64        // of the answer; 0: nothing awaits it
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
	state.pending, state.flushAt = 0, 0
	return call
}

// readPreviousWindow reads the window before the one that a call found untouched.
func (s *Shadow) readPreviousWindow(call outstandingCall) Call {
	end := call.window.Start - 1
	window := countingrule.WindowAt(call.state.key, &call.state.plan, end)
	return s.send(outstandingCall{side: call.side, state: call.state, window: window, sentAt: end, readsPrevious: true})
}

// send makes the call of which the answer is awaited.
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

// HandleCount takes a call's answer; answered is false where none came or the counter rejected it. It gives the calls
// that follow: whoever finds a window untouched carries over the deficit of the one before, as the decision module does.
func (s *Shadow) HandleCount(now time.Duration, id uint64, count float64, answered bool) (calls []Call) {
	call, ok := s.outstanding[id]
	if !ok {
		return nil
	}
	delete(s.outstanding, id)
	if call.readsPrevious {
		if answered {
			return s.carryOver(call, now, count)
		}
		return nil
	}
	state := call.state
	remaining := state.estimate(now)
	if answered {
		remaining = state.observe(call.window, call.sentAt, count)
		call.measureOverLimit(count)
		if count <= call.units && state.carriedWindow != call.window.Index {
			state.carriedWindow = call.window.Index
			calls = append(calls, s.readPreviousWindow(call))
		}
	} else if state.pending += call.units; state.pending > 0 {
		s.sides[call.side].scheduleFlush(state, now)
	}
	if call.request != nil {
		call.request.estimated = call.request.estimated || !answered
		s.decide(call.side, state, call.request, now, remaining)
	}
	return calls
}

// carryOver adds the deficit of the window before to the key's window now, where there is one.
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

// measureOverLimit counts what a call added beyond the new rule's limit: admitted, as the count lagged.
func (c *outstandingCall) measureOverLimit(count float64) {
	if c.side != newSide || c.request == nil {
		return
	}
	limit := c.state.plan.Burst + c.state.plan.Rate*(c.sentAt-c.window.Start).Seconds()
	c.request.overLimit = min(max(count-limit, 0), c.units)
}

// Flush gives the calls for units that no later request added, as far as the budget reaches, and forgets keys that are
// no longer used.
func (s *Shadow) Flush(now time.Duration) (calls []Call) {
	if now < s.sweptAt+flushDelay/2 {
		return nil
	}
	s.sweptAt = now
	for i := range s.sides {
		side := &s.sides[i]
		queued := side.flushQueue[:0]
		for _, state := range side.flushQueue {
			switch {
			case state.flushAt == 0: // a request added them
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
