package world

import (
	"time"

	"harrierhoist/policy"
)

// Deployment is what a gateway of this world is handed at its start.
func (w *World) Deployment(me int) policy.Deployment {
	d := policy.Deployment{
		Gateways: w.Gateways.Count, Me: me, MyHall: me % w.Gateways.Halls, Halls: w.Gateways.Halls,
		Tick: 2 * time.Millisecond, HasCounter: w.Counter.Rate > 0, CountLimit: w.Counter.Limit.D(), Settles: w.Load.Told > 0,
		MostUnits: 3 * w.Load.Units, Cancelling: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
		PushLimit: w.Gateways.Pushes, AnswerSlack: w.Rules.AnswerSlack.D(), DrainGrace: w.Rules.DrainGrace.D(),
		ColdFrom: w.Servers.ColdFrom, WarmAfter: w.Servers.WarmAfter.D(), FallMultiple: w.Rules.FallMultiple,
		TipAfter: w.Rules.TipAfter.D(),
	}
	effects := map[string]policy.Effect{"pure": policy.Pure, "receipted": policy.Receipted, "effectful": policy.Effectful}
	groups := map[string]policy.Group{"all": policy.GroupAll, "hall": policy.GroupHall, "cell": policy.GroupCell}
	for _, l := range w.Lanes {
		d.Lanes = append(d.Lanes, policy.Lane{Name: l.Name, SoftLimit: l.SoftLimit.D(), Patience: l.Patience.D(),
			Gain: l.Gain, LateShare: l.Late, Effect: effects[l.Effect], Group: groups[l.Group], Window: l.Window.D()})
	}
	for _, p := range w.Plans {
		d.Plans = append(d.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, CeilingRate: p.CeilingRate,
			CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack, Price: p.Price, OverCost: p.OverCost})
	}
	return d
}
