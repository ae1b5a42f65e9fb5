package config

import (
	"fmt"
	"math"
	"time"

	"harrierhoist/policy"
)

// Milliseconds turns milliseconds into a time, to the microsecond, which is as fine as the settings are.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// ReadSettings reads what the module is handed at its start.
func ReadSettings(values *Values) (policy.Settings, error) {
	ms := func(path string) time.Duration { return Milliseconds(values.Number(path)) }
	values.Require("Balancers", "Me", "MyZone", "RequestClasses.count", "TiersOfService.count",
		"Rules.DrainGraceMs", "Rules.ColdFrom", "Rules.WarmAfterMs", "Rules.FallMultiple", "Rules.TipAfterMs",
		"PolicyLimits.TryLimit")
	settings := policy.Settings{
		Gateways: values.Int("Balancers"), MyIndex: values.Int("Me"), MyZone: values.Int("MyZone"), Zones: len(values.List("Dcs")),
		PollList: values.Text("Discovery") == "ask", MaxListAge: ms("Rules.MustAskInMs"), ClockTick: ms("TickMs"),
		HasCounter: values.Bool("FamilyInfo.HasCounter"), CountTimeout: ms("FamilyInfo.CountLimitMs"),
		ReportsUnits: values.Bool("FamilyInfo.Settles"), UsageSpan: ms("FamilyInfo.MeterMs"), MaxUnits: values.Number("FamilyInfo.MostUnits"),
		MailboxRate: values.Number("FamilyInfo.InboxPerS"),
		Peers:       values.Bool("PolicyLimits.Peers"), HealthChecks: values.Bool("PolicyLimits.Probes"),
		CanCancel: values.Bool("PolicyLimits.Cancelling"), RetryAfter: values.Bool("PolicyLimits.RetryAfter"),
		MaxRetryAfter: ms("PolicyLimits.MaxRetryAfterMs"), AllowHedging: values.Bool("PolicyLimits.SecondCopies"),
		MaxAttempts: values.Int("PolicyLimits.TryLimit"), ArrivalSlack: ms("Rules.AnswerSlackMs"),
		DrainGrace: ms("Rules.DrainGraceMs"), WarmUpStart: values.Number("Rules.ColdFrom"),
		WarmUpTime: ms("Rules.WarmAfterMs"), OverloadFactor: values.Number("Rules.FallMultiple"),
		OverloadSpan: ms("Rules.TipAfterMs"), LoadReportFields: values.List("Report.Fields"),
	}
	values.RequireRange("Balancers", 1, math.MaxUint16)
	values.RequireRange("Me", 0, float64(settings.Gateways-1))
	values.RequireRange("PolicyLimits.TryLimit", 1, math.MaxUint16)
	values.RequireRange("Rules.ColdFrom", 0, 1)
	for _, path := range []string{"FamilyInfo.CountLimitMs", "FamilyInfo.MeterMs", "FamilyInfo.MostUnits", "FamilyInfo.InboxPerS",
		"PolicyLimits.MaxRetryAfterMs", "Rules.AnswerSlackMs", "Rules.DrainGraceMs", "Rules.WarmAfterMs", "Rules.FallMultiple",
		"Rules.MustAskInMs", "Rules.TipAfterMs", "TickMs"} {
		values.RequireRange(path, 0, maxFigure)
	}
	if values.Err() != nil {
		return settings, values.Err()
	}
	for i := range values.Int("RequestClasses.count") {
		prefix := fmt.Sprintf("RequestClasses.%d.", i)
		values.Require(prefix+"AimMs", prefix+"DeadlineMs", prefix+"Effect")
		class := policy.TrafficClass{Name: values.Text(prefix + "Name"), LatencyObjective: ms(prefix + "AimMs"), Timeout: ms(prefix + "DeadlineMs"),
			Weight: values.Number(prefix + "Worth"), LateFraction: values.Number(prefix + "LateShare"), DedupWindow: ms(prefix + "WindowMs"),
			Stream: values.Bool(prefix + "Stream")}
		values.RequireRange(prefix+"AimMs", minPositive, maxFigure)
		values.RequireRange(prefix+"DeadlineMs", minPositive, maxFigure)
		values.RequireRange(prefix+"Worth", 0, maxFigure)
		values.RequireRange(prefix+"LateShare", 0, 1)
		values.RequireRange(prefix+"WindowMs", 0, maxFigure)
		class.Effect = policy.Effect(values.Enum(prefix+"Effect", "read_like", "idempotency_key", "non_idempotent"))
		if class.Effect == policy.Keyed {
			class.Group = policy.Group(values.Enum(prefix+"Group", "all", "zone", "cell"))
		}
		settings.Classes = append(settings.Classes, class)
	}
	for i := range values.Int("TiersOfService.count") {
		prefix := fmt.Sprintf("TiersOfService.%d.", i)
		for _, key := range []string{"UnitsPerS", "PeakUnits", "Concurrency", "CeilingRate", "CapDepth", "CeilingSlack", "Pays",
			"BeyondEarns", "OverCost"} {
			values.RequireRange(prefix+key, 0, maxFigure)
		}
		settings.Plans = append(settings.Plans, policy.Plan{Name: values.Text(prefix + "Name"), Rate: values.Number(prefix + "UnitsPerS"),
			Burst: values.Number(prefix + "PeakUnits"), MaxInFlight: values.Int(prefix + "Concurrency"),
			CeilingRate:  values.Number(prefix + "CeilingRate"),
			CeilingBurst: values.Number(prefix + "CapDepth"), CeilingSlack: values.Number(prefix + "CeilingSlack"),
			Price: values.Number(prefix + "Pays"), OverQuotaWeight: values.Number(prefix + "BeyondEarns"), OverQuotaCost: values.Number(prefix + "OverCost")})
	}
	values.requireUnique("RequestClasses", len(settings.Classes), func(i int) string { return settings.Classes[i].Name })
	values.requireUnique("TiersOfService", len(settings.Plans), func(i int) string { return settings.Plans[i].Name })
	return settings, values.Err()
}

// The ranges of figures: what lies outside them is a slip.
const (
	minPositive = 0.001 // a microsecond, in milliseconds
	maxFigure   = 1e9
)
