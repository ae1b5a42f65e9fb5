package scenario

import (
	"time"

	"harrierhoist/policy"
)

// Deployment is what a gateway of this world is handed at its start.
func (s *Scenario) PolicySettings(me int) policy.Settings {
	d := policy.Settings{
		Gateways: s.Gateways.Count, MyIndex: me, MyZone: me % s.Gateways.Zones, Zones: s.Gateways.Zones,
		ClockTick: 2 * time.Millisecond, HasCounter: s.Counter.Rate > 0, CountTimeout: s.Counter.Timeout.D(), ReportsUnits: s.Load.DeclaredDeviation > 0,
		MaxUnits: 3 * s.Load.MeanUnits, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		MaxAttempts: s.Gateways.MaxAttempts, ArrivalSlack: s.Rules.AnswerSlack.D(), DrainGrace: s.Rules.DrainGrace.D(),
		WarmUpStart: s.Servers.WarmUpStart, WarmUpTime: s.Servers.WarmUpTime.D(), OverloadFactor: s.Rules.OverloadFactor,
		OverloadSpan: s.Rules.OverloadSpan.D(),
	}
	effects := map[string]policy.Effect{"pure": policy.Idempotent, "receipted": policy.Keyed, "effectful": policy.NonIdempotent}
	groups := map[string]policy.Group{"all": policy.GroupAll, "hall": policy.GroupZone, "cell": policy.GroupRack}
	for _, l := range s.Classes {
		d.Classes = append(d.Classes, policy.TrafficClass{
			Name: l.Name, LatencyObjective: l.LatencyObjective.D(), Timeout: l.Timeout.D(),
			Weight: l.Weight, LateFraction: l.LateFraction, Effect: effects[l.Effect], Group: groups[l.Group], DedupWindow: l.DedupWindow.D(),
		})
	}
	for _, p := range s.Plans {
		d.Plans = append(d.Plans, policy.Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate,
			CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack, Price: p.Price, OverQuotaCost: p.OverQuotaCost,
		})
	}
	return d
}
