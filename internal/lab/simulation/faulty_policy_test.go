package simulation

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/policy"
)

// faultyPolicy is the module with one fault. It is between the module and its host, and passes all
// calls on but those that the fault changes.
type faultyPolicy struct {
	baseline.Policy
	policy.Host
	settings       policy.Settings
	changeEndpoint func(endpoint *policy.Endpoint) // nil: none is changed
	everListed     map[uint32]policy.Endpoint      // endpoints that it never removes; nil: it removes them
	dropEvery      int                             // one rejection in so many is dropped; 0: none
	rejections     int
	repeats        bool // attempts that may have run are sent once more
	repeated       map[uint32]bool
	attempts       map[uint32]lastAttempt
	effects        map[uint32]policy.Effect
}

// lastAttempt is the latest attempt of a request.
type lastAttempt struct {
	server   uint32
	deadline time.Duration
}

func (f *faultyPolicy) Reject(requestID uint32, retryAfter time.Duration) {
	if f.rejections++; f.dropEvery > 0 && f.rejections%f.dropEvery == 0 {
		return
	}
	f.Host.Reject(requestID, retryAfter)
}

func (f *faultyPolicy) Attempt(requestID, server uint32, deadline time.Duration) {
	f.attempts[requestID] = lastAttempt{server, deadline}
	f.Host.Attempt(requestID, server, deadline)
}

func (f *faultyPolicy) HandleRequest(now time.Duration, request policy.Request) {
	f.effects[request.ID] = f.settings.Classes[request.Class].Effect
	f.Policy.HandleRequest(now, request)
}

func (f *faultyPolicy) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	if f.changeEndpoint != nil {
		for i := range list {
			f.changeEndpoint(&list[i])
		}
	}
	if f.everListed != nil {
		for _, endpoint := range list {
			f.everListed[endpoint.Server] = endpoint
		}
		list = nil
		for _, server := range slices.Sorted(maps.Keys(f.everListed)) {
			list = append(list, f.everListed[server])
		}
	}
	f.Policy.HandleEndpoints(now, kind, list)
}

func (f *faultyPolicy) HandleAttemptResult(now time.Duration, result policy.AttemptResult) {
	id, last := result.RequestID, f.attempts[result.RequestID]
	mayHaveRun := result.Outcome == policy.TimedOut || result.Outcome == policy.Reset ||
		result.Outcome == policy.Errored
	if f.repeats && mayHaveRun && f.effects[id] == policy.NonIdempotent && !f.repeated[id] && now < last.deadline {
		f.repeated[id] = true
		f.Host.Attempt(id, last.server, last.deadline) // the module gets the result of the second attempt alone
		return
	}
	f.Policy.HandleAttemptResult(now, result)
}

// withFault makes the module with one fault.
func withFault(add func(f *faultyPolicy, settings *policy.Settings)) baseline.Constructor {
	return func(settings policy.Settings, seed int64, host policy.Host) (baseline.Policy, error) {
		f := &faultyPolicy{
			Host: host, settings: settings, repeated: map[uint32]bool{}, attempts: map[uint32]lastAttempt{},
			effects: map[uint32]policy.Effect{},
		}
		add(f, &settings)
		module, err := policy.New(settings, seed, f)
		f.Policy = module
		return policyOnly{f}, err
	}
}

// policyOnly hides the host's methods of a faulty policy.
type policyOnly struct{ baseline.Policy }
