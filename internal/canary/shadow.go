package canary

import (
	"time"

	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

const (
	maxBudget  = 64.0             // calls saved up a side: a burst of tasks, not an hour's
	flushDelay = time.Second      // units let in that no later task of their key brings to the counter go alone
	keyTTL     = 60 * time.Second // a key not seen so long has no window left at the counter
	maxKeys    = 50_000           // keys a side that a process remembers; more are not played
)

// Call is a call to the counter that a play asks for. Its answer goes to Told.
type Call struct {
	Name  uint64
	Units float64
	TTL   time.Duration
	ID    uint64
}

// Shadow plays the old rule (side 0) and the new one (side 1) on the tasks of the sample, both by the same plain desk and
// by counts of their own, so that what differs is the rules' doing. Not safe for use by several goroutines at once.
type Shadow struct {
	*Observations
	sample      *Sample
	sides       [2]side
	plans       []policy.Plan
	callShare   float64 // of a call that each call of the gateway earns
	outstanding map[uint64]outstandingCall
	lastID      uint64
	sweptAt     time.Duration
}

type side struct {
	rule       *countingrule.Resolved
	keys       map[uint64]*keyState
	flushQueue []*keyState // with units that may have to go alone, in the order in which that was found
	// budget is what this side may spend: each has half of the play's, so that neither sees less than the other.
	budget float64
}

// NewShadow begins a play. Salt is the canary's own: names made with it are no rule's. Calls is the share of the
// gateway's calls that may be spent, in thousandths.
func NewShadow(sample *Sample, old, next *countingrule.Resolved, settings policy.Settings, salt, calls uint64) *Shadow {
	shadow := &Shadow{Observations: newObservations(salt), sample: sample, callShare: float64(calls) / 1000, outstanding: map[uint64]outstandingCall{}}
	shadow.sides[0].keys, shadow.sides[1].keys = map[uint64]*keyState{}, map[uint64]*keyState{}
	shadow.Reconfigure(old, next, settings)
	return shadow
}

// Reconfigure goes on with the same rules beside other lanes and plans, which have kept their numbers.
func (shadow *Shadow) Reconfigure(old, next *countingrule.Resolved, settings policy.Settings) {
	shadow.sides[0].rule, shadow.sides[1].rule, shadow.plans = old, next, settings.Plans
	shadow.setNames(settings)
}

// AddBudget takes word of n calls that the gateway made for its tasks.
func (shadow *Shadow) AddBudget(n uint64) {
	for i := range shadow.sides {
		shadow.sides[i].budget = min(shadow.sides[i].budget+shadow.callShare/2*float64(n), maxBudget)
	}
}

// IsSampled tells whether a customer is in the sample.
func (shadow *Shadow) IsSampled(customer uint64) bool {
	_, admitted := shadow.sample.Bucket(customer)
	return admitted
}

// HandleRequest plays a task, if it is in the sample, and gives the calls to be made for it.
func (shadow *Shadow) HandleRequest(now time.Duration, request Request) (calls []Call) {
	if !shadow.IsSampled(request.Customer) || shadow.plans[request.Plan].Rate <= 0 {
		return nil
	}
	var states [2]*keyState
	var keys [2]uint64
	for i := range shadow.sides {
		assignment := shadow.sides[i].rule.Assign(request.Customer, request.Class, request.Plan)
		keys[i] = assignment.Key
		if states[i] = shadow.openKey(i, assignment, now); states[i] == nil {
			return nil
		}
	}
	shadow.trackKeys(keys[0], keys[1])
	shadowed, estimated := &shadowRequest{request: request, pending: 2}, min(shadow.sides[0].budget, shadow.sides[1].budget) < 1 // both sides see a total, or neither
	for i, state := range states {
		if estimated {
			shadowed.estimated = true
			shadow.decide(i, state, shadowed, now, state.estimate(now))
			continue
		}
		calls = append(calls, shadow.startCall(i, state, now, shadowed))
	}
	return calls
}

// openKey finds a key's book; nil where there are too many.
func (shadow *Shadow) openKey(i int, assignment countingrule.Assignment, now time.Duration) *keyState {
	keys := shadow.sides[i].keys
	key := countingrule.Hash(shadow.salt, uint64(i), assignment.Version, assignment.Key)
	state := keys[key]
	if state == nil {
		if len(keys) >= maxKeys {
			return nil
		}
		plan := shadow.plans[assignment.Plan]
		state = &keyState{key: key, plan: plan, window: countingrule.WindowAt(key, &plan, now), sampledAt: now, remaining: plan.Burst}
		keys[key] = state
	}
	state.lastUsed = now
	return state
}

// startCall brings a book's pending units to its count.
func (shadow *Shadow) startCall(i int, state *keyState, now time.Duration, shadowed *shadowRequest) Call {
	shadow.spend(i)
	shadow.lastID++
	window := countingrule.WindowAt(state.key, &state.plan, now)
	shadow.outstanding[shadow.lastID] = outstandingCall{side: i, state: state, window: window, sentAt: now, units: state.pending, request: shadowed}
	call := Call{window.Name, state.pending, window.TTL, shadow.lastID}
	state.pending, state.flushAt = 0, 0
	return call
}

func (shadow *Shadow) spend(side int) {
	shadow.sides[side].budget--
	shadow.Calls++
}

// scheduleFlush has a book's pending units go alone after a while.
func (shadow *Shadow) scheduleFlush(i int, state *keyState, now time.Duration) {
	if state.flushAt == 0 {
		state.flushAt = now + flushDelay
		shadow.sides[i].flushQueue = append(shadow.sides[i].flushQueue, state)
	}
}

// HandleCount takes a call's answer; read is false where none came or the counter turned it away. It gives the calls that
// follow: whoever finds a window untouched carries over what the one before lacked at its end, as the module does.
func (shadow *Shadow) HandleCount(now time.Duration, id uint64, count float64, answered bool) (calls []Call) {
	call, ok := shadow.outstanding[id]
	if !ok {
		return nil
	}
	delete(shadow.outstanding, id)
	state := call.state
	if call.readsPrevious {
		if deficit := state.plan.Burst - countingrule.Remaining(&state.plan, call.window, call.sentAt, count); answered && deficit > 0 {
			shadow.spend(call.side)
			window := countingrule.WindowAt(state.key, &state.plan, now)
			return []Call{{window.Name, deficit, window.TTL, 0}} // nobody waits for its answer
		}
		return nil
	}
	remaining := state.estimate(now)
	if answered {
		remaining = state.observe(call.window, call.sentAt, count)
		shadow.measureOverLimit(call, count)
		if count <= call.units && state.carriedWindow != call.window.Index {
			state.carriedWindow = call.window.Index
			calls = append(calls, shadow.readPreviousWindow(call))
		}
	} else if state.pending += call.units; state.pending > 0 {
		shadow.scheduleFlush(call.side, state, now)
	}
	if call.request != nil {
		call.request.estimated = call.request.estimated || !answered
		shadow.decide(call.side, state, call.request, now, remaining)
	}
	return calls
}

// readPreviousWindow reads the window before the one that a call found untouched.
func (shadow *Shadow) readPreviousWindow(call outstandingCall) Call {
	shadow.spend(call.side)
	shadow.lastID++
	end := call.window.Start - 1
	window := countingrule.WindowAt(call.state.key, &call.state.plan, end)
	shadow.outstanding[shadow.lastID] = outstandingCall{side: call.side, state: call.state, window: window, sentAt: end, readsPrevious: true}
	return Call{window.Name, 0, window.TTL, shadow.lastID}
}

// measureOverLimit counts what a call brought beyond the new rule's limit: let in, as the count lagged.
func (shadow *Shadow) measureOverLimit(call outstandingCall, count float64) {
	limit := call.state.plan.Burst + call.state.plan.Rate*(call.sentAt-call.window.Start).Seconds()
	if call.side == 1 && call.request != nil {
		call.request.overLimit = min(max(count-limit, 0), call.units)
	}
}

// decide is one side's word on a task.
func (shadow *Shadow) decide(i int, state *keyState, shadowed *shadowRequest, now time.Duration, remaining float64) {
	assignment := shadow.sides[i].rule.Assign(shadowed.request.Customer, shadowed.request.Class, shadowed.request.Plan)
	units := shadowed.request.Units * assignment.Weight
	if remaining-state.pending >= units {
		shadowed.admitted[i] = true
		state.pending += units
		shadow.scheduleFlush(i, state, now)
	}
	if shadowed.pending--; shadowed.pending == 0 {
		bucket, _ := shadow.sample.Bucket(shadowed.request.Customer)
		shadow.record(bucket, shadowed)
	}
}

// Flush gives the calls for units that no later task brought, as far as the budget reaches, and forgets keys long unseen.
func (shadow *Shadow) Flush(now time.Duration) (calls []Call) {
	if now < shadow.sweptAt+flushDelay/2 {
		return nil
	}
	shadow.sweptAt = now
	for i := range shadow.sides {
		side := &shadow.sides[i]
		remaining := side.flushQueue[:0]
		for _, state := range side.flushQueue {
			switch {
			case state.flushAt == 0: // a task brought them
			case now >= state.flushAt && side.budget >= 1:
				calls = append(calls, shadow.startCall(i, state, now, nil))
			default:
				remaining = append(remaining, state)
			}
		}
		clear(side.flushQueue[len(remaining):])
		side.flushQueue = remaining
		for key, state := range side.keys {
			if now > state.lastUsed+keyTTL && state.flushAt == 0 {
				delete(side.keys, key)
			}
		}
	}
	return calls
}
