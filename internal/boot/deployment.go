package boot

import (
	"fmt"
	"math"
	"time"

	"harrierhoist/policy"
)

// Span turns milliseconds into a time, to the microsecond, which is as fine as the settings are.
func Span(ms float64) time.Duration { return time.Duration(math.Round(ms*1000)) * time.Microsecond }

// Deployment reads what the module is handed at its start.
func Deployment(p *Pairs) (policy.Deployment, error) {
	ms := func(path string) time.Duration { return Span(p.Number(path)) }
	p.Need("Balancers", "Me", "MyZone", "RequestClasses.count", "TiersOfService.count",
		"Rules.DrainGraceMs", "Rules.ColdFrom", "Rules.WarmAfterMs", "Rules.FallMultiple", "Rules.TipAfterMs",
		"PolicyLimits.TryLimit")
	d := policy.Deployment{
		Gateways: p.Int("Balancers"), Me: p.Int("Me"), MyHall: p.Int("MyZone"), Halls: len(p.List("Dcs")),
		AskForList: p.Text("Discovery") == "ask", MustAskIn: ms("Rules.MustAskInMs"), Tick: ms("TickMs"),
		HasCounter: p.Flag("FamilyInfo.HasCounter"), CountLimit: ms("FamilyInfo.CountLimitMs"),
		Settles: p.Flag("FamilyInfo.Settles"), Meter: ms("FamilyInfo.MeterMs"), MostUnits: p.Number("FamilyInfo.MostUnits"),
		InboxPerS: p.Number("FamilyInfo.InboxPerS"),
		Peers:     p.Flag("PolicyLimits.Peers"), Probes: p.Flag("PolicyLimits.Probes"),
		Cancelling: p.Flag("PolicyLimits.Cancelling"), RetryAfter: p.Flag("PolicyLimits.RetryAfter"),
		MaxRetryAfter: ms("PolicyLimits.MaxRetryAfterMs"), TwoAtOnce: p.Flag("PolicyLimits.SecondCopies"),
		PushLimit: p.Int("PolicyLimits.TryLimit"), AnswerSlack: ms("Rules.AnswerSlackMs"),
		DrainGrace: ms("Rules.DrainGraceMs"), ColdFrom: p.Number("Rules.ColdFrom"),
		WarmAfter: ms("Rules.WarmAfterMs"), FallMultiple: p.Number("Rules.FallMultiple"),
		TipAfter: ms("Rules.TipAfterMs"), Reports: p.List("Report.Fields"),
	}
	p.Within("Balancers", 1, math.MaxUint16)
	p.Within("Me", 0, float64(d.Gateways-1))
	p.Within("PolicyLimits.TryLimit", 1, math.MaxUint16)
	p.Within("Rules.ColdFrom", 0, 1)
	for _, path := range []string{"FamilyInfo.CountLimitMs", "FamilyInfo.MeterMs", "FamilyInfo.MostUnits", "FamilyInfo.InboxPerS",
		"PolicyLimits.MaxRetryAfterMs", "Rules.AnswerSlackMs", "Rules.DrainGraceMs", "Rules.WarmAfterMs", "Rules.FallMultiple",
		"Rules.MustAskInMs", "Rules.TipAfterMs", "TickMs"} {
		p.Within(path, 0, most)
	}
	if p.Err() != nil {
		return d, p.Err()
	}
	for i := range p.Int("RequestClasses.count") {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		p.Need(at+"AimMs", at+"DeadlineMs", at+"Effect")
		l := policy.Lane{Name: p.Text(at + "Name"), SoftLimit: ms(at + "AimMs"), Patience: ms(at + "DeadlineMs"),
			Gain: p.Number(at + "Worth"), LateShare: p.Number(at + "LateShare"), Window: ms(at + "WindowMs"),
			Stream: p.Flag(at + "Stream")}
		p.Within(at+"AimMs", least, most)
		p.Within(at+"DeadlineMs", least, most)
		p.Within(at+"Worth", 0, most)
		p.Within(at+"LateShare", 0, 1)
		p.Within(at+"WindowMs", 0, most)
		l.Effect = policy.Effect(p.Choice(at+"Effect", "read_like", "idempotency_key", "non_idempotent"))
		if l.Effect == policy.Receipted {
			l.Group = policy.Group(p.Choice(at+"Group", "all", "zone", "cell"))
		}
		d.Lanes = append(d.Lanes, l)
	}
	for i := range p.Int("TiersOfService.count") {
		at := fmt.Sprintf("TiersOfService.%d.", i)
		for _, key := range []string{"UnitsPerS", "PeakUnits", "Concurrency", "CeilingRate", "CapDepth", "CeilingSlack", "Pays",
			"BeyondEarns", "OverCost"} {
			p.Within(at+key, 0, most)
		}
		d.Plans = append(d.Plans, policy.Plan{Name: p.Text(at + "Name"), Rate: p.Number(at + "UnitsPerS"),
			Burst: p.Number(at + "PeakUnits"), AtOnce: p.Int(at + "Concurrency"),
			CeilingRate:  p.Number(at + "CeilingRate"),
			CeilingBurst: p.Number(at + "CapDepth"), CeilingSlack: p.Number(at + "CeilingSlack"),
			Price: p.Number(at + "Pays"), OverGain: p.Number(at + "BeyondEarns"), OverCost: p.Number(at + "OverCost")})
	}
	p.once("RequestClasses", len(d.Lanes), func(i int) string { return d.Lanes[i].Name })
	p.once("TiersOfService", len(d.Plans), func(i int) string { return d.Plans[i].Name })
	return d, p.Err()
}

// The ranges of figures: what lies outside them is a slip.
const (
	least = 0.001 // a microsecond, in milliseconds
	most  = 1e9
)
