package canary

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

const (
	maxBudget     = 64.0             // calls that a side may have earned and not made
	flushDelay    = time.Second      // until a key's units are added without a request
	sweepInterval = flushDelay / 2   // between two flushes
	keyTTL        = 60 * time.Second // of an unused key: the counter has dropped its windows by then
	maxKeys       = 50_000           // of a side at one process; further keys are not evaluated
)

// The sides of the shadow evaluation.
const (
	oldSide = iota
	newSide
	sideCount
)

// Request is a request as the shadow evaluation sees it.
type Request struct {
	Customer    uint64
	Class, Plan int // indexes in the settings
	Units       float64
}

// Shadow evaluates the old rule and the new one on the sampled requests, both by the same plain
// admission and by counts of their own: no difference has a cause beside the rules. Not safe for
// use by several goroutines at once.
type Shadow struct {
	observations *observations
	sample       *Sample
	seed         uint64 // of the canary: hashed into the keys, so that their names are no rule's
	sides        [sideCount]side
	plans        []policy.Plan
	callShare    float64 // from 0 to 1, of a call that each call of the gateway earns
	outstanding  map[uint64]outstandingCall
	lastID       uint64
	sweptAt      time.Duration
}

// side is one of the two rules with its keys.
type side struct {
	rule       *countingrule.Resolved
	keys       map[uint64]*keyState
	flushQueue []*keyState // keys whose units may need a flush, the oldest first
	// budget is how many calls this side may make. Each side has half of the evaluation's calls, so
	// that both read counts equally often.
	budget float64
}

// shadowRequest is one request on both sides.
type shadowRequest struct {
	request   Request
	pending   int // sides that await a count
	admitted  [sideCount]bool
	overLimit float64 // units admitted by the new rule beyond its limit
	estimated bool    // a side decided without a count
}

// NewShadow begins a shadow evaluation. The seed is the canary's own, callsPermille the share of
// the gateway's calls to the counter that may be spent on it.
func NewShadow(
	sample *Sample, old, next *countingrule.Resolved, settings policy.Settings, seed, callsPermille uint64,
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
	s.Reconfigure(old, next, settings)
	return s
}

// Reconfigure continues with the same rules under other settings; classes and plans keep their
// indexes.
func (s *Shadow) Reconfigure(old, next *countingrule.Resolved, settings policy.Settings) {
	s.sides[oldSide].rule = old
	s.sides[newSide].rule = next
	s.plans = settings.Plans
	s.observations.setNames(settings)
}

// AddBudget lets each side earn its share of n calls that the gateway made for its requests.
func (s *Shadow) AddBudget(n uint64) {
	for i := range s.sides {
		s.sides[i].budget = min(s.sides[i].budget+s.callShare/sideCount*float64(n), maxBudget)
	}
}

// IsSampled tells whether a customer is in the sample.
func (s *Shadow) IsSampled(customer uint64) bool {
	_, sampled := s.sample.Bucket(customer)
	return sampled
}

// Report gives what this process counted, by the names of the observations.
func (s *Shadow) Report(add func(name string, n uint64)) { s.observations.report(add) }

// RecordActual counts the actual outcome of a sampled request: the version that it was admitted
// under, its units, and whether it was forwarded.
func (s *Shadow) RecordActual(version uint64, units float64, forwarded bool) {
	s.observations.recordActual(version, units, forwarded)
}

// CallCount is how many calls to the counter the evaluation has made.
func (s *Shadow) CallCount() uint64 { return s.observations.calls }

// HandleRequest evaluates a request, if it is in the sample, and gives the calls to be made for it.
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
	shadowed := &shadowRequest{request: request, pending: sideCount, estimated: estimated}
	for i, state := range states {
		if estimated {
			s.decide(i, state, shadowed, now, state.estimate(now))
			continue
		}
		calls = append(calls, s.startCall(i, state, now, shadowed))
	}
	return calls
}

// canReadCounts decides whether a request is evaluated by counts. Both sides read one, or neither
// does.
func (s *Shadow) canReadCounts() bool {
	return min(s.sides[oldSide].budget, s.sides[newSide].budget) >= 1
}

// openKey finds a key's state on a side; nil where the side has too many keys.
func (s *Shadow) openKey(i int, assignment countingrule.Assignment, now time.Duration) *keyState {
	keys := s.sides[i].keys
	key := countingrule.Hash(s.seed, uint64(i), assignment.Version, assignment.Key)
	state := keys[key]
	if state == nil {
		if len(keys) >= maxKeys {
			return nil
		}
		plan := s.plans[assignment.Plan]
		window := countingrule.WindowAt(key, &plan, now)
		state = &keyState{key: key, plan: plan, window: window, sampledAt: now, remaining: plan.Burst}
		keys[key] = state
	}
	state.lastUsed = now
	return state
}

// decide decides whether one side admits a request, by the units that remain of its key, and
// records the request once both sides have decided.
func (s *Shadow) decide(i int, state *keyState, shadowed *shadowRequest, now time.Duration, remaining float64) {
	request := &shadowed.request
	assignment := s.sides[i].rule.Assign(request.Customer, request.Class, request.Plan)
	units := request.Units * assignment.Weight
	if remaining-state.pending >= units {
		shadowed.admitted[i] = true
		state.pending += units
		s.sides[i].scheduleFlush(state, now)
	}
	shadowed.pending--
	if shadowed.pending == 0 {
		bucket, _ := s.sample.Bucket(request.Customer)
		s.observations.record(bucket, shadowed)
	}
}

// scheduleFlush has a key's pending units added alone after flushDelay.
func (s *side) scheduleFlush(state *keyState, now time.Duration) {
	if !state.isFlushScheduled() {
		state.flushAt = now + flushDelay
		s.flushQueue = append(s.flushQueue, state)
	}
}

// forgetUnused forgets the keys whose windows the counter has dropped by now.
func (s *side) forgetUnused(now time.Duration) {
	for key, state := range s.keys {
		if now > state.lastUsed+keyTTL && !state.isFlushScheduled() {
			delete(s.keys, key)
		}
	}
}
