package scenario

import (
	"fmt"
	"strings"
)

// wrong is what the checks found.
type problem struct{ key, message string }

// wrong checks a world that was filled in.
func (s *Scenario) problems() (all []problem) {
	say := func(good bool, path, format string, args ...any) {
		if !good {
			all = append(all, problem{path, fmt.Sprintf(format, args...)})
		}
	}
	within := func(path string, v, least, most float64) {
		say(v >= least && v <= most, path, "is %g; from %g to %g is allowed", v, least, most)
	}
	positive := func(path string, s Span) { say(s > 0, path, "is %v; it has to be more than nought", s.D()) }

	positive("length", s.Length)
	within("gateways.count", float64(s.Gateways.Count), 1, 100000)
	within("gateways.halls", float64(s.Gateways.Zones), 1, maxZones)
	s.checkRegions(say)
	s.Coordination.check(say)
	s.checkFailover(say)
	within("gateways.pushes", float64(s.Gateways.MaxAttempts), 1, 16)
	servers := s.Servers
	within("servers.count", float64(servers.Count), 1, 100000)
	within("servers.cores", float64(servers.Cores), 1, 1024)
	within("servers.queue", float64(servers.QueueLimit), 0, 1e6)
	say(servers.Speed[0] > 0 && servers.Speed[0] <= servers.Speed[1], "servers.speed",
		"is %v; the first is more than nought and no more than the second", servers.Speed)
	within("servers.cell", float64(servers.RackSize), 1, 1e6)
	within("servers.connections", float64(servers.MaxConnections), 1, 1e6)
	positive("servers.idle", servers.IdleTimeout)
	say(servers.HandshakeWork >= 0, "servers.handshake", "is less than nought")
	within("servers.cold_from", servers.WarmUpStart, 0.01, 1)
	say(servers.WarmUpTime >= 0, "servers.warm_after", "is less than nought")
	within("servers.errors", servers.ErrorRate, 0, 1)
	choice := func(path, got string, words ...string) {
		for _, word := range words {
			if got == word {
				return
			}
		}
		say(false, path, "is %q; one of %q is allowed", got, words)
	}
	choice("servers.stop", servers.Cancellation, "none", "queued", "all")

	names := map[string]bool{}
	share := 0.0
	for i, l := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("lane.%d.%s", i, key) }
		say(l.Name != "" && !names[l.Name], at("name"), "is %q; each lane has a name of its own", l.Name)
		names[l.Name] = true
		share += l.Share
		say(l.Share >= 0, at("share"), "is %g; nought at least", l.Share)
		positive(at("work"), l.Work)
		choice(at("spread"), l.Distribution, "exponential", "lognormal", "fixed")
		say(l.Distribution != "lognormal" || l.CV > 0, at("cv"), "is %g; a lognormal needs one of more than nought", l.CV)
		say(l.Distribution == "lognormal" || l.CV == 0, at("cv"), "is for a lognormal alone, and the spread is %q", l.Distribution)
		positive(at("soft_limit"), l.LatencyObjective)
		say(l.Timeout >= l.LatencyObjective, at("patience"),
			"is %v, less than the soft limit of %v", l.Timeout.D(), l.LatencyObjective.D())
		say(l.Weight > 0, at("gain"), "is %g; more than nought is allowed", l.Weight)
		within(at("late"), l.LateFraction, 0, 1)
		choice(at("effect"), l.Effect, "pure", "receipted", "effectful")
		if l.Effect == "receipted" {
			choice(at("group"), l.Group, "all", "hall", "cell")
			positive(at("window"), l.DedupWindow)
		} else {
			say(l.Group == "", at("group"), "is for a receipted lane alone, and this one is %s", l.Effect)
		}
	}
	say(share > 0, "lane", "no lane has a share of the tasks")
	share = 0
	plans := map[string]bool{}
	for i, p := range s.Plans {
		at := func(key string) string { return fmt.Sprintf("plan.%d.%s", i, key) }
		say(p.Name != "" && !plans[p.Name], at("name"), "is %q; each plan has a name of its own", p.Name)
		plans[p.Name] = true
		share += p.Share
		say(p.Share >= 0, at("share"), "is %g; nought at least", p.Share)
		within(at("customers"), float64(p.Customers), 1, 1e7)
		say(p.Rate >= 0, at("rate"), "is %g; nought at least", p.Rate)
		say(p.Rate == 0 && p.Burst == 0 || p.Rate > 0 && p.Burst > 0, at("burst"),
			"is %g with a rate of %g; both, or neither", p.Burst, p.Rate)
		say(p.CeilingRate == 0 || p.CeilingRate >= p.Rate, at("ceiling_rate"),
			"is %g, less than the rate of %g", p.CeilingRate, p.Rate)
		say(p.CeilingRate == 0 || p.CeilingBurst > 0, at("ceiling_burst"), "is missing beside a ceiling_rate")
		say(p.OverQuotaCost >= 0, at("over_cost"), "is %g; nought at least", p.OverQuotaCost)
		say(p.GatewayShare[0] >= 0 && p.GatewayShare[0] <= p.GatewayShare[1] && p.GatewayShare[1] <= 1, at("spread"),
			"is %v; two parts of the gateways, the first no more than the second, are allowed", p.GatewayShare)
	}
	say(share > 0, "plan", "no plan has a share of the tasks")
	say(s.Load.Rate > 0, "load.rate", "is %g; more than nought is allowed", s.Load.Rate)
	within("load.skew", s.Load.Skew, 0, 3)
	say(s.Load.MeanUnits > 0, "load.units", "is %g; more than nought is allowed", s.Load.MeanUnits)
	within("load.told", s.Load.DeclaredDeviation, 0, 2)
	say(s.Load.GatewayShare[0] > 0 && s.Load.GatewayShare[0] <= s.Load.GatewayShare[1] && s.Load.GatewayShare[1] <= 1, "load.spread",
		"is %v; two parts of the gateways, the first no more than the second, are allowed", s.Load.GatewayShare)
	within("load.once", s.Load.OneTimeShare, 0, 1)
	within("load.swing", s.Load.Swing, 0, 1)
	within("clients.retries", float64(s.Clients.Retries), 0, 10)
	within("clients.honour", s.Clients.RetryAfterShare, 0, 1)
	say(s.Clients.Backoff >= 0, "clients.backoff", "is less than nought")
	say(s.Counter.Rate >= 0, "counter.rate", "is %g; nought, for none, or more", s.Counter.Rate)
	if s.Counter.Rate > 0 {
		positive("counter.limit", s.Counter.Timeout)
	}
	say(s.Discovery.Lag[0] >= 0 && s.Discovery.Lag[0] <= s.Discovery.Lag[1], "discovery.lag",
		"the first is no more than the second")
	positive("network.connect", s.Network.ConnectTimeout)
	within("network.jitter", s.Network.Jitter, 0, 1)
	say(s.Network.CrossRegion == 0 || s.Network.CrossRegion >= s.Network.CrossZone, "network.far", "is less than network.cross")
	say(s.Network.SameZone >= 0 && s.Network.CrossZone >= s.Network.SameZone, "network.cross", "is less than network.same")
	say(s.Rules.OverloadFactor > 1, "rules.fall_multiple", "is %g; more than 1 is allowed", s.Rules.OverloadFactor)
	positive("rules.tip_after", s.Rules.OverloadSpan)

	for i, t := range s.Faults {
		at := func(key string) string { return fmt.Sprintf("trouble.%d.%s", i, key) }
		k, known := FaultKinds[t.Kind]
		say(known, at("kind"), "is %q; known are %s", t.Kind, strings.Join(FaultKindNames(), ", "))
		if !known {
			continue
		}
		say(t.Start >= 0 && t.Start < s.Length, at("at"), "is %v; within the length of %v is allowed", t.Start.D(), s.Length.D())
		say(t.Duration >= 0, at("for"), "is less than nought")
		within(at("part"), t.Fraction, 0, 1)
		say(!k.NeedsCounter || s.Counter.Rate > 0, at("kind"), "is %q, and this world has no counter", t.Kind)
		say(!k.NeedsZones || s.Gateways.Zones > 1, at("kind"), "is %q, and this world has one hall", t.Kind)
		say(t.Class == "" || names[t.Class], at("lane"), "is %q, which is no lane", t.Class)
		say(t.Plan == "" || plans[t.Plan], at("plan"), "is %q, which is no plan", t.Plan)
		within(at("hall"), float64(t.Zone), 0, float64(s.Gateways.Zones-1))
		within(at("to"), float64(t.OtherZone), 0, float64(s.Gateways.Zones-1))
		say(!k.IsLink || t.Zone != t.OtherZone, at("to"), "is the same hall, %d; a link has two ends", t.OtherZone)
	}
	return all
}
