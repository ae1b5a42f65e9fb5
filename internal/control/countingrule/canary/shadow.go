package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

const (
	maxCallBudget = 64.0             // unspent calls that a side can accumulate
	flushDelay    = time.Second      // time after which a key's pending units are added without a request
	flushInterval = flushDelay / 2   // minimum time between two flushes
	keyTTL        = 60 * time.Second // after this time the counter has dropped all windows of an unused key
	maxKeys       = 50_000           // keys per side and process; requests for further keys are not evaluated
)

// The sides of the shadow evaluation.
const (
	oldSide = iota
	newSide
	sideCount
)

// Request is a request to be evaluated by Shadow.
type Request struct {
	Customer    uint64
	Class, Plan int // indexes in the settings
	Units       float64
}

// Shadow evaluates the old and the new rule on the sampled requests. Both sides use the same simple
// admission and separate counts, so that any difference in the outcome is due to the rules. It is
// not safe for concurrent use.
type Shadow struct {
	observations *observations
	sample       *Sample
	seed         uint64 // of the canary; hashed into the keys so that they match no key of a rule in force
	sides        [sideCount]side
	plans        []policy.Plan              // of the settings, by index
	callShare    float64                    // calls earned by both sides for each call of the gateway, from 0 to 1
	outstanding  map[uint64]outstandingCall // by Call.ID
	lastCallID   uint64
	lastFlushAt  time.Duration
}

// side is the evaluation of one of the two rules.
type side struct {
	rule       *countingrule.Resolved
	keys       map[uint64]*keyState
	flushQueue []*keyState // keys with a scheduled flush, oldest first; a request may have canceled it
	// callBudget is the number of calls that this side may make. Each side earns half of the
	// evaluation's calls, so that both read counts equally often. Follow-up calls can make the
	// budget negative.
	callBudget float64
}

// shadowRequest is the evaluation of one request on both sides.
type shadowRequest struct {
	request      Request
	pendingSides int // number of sides that have not decided yet
	admitted     [sideCount]bool
	overLimit    float64 // units admitted by the new rule beyond its limit
	estimated    bool    // at least one side decided without a count
}

// NewShadow returns a shadow evaluation of two rules. seed is the seed of the canary. callsPermille
// is the share of the gateway's calls to the counter that the evaluation may make in addition.
func NewShadow(
	sample *Sample, oldRule, newRule *countingrule.Resolved, settings policy.Settings, seed, callsPermille uint64,
) *Shadow {
	s := &Shadow{
		observations: newObservations(Fingerprint(seed)),
		sample:       sample,
		seed:         seed,
		callShare:    countingrule.PermilleFraction(callsPermille),
		outstanding:  map[uint64]outstandingCall{},
	}
	for i := range s.sides {
		s.sides[i].keys = map[uint64]*keyState{}
	}
	s.Reconfigure(oldRule, newRule, settings)
	return s
}

// Reconfigure replaces the settings and the same two rules resolved against them. Classes and plans
// must keep their indexes.
func (s *Shadow) Reconfigure(oldRule, newRule *countingrule.Resolved, settings policy.Settings) {
	s.sides[oldSide].rule = oldRule
	s.sides[newSide].rule = newRule
	s.plans = settings.Plans
	s.observations.setNames(settings)
}

// AddBudget adds to each side's call budget its share for n calls that the gateway made for its own
// requests.
func (s *Shadow) AddBudget(n uint64) {
	for i := range s.sides {
		s.sides[i].callBudget = min(s.sides[i].callBudget+s.callShare/sideCount*float64(n), maxCallBudget)
	}
}

// IsSampled reports whether a customer is in the sample.
func (s *Shadow) IsSampled(customer uint64) bool {
	_, sampled := s.sample.Bucket(customer)
	return sampled
}

// Report calls add with the name and the value of each observation of this process.
func (s *Shadow) Report(add func(name string, n uint64)) { s.observations.report(add) }

// RecordActual counts the actual outcome of a sampled request: the version that counted it, its
// units, and whether it was forwarded.
func (s *Shadow) RecordActual(version uint64, units float64, forwarded bool) {
	s.observations.recordActual(version, units, forwarded)
}

// CallCount returns the number of calls to the counter that the evaluation has requested.
func (s *Shadow) CallCount() uint64 { return s.observations.calls }

// HandleRequest evaluates a request if its customer is sampled and its plan has a rate. The caller
// must make the returned calls to the counter.
func (s *Shadow) HandleRequest(now time.Duration, request Request) (calls []Call) {
	if !s.IsSampled(request.Customer) || s.plans[request.Plan].Rate <= 0 {
		return nil
	}
	var states [sideCount]*keyState
	var keys [sideCount]uint64
	for i := range s.sides {
		assignment := s.sides[i].rule.Assign(request.Customer, request.Class, request.Plan)
		state := s.openKey(i, assignment, now)
		if state == nil {
			return nil
		}
		keys[i] = assignment.Key
		states[i] = state
	}
	s.observations.trackKeys(keys[oldSide], keys[newSide])
	estimated := !s.canReadCounts()
	shadowed := &shadowRequest{request: request, pendingSides: sideCount, estimated: estimated}
	for i, state := range states {
		if estimated {
			s.decideOnSide(i, state, shadowed, now, state.estimateRemaining(now))
			continue
		}
		calls = append(calls, s.startCall(i, state, now, shadowed))
	}
	return calls
}

// canReadCounts reports whether both sides have the budget for a call. Either both sides read a
// count for a request or neither does.
func (s *Shadow) canReadCounts() bool {
	return min(s.sides[oldSide].callBudget, s.sides[newSide].callBudget) >= 1
}

// openKey returns the state of a key on a side and creates it if needed. It returns nil if the side
// has maxKeys keys already.
func (s *Shadow) openKey(side int, assignment countingrule.Assignment, now time.Duration) *keyState {
	keys := s.sides[side].keys
	key := countingrule.Hash(s.seed, uint64(side), assignment.Version, assignment.Key)
	state := keys[key]
	if state == nil {
		if len(keys) >= maxKeys {
			return nil
		}
		plan := s.plans[assignment.Plan]
		window := countingrule.WindowAt(key, &plan, now)
		state = &keyState{key: key, plan: plan, window: window, countReadAt: now, remainingUnits: plan.Burst}
		keys[key] = state
	}
	state.lastUsed = now
	return state
}

// decideOnSide decides whether one side admits a request, given the units that remain for its key
// before pending units are subtracted. It records the request once both sides have decided.
func (s *Shadow) decideOnSide(
	side int, state *keyState, shadowed *shadowRequest, now time.Duration, remaining float64,
) {
	request := &shadowed.request
	assignment := s.sides[side].rule.Assign(request.Customer, request.Class, request.Plan)
	units := request.Units * assignment.Weight
	if remaining-state.pendingUnits >= units {
		shadowed.admitted[side] = true
		state.pendingUnits += units
		s.sides[side].scheduleFlush(state, now)
	}
	shadowed.pendingSides--
	if shadowed.pendingSides == 0 {
		bucket, _ := s.sample.Bucket(request.Customer)
		s.observations.record(bucket, shadowed)
	}
}

// scheduleFlush schedules a flush of a key's pending units after flushDelay, unless there is one.
func (s *side) scheduleFlush(state *keyState, now time.Duration) {
	if !state.isFlushScheduled() {
		state.flushAt = now + flushDelay
		s.flushQueue = append(s.flushQueue, state)
	}
}

// forgetUnused removes the keys that have been unused for longer than keyTTL and have no scheduled
// flush.
func (s *side) forgetUnused(now time.Duration) {
	for key, state := range s.keys {
		if now > state.lastUsed+keyTTL && !state.isFlushScheduled() {
			delete(s.keys, key)
		}
	}
}
