// Package baseline has the plain policies that the module's results are compared with. Package
// simulation runs them in place of the module.
//
// They have the module's interface and keep the rules that need no knowledge of other gateways: one
// final answer to each request, no attempt at a server that is not listed as ready, no second
// attempt of a request that may have run.
package baseline

import (
	"time"

	"harrierhoist/policy"
)

// Policy is the module's interface as its host uses it; see policy.Gateway.
type Policy interface {
	SetSharingGateways(sharers float64)
	HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint)
	HandleRequest(now time.Duration, r policy.Request)
	HandleAttemptResult(now time.Duration, result policy.AttemptResult)
	HandleDisconnect(now time.Duration, requestID uint32)
	HandleTimer(now time.Duration, token uint64)
	HandleCount(now time.Duration, result policy.CountResult)
}

// Constructor makes a policy. The seed is of its random numbers.
type Constructor func(settings policy.Settings, seed int64, host policy.Host) (Policy, error)

// ByName has all policies.
var ByName = map[string]Constructor{"module": Module, "random": Random, "even": Even, "bucket": Bucket}

// Names are the names of the policies in the order of tables.
var Names = []string{"module", "random", "even", "bucket"}

// Module makes the module itself.
func Module(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	return policy.New(settings, seed, host)
}

// Random admits every request, and sends it to a server drawn at random.
func Random(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newPlainPolicy(settings, seed, host)
	p.quotaShare = func(policy.Request) float64 { return 0 }
	p.pickServer = p.randomServer
	return p, nil
}

// Even gives each gateway of a customer's set an equal share of the quota, and sends a request to
// the server with the fewest attempts of this gateway in flight.
func Even(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newPlainPolicy(settings, seed, host)
	p.quotaShare = func(r policy.Request) float64 { return 1 / float64(max(r.GatewayCount, 1)) }
	p.pickServer = p.leastLoaded
	return p, nil
}

// Bucket gives each gateway the whole quota of a customer, and sends a request to the better of two
// servers drawn at random.
func Bucket(settings policy.Settings, seed int64, host policy.Host) (Policy, error) {
	p := newPlainPolicy(settings, seed, host)
	p.quotaShare = func(policy.Request) float64 { return 1 }
	p.pickServer = p.betterOfTwo
	return p, nil
}
