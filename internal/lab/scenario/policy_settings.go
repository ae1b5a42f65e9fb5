package scenario

import (
	"time"

	"harrierhoist/policy"
)

const (
	// clockTick is the resolution of the gateways' clocks.
	clockTick = 2 * time.Millisecond
	// maxRetryAfter is the longest Retry-After of an answer.
	maxRetryAfter = 2 * time.Second
)

// effects and groups are the policy's values for the words of the file.
var (
	effects = map[string]policy.Effect{
		EffectIdempotent: policy.Idempotent, EffectKeyed: policy.Keyed, EffectNonIdempotent: policy.NonIdempotent,
	}
	groups = map[string]policy.Group{
		GroupAll: policy.GroupAll, GroupZone: policy.GroupZone, GroupRack: policy.GroupRack,
	}
)

// PolicySettings are the settings of the policy on the gateway at an index.
func (s *Scenario) PolicySettings(index int) policy.Settings {
	settings := policy.Settings{
		Gateways: s.Gateways.Count, GatewayIndex: index, GatewayZone: index % s.Gateways.Zones, Zones: s.Gateways.Zones,
		ClockTick: clockTick, HasCounter: s.Counter.Rate > 0, LateCountAfter: s.Counter.Timeout.D(),
		ReportsUnits: s.Load.DeclaredDeviation > 0, MaxUnits: s.Load.MaxUnits(), CanCancel: true, SendsRetryAfter: true,
		MaxRetryAfter: maxRetryAfter, MaxAttempts: s.Gateways.MaxAttempts, ArrivalSlack: s.Rules.AnswerSlack.D(),
		DrainGrace: s.Rules.DrainGrace.D(), WarmUpStart: s.Servers.WarmUpStart, WarmUpTime: s.Servers.WarmUpTime.D(),
		OverloadFactor: s.Rules.OverloadFactor, OverloadSpan: s.Rules.OverloadSpan.D(),
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		settings.Classes = append(settings.Classes, policy.TrafficClass{
			Name:             class.Name,
			LatencyObjective: class.LatencyObjective.D(),
			Timeout:          class.Timeout.D(),
			Weight:           class.Weight,
			LateFraction:     class.LateFraction,
			Effect:           effects[class.Effect],
			Group:            groups[class.Group],
			DedupWindow:      class.DedupWindow.D(),
		})
	}
	for i := range s.Plans {
		plan := &s.Plans[i]
		settings.Plans = append(settings.Plans, policy.Plan{
			Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst, CeilingRate: plan.CeilingRate,
			CeilingBurst: plan.CeilingBurst, CeilingSlack: plan.CeilingSlack, Price: plan.Price,
			OverQuotaCost: plan.OverQuotaCost,
		})
	}
	return settings
}
