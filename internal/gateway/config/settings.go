package config

import (
	"fmt"
	"math"
	"time"

	"harrierhoist/policy"
)

// Bounds of numbers in the settings. A number outside them is assumed to be a typing error.
const (
	minDurationMs = 0.001 // one microsecond, the minimum of durations that must not be 0
	maxNumber     = 1e9   // maximum of numbers that have no specific bound, in the unit of the setting
)

const microsecondsPerMillisecond = 1000

// Milliseconds converts a number of milliseconds to a duration. It rounds to a microsecond, the
// resolution of the settings.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms*microsecondsPerMillisecond)) * time.Microsecond
}

// ReadSettings returns the settings of package policy. The error is a *SettingError for the first
// key that is missing or has a wrong value.
func ReadSettings(values *Values) (policy.Settings, error) {
	values.Require("Balancers", "Me", "MyZone", "RequestClasses.count", "TiersOfService.count",
		"Rules.DrainGraceMs", "Rules.ColdFrom", "Rules.WarmAfterMs", "Rules.FallMultiple", "Rules.TipAfterMs",
		"PolicyLimits.TryLimit")
	settings := readGeneral(values)
	if err := checkGeneral(values, settings.Gateways); err != nil {
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

// readGeneral reads all settings except traffic classes and plans.
func readGeneral(values *Values) policy.Settings {
	return policy.Settings{
		Gateways:     values.Int("Balancers"),
		GatewayIndex: values.Int("Me"),
		GatewayZone:  values.Int("MyZone"),
		Zones:        len(values.List("Dcs")),
		PollList:     values.Text("Discovery") == "ask",
		MaxListAge:   values.Duration("Rules.MustAskInMs"),
		ClockTick:    values.Duration("TickMs"),

		HasCounter:     values.Bool("FamilyInfo.HasCounter"),
		LateCountAfter: values.Duration("FamilyInfo.CountLimitMs"),
		ReportsUnits:   values.Bool("FamilyInfo.Settles"),
		UsageSpan:      values.Duration("FamilyInfo.MeterMs"),
		MaxUnits:       values.Number("FamilyInfo.MostUnits"),
		MailboxRate:    values.Number("FamilyInfo.InboxPerS"),

		HasPeers:        values.Bool("PolicyLimits.Peers"),
		HasHealthChecks: values.Bool("PolicyLimits.Probes"),
		CanCancel:       values.Bool("PolicyLimits.Cancelling"),
		SendsRetryAfter: values.Bool("PolicyLimits.RetryAfter"),
		MaxRetryAfter:   values.Duration("PolicyLimits.MaxRetryAfterMs"),
		AllowHedging:    values.Bool("PolicyLimits.SecondCopies"),
		MaxAttempts:     values.Int("PolicyLimits.TryLimit"),

		ArrivalSlack:   values.Duration("Rules.AnswerSlackMs"),
		DrainGrace:     values.Duration("Rules.DrainGraceMs"),
		WarmUpStart:    values.Number("Rules.ColdFrom"),
		WarmUpTime:     values.Duration("Rules.WarmAfterMs"),
		OverloadFactor: values.Number("Rules.FallMultiple"),
		OverloadSpan:   values.Duration("Rules.TipAfterMs"),

		LoadReportFields: values.List("Report.Fields"),
	}
}

// checkGeneral checks the ranges of the numbers that readGeneral reads.
func checkGeneral(values *Values, gateways int) error {
	values.RequireRange("Balancers", 1, math.MaxUint16)
	values.RequireRange("Me", 0, float64(gateways-1))
	values.RequireRange("PolicyLimits.TryLimit", 1, math.MaxUint16)
	values.RequireRange("Rules.ColdFrom", 0, 1)
	for _, path := range []string{
		"FamilyInfo.CountLimitMs", "FamilyInfo.MeterMs", "FamilyInfo.MostUnits", "FamilyInfo.InboxPerS",
		"PolicyLimits.MaxRetryAfterMs", "Rules.AnswerSlackMs", "Rules.DrainGraceMs", "Rules.WarmAfterMs",
		"Rules.FallMultiple", "Rules.MustAskInMs", "Rules.TipAfterMs", "TickMs",
	} {
		values.RequireRange(path, 0, maxNumber)
	}
	return values.Err()
}

// readClass reads the traffic class whose keys begin with prefix. The words of Effect and Group are
// listed in the order of the constants in package policy.
func readClass(values *Values, prefix string) policy.TrafficClass {
	values.Require(prefix+"AimMs", prefix+"DeadlineMs", prefix+"Effect")
	class := policy.TrafficClass{
		Name: values.Text(prefix + "Name"), LatencyObjective: values.Duration(prefix + "AimMs"),
		Timeout: values.Duration(prefix + "DeadlineMs"), Weight: values.Number(prefix + "Worth"),
		LateFraction: values.Number(prefix + "LateShare"), DedupWindow: values.Duration(prefix + "WindowMs"),
		Stream: values.Bool(prefix + "Stream"),
	}
	values.RequireRange(prefix+"AimMs", minDurationMs, maxNumber)
	values.RequireRange(prefix+"DeadlineMs", minDurationMs, maxNumber)
	values.RequireRange(prefix+"Worth", 0, maxNumber)
	values.RequireRange(prefix+"LateShare", 0, 1)
	values.RequireRange(prefix+"WindowMs", 0, maxNumber)
	class.Effect = policy.Effect(values.Enum(prefix+"Effect", "read_like", "idempotency_key", "non_idempotent"))
	if class.Effect == policy.Keyed {
		class.Group = policy.Group(values.Enum(prefix+"Group", "all", "zone", "cell"))
	}
	return class
}

// readPlan reads the plan whose keys begin with prefix.
func readPlan(values *Values, prefix string) policy.Plan {
	for _, key := range []string{
		"UnitsPerS", "PeakUnits", "Concurrency", "CeilingRate", "CapDepth", "CeilingSlack", "Pays", "BeyondEarns",
		"OverCost",
	} {
		values.RequireRange(prefix+key, 0, maxNumber)
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
