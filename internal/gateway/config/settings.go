package config

import (
	"fmt"
	"math"
	"time"

	"harrierhoist/policy"
)

// Ranges of figures. What lies outside them is a slip.
const (
	minPositive = 0.001 // of times that must not be 0: a microsecond, in milliseconds
	maxFigure   = 1e9   // of any figure, in its own unit
)

const microsecondsPerMillisecond = 1000

// Milliseconds turns milliseconds into a duration, rounded to a microsecond, the settings'
// resolution.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms*microsecondsPerMillisecond)) * time.Microsecond
}

// ReadSettings reads the settings of the decision module. An error names the first key that is
// missing or wrong.
func ReadSettings(values *Values) (policy.Settings, error) {
	values.Require("Balancers", "Me", "MyZone", "RequestClasses.count", "TiersOfService.count",
		"Rules.DrainGraceMs", "Rules.ColdFrom", "Rules.WarmAfterMs", "Rules.FallMultiple", "Rules.TipAfterMs",
		"PolicyLimits.TryLimit")
	settings := readFigures(values)
	if err := checkFigures(values, settings.Gateways); err != nil {
		return settings, err
	}
	for i := range values.Int("RequestClasses.count") {
		settings.Classes = append(settings.Classes, readClass(values, fmt.Sprintf("RequestClasses.%d.", i)))
	}
	for i := range values.Int("TiersOfService.count") {
		settings.Plans = append(settings.Plans, readPlan(values, fmt.Sprintf("TiersOfService.%d.", i)))
	}
	values.requireUnique("RequestClasses", len(settings.Classes),
		func(i int) string { return settings.Classes[i].Name })
	values.requireUnique("TiersOfService", len(settings.Plans), func(i int) string { return settings.Plans[i].Name })
	return settings, values.Err()
}

// readFigures reads all but traffic classes and plans.
func readFigures(values *Values) policy.Settings {
	return policy.Settings{
		Gateways:     values.Int("Balancers"),
		GatewayIndex: values.Int("Me"),
		GatewayZone:  values.Int("MyZone"),
		Zones:        len(values.List("Dcs")),
		PollList:     values.Text("Discovery") == "ask",
		MaxListAge:   values.Span("Rules.MustAskInMs"),
		ClockTick:    values.Span("TickMs"),

		HasCounter:     values.Bool("FamilyInfo.HasCounter"),
		LateCountAfter: values.Span("FamilyInfo.CountLimitMs"),
		ReportsUnits:   values.Bool("FamilyInfo.Settles"),
		UsageSpan:      values.Span("FamilyInfo.MeterMs"),
		MaxUnits:       values.Number("FamilyInfo.MostUnits"),
		MailboxRate:    values.Number("FamilyInfo.InboxPerS"),

		HasPeers:        values.Bool("PolicyLimits.Peers"),
		HasHealthChecks: values.Bool("PolicyLimits.Probes"),
		CanCancel:       values.Bool("PolicyLimits.Cancelling"),
		SendsRetryAfter: values.Bool("PolicyLimits.RetryAfter"),
		MaxRetryAfter:   values.Span("PolicyLimits.MaxRetryAfterMs"),
		AllowHedging:    values.Bool("PolicyLimits.SecondCopies"),
		MaxAttempts:     values.Int("PolicyLimits.TryLimit"),

		ArrivalSlack:   values.Span("Rules.AnswerSlackMs"),
		DrainGrace:     values.Span("Rules.DrainGraceMs"),
		WarmUpStart:    values.Number("Rules.ColdFrom"),
		WarmUpTime:     values.Span("Rules.WarmAfterMs"),
		OverloadFactor: values.Number("Rules.FallMultiple"),
		OverloadSpan:   values.Span("Rules.TipAfterMs"),

		LoadReportFields: values.List("Report.Fields"),
	}
}

func checkFigures(values *Values, gateways int) error {
	values.RequireRange("Balancers", 1, math.MaxUint16)
	values.RequireRange("Me", 0, float64(gateways-1))
	values.RequireRange("PolicyLimits.TryLimit", 1, math.MaxUint16)
	values.RequireRange("Rules.ColdFrom", 0, 1)
	for _, path := range []string{
		"FamilyInfo.CountLimitMs", "FamilyInfo.MeterMs", "FamilyInfo.MostUnits", "FamilyInfo.InboxPerS",
		"PolicyLimits.MaxRetryAfterMs", "Rules.AnswerSlackMs", "Rules.DrainGraceMs", "Rules.WarmAfterMs",
		"Rules.FallMultiple", "Rules.MustAskInMs", "Rules.TipAfterMs", "TickMs",
	} {
		values.RequireRange(path, 0, maxFigure)
	}
	return values.Err()
}

// readClass reads the traffic class whose keys begin with a prefix. The words of Effect and Group
// are in the order of policy's constants.
func readClass(values *Values, prefix string) policy.TrafficClass {
	values.Require(prefix+"AimMs", prefix+"DeadlineMs", prefix+"Effect")
	class := policy.TrafficClass{
		Name: values.Text(prefix + "Name"), LatencyObjective: values.Span(prefix + "AimMs"),
		Timeout: values.Span(prefix + "DeadlineMs"), Weight: values.Number(prefix + "Worth"),
		LateFraction: values.Number(prefix + "LateShare"), DedupWindow: values.Span(prefix + "WindowMs"),
		Stream: values.Bool(prefix + "Stream"),
	}
	values.RequireRange(prefix+"AimMs", minPositive, maxFigure)
	values.RequireRange(prefix+"DeadlineMs", minPositive, maxFigure)
	values.RequireRange(prefix+"Worth", 0, maxFigure)
	values.RequireRange(prefix+"LateShare", 0, 1)
	values.RequireRange(prefix+"WindowMs", 0, maxFigure)
	class.Effect = policy.Effect(values.Enum(prefix+"Effect", "read_like", "idempotency_key", "non_idempotent"))
	if class.Effect == policy.Keyed {
		class.Group = policy.Group(values.Enum(prefix+"Group", "all", "zone", "cell"))
	}
	return class
}

// readPlan reads the plan whose keys begin with a prefix.
func readPlan(values *Values, prefix string) policy.Plan {
	for _, key := range []string{
		"UnitsPerS", "PeakUnits", "Concurrency", "CeilingRate", "CapDepth", "CeilingSlack", "Pays", "BeyondEarns",
		"OverCost",
	} {
		values.RequireRange(prefix+key, 0, maxFigure)
	}
	return policy.Plan{
		Name: values.Text(prefix + "Name"),
		Rate: values.Number(prefix + "UnitsPerS"), Burst: values.Number(prefix + "PeakUnits"),
		MaxInFlight: values.Int(prefix + "Concurrency"),
		CeilingRate: values.Number(prefix + "CeilingRate"), CeilingBurst: values.Number(prefix + "CapDepth"),
		CeilingSlack: values.Number(prefix + "CeilingSlack"),
		Price:        values.Number(prefix + "Pays"), OverQuotaWeight: values.Number(prefix + "BeyondEarns"),
		OverQuotaCost: values.Number(prefix + "OverCost"),
	}
}
