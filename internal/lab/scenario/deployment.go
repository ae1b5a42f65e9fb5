package scenario

import (
	"time"

	"harrierhoist/policy"
)

// Deployment is what a gateway of this world is handed at its start.
func (w *World) Deployment(me int) policy.Settings {
	d := policy.Settings{
		Gateways: w.Gateways.Count, MyIndex: me, MyZone: me % w.Gateways.Halls, Zones: w.Gateways.Halls,
		ClockTick: 2 * time.Millisecond, HasCounter: w.Counter.Rate > 0, CountTimeout: w.Counter.Limit.D(), ReportsUnits: w.Load.Told > 0,
		MaxUnits: 3 * w.Load.Units, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		MaxAttempts: w.Gateways.Pushes, ArrivalSlack: w.Rules.AnswerSlack.D(), DrainGrace: w.Rules.DrainGrace.D(),
		WarmUpStart: w.Servers.ColdFrom, WarmUpTime: w.Servers.WarmAfter.D(), OverloadFactor: w.Rules.FallMultiple,
		OverloadSpan: w.Rules.TipAfter.D(),
	}
	effects := map[string]policy.Effect{"pure": policy.Idempotent, "receipted": policy.Keyed, "effectful": policy.NonIdempotent}
	groups := map[string]policy.Group{"all": policy.GroupAll, "hall": policy.GroupZone, "cell": policy.GroupRack}
	for _, l := range w.Lanes {
		d.Classes = append(d.Classes, policy.TrafficClass{
			Name: l.Name, LatencyObjective: l.SoftLimit.D(), Timeout: l.Patience.D(),
			Weight: l.Gain, LateFraction: l.Late, Effect: effects[l.Effect], Group: groups[l.Group], DedupWindow: l.Window.D(),
		})
	}
	for _, p := range w.Plans {
		d.Plans = append(d.Plans, policy.Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate,
			CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack, Price: p.Price, OverQuotaCost: p.OverCost,
		})
	}
	return d
}
