package conformance

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/policy"
)

// moduleVariants are the states that change how the module is made or what its events carry.
var moduleVariants = []Variant{
	{
		Name: "rules' plans", Description: "the plans of a counting rule are appended to those of the settings",
		Module: func(settings policy.Settings, seed int64, host policy.Host) (Module, error) {
			return policy.New(countingrule.WithRulePlans(settings, []countingrule.Rule{customerRule}), seed, host)
		},
	},
	{
		Name: "elective preferred", Description: "each request prefers the owner of an additional, elective server",
		Module: withElectiveServer(electiveOwner),
	},
	{
		Name: "elective present", Description: "the list has an elective server, and no request prefers its owner",
		Module: withElectiveServer(0), Forbidden: []string{"attempt * elective"},
	},
}

// electiveOwner is the owner of the elective servers.
const electiveOwner = 2

// electiveModule is a module whose endpoint list has an elective server more, with requests that
// prefer its owner, or nobody if preferOwner is 0.
type electiveModule struct {
	Module
	preferOwner int
}

func withElectiveServer(preferOwner int) func(policy.Settings, int64, policy.Host) (Module, error) {
	return func(settings policy.Settings, seed int64, host policy.Host) (Module, error) {
		module, err := policy.New(settings, seed, host)
		return electiveModule{module, preferOwner}, err
	}
}

// HandleEndpoints adds the elective server.
func (e electiveModule) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	elective := policy.Endpoint{
		Server: serverCount + 1, State: policy.Ready, Capacity: 1, Owner: electiveOwner,
		Elective: true,
	}
	e.Module.HandleEndpoints(now, kind, append(list, elective))
}

// HandleRequest sets the preferred owner.
func (e electiveModule) HandleRequest(now time.Duration, request policy.Request) {
	request.PreferredOwner = e.preferOwner
	e.Module.HandleRequest(now, request)
}
