package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// The wording of the checks is that of the file: its keys, and the words of docs/lab.md.

// problem is one thing that is wrong with a scenario.
type problem struct{ key, message string }

// checker collects the problems of a scenario.
type checker struct{ problems []problem }

// check adds a problem unless a condition holds.
func (c *checker) check(ok bool, key, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, problem{key, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) within(key string, v, lowest, highest float64) {
	c.check(v >= lowest && v <= highest, key, "is %g; from %g to %g is allowed", v, lowest, highest)
}

func (c *checker) positive(key string, s Span) {
	c.check(s > 0, key, "is %v; it has to be more than nought", s.D())
}

func (c *checker) notNegative(key string, s Span) { c.check(s >= 0, key, "is less than nought") }

func (c *checker) moreThanZero(key string, v float64) {
	c.check(v > 0, key, "is %g; more than nought is allowed", v)
}

func (c *checker) zeroOrMore(key string, v float64) {
	c.check(v >= 0, key, "is %g; nought at least", v)
}

func (c *checker) oneOf(key, got string, words ...string) {
	c.check(slices.Contains(words, got), key, "is %q; one of %q is allowed", got, words)
}

// gatewayShare checks two parts of the gateways.
func (c *checker) gatewayShare(ok bool, key string, share [2]float64) {
	c.check(ok && share[0] <= share[1] && share[1] <= 1, key,
		"is %v; two parts of the gateways, the first no more than the second, are allowed", share)
}

// problems checks a scenario that has its defaults. The order is the order in which they are reported.
func (s *Scenario) problems() []problem {
	c := &checker{}
	c.positive("length", s.Length)
	c.within("gateways.count", float64(s.Gateways.Count), 1, 100000)
	c.within("gateways.halls", float64(s.Gateways.Zones), 1, maxZones)
	s.checkRegions(c)
	s.Coordination.check(c)
	s.checkFailover(c)
	c.within("gateways.pushes", float64(s.Gateways.MaxAttempts), 1, 16)
	s.Servers.check(c)
	classes, share := map[string]bool{}, 0.0
	for i := range s.Classes {
		s.Classes[i].check(c, i, classes)
		share += s.Classes[i].Share
	}
	c.check(share > 0, "lane", "no lane has a share of the tasks")
	plans, share := map[string]bool{}, 0.0
	for i := range s.Plans {
		s.Plans[i].check(c, i, plans)
		share += s.Plans[i].Share
	}
	c.check(share > 0, "plan", "no plan has a share of the tasks")
	s.checkLoad(c)
	s.checkEnvironment(c)
	for i := range s.Faults {
		s.checkFault(c, i, classes, plans)
	}
	return c.problems
}

func (s *Servers) check(c *checker) {
	c.within("servers.count", float64(s.Count), 1, 100000)
	c.within("servers.cores", float64(s.Cores), 1, 1024)
	c.within("servers.queue", float64(s.QueueLimit), 0, 1e6)
	c.check(s.Speed[0] > 0 && s.Speed[0] <= s.Speed[1], "servers.speed",
		"is %v; the first is more than nought and no more than the second", s.Speed)
	c.within("servers.cell", float64(s.RackSize), 1, 1e6)
	c.within("servers.connections", float64(s.MaxConnections), 1, 1e6)
	c.positive("servers.idle", s.IdleTimeout)
	c.notNegative("servers.handshake", s.HandshakeWork)
	c.within("servers.cold_from", s.WarmUpStart, 0.01, 1)
	c.notNegative("servers.warm_after", s.WarmUpTime)
	c.within("servers.errors", s.ErrorRate, 0, 1)
	c.oneOf("servers.stop", s.Cancellation, CancelNone, CancelQueued, CancelAll)
}

// check checks the class at an index, and adds its name to those before it.
func (l *TrafficClass) check(c *checker, index int, names map[string]bool) {
	key := func(name string) string { return fmt.Sprintf("lane.%d.%s", index, name) }
	c.check(l.Name != "" && !names[l.Name], key("name"), "is %q; each lane has a name of its own", l.Name)
	names[l.Name] = true
	c.zeroOrMore(key("share"), l.Share)
	c.positive(key("work"), l.Work)
	c.oneOf(key("spread"), l.Distribution, DistributionExponential, DistributionLognormal, DistributionFixed)
	isLognormal := l.Distribution == DistributionLognormal
	c.check(!isLognormal || l.CV > 0, key("cv"), "is %g; a lognormal needs one of more than nought", l.CV)
	c.check(isLognormal || l.CV == 0, key("cv"), "is for a lognormal alone, and the spread is %q", l.Distribution)
	c.positive(key("soft_limit"), l.LatencyObjective)
	c.check(l.Timeout >= l.LatencyObjective, key("patience"),
		"is %v, less than the soft limit of %v", l.Timeout.D(), l.LatencyObjective.D())
	c.moreThanZero(key("gain"), l.Weight)
	c.within(key("late"), l.LateFraction, 0, 1)
	c.oneOf(key("effect"), l.Effect, EffectIdempotent, EffectKeyed, EffectNonIdempotent)
	if l.Effect == EffectKeyed {
		c.oneOf(key("group"), l.Group, GroupAll, GroupZone, GroupRack)
		c.positive(key("window"), l.DedupWindow)
	} else {
		c.check(l.Group == "", key("group"), "is for a receipted lane alone, and this one is %s", l.Effect)
	}
}

// check checks the plan at an index, and adds its name to those before it.
func (p *Plan) check(c *checker, index int, names map[string]bool) {
	key := func(name string) string { return fmt.Sprintf("plan.%d.%s", index, name) }
	c.check(p.Name != "" && !names[p.Name], key("name"), "is %q; each plan has a name of its own", p.Name)
	names[p.Name] = true
	c.zeroOrMore(key("share"), p.Share)
	c.within(key("customers"), float64(p.Customers), 1, 1e7)
	c.zeroOrMore(key("rate"), p.Rate)
	c.check(p.Rate == 0 && p.Burst == 0 || p.Rate > 0 && p.Burst > 0, key("burst"),
		"is %g with a rate of %g; both, or neither", p.Burst, p.Rate)
	c.check(p.CeilingRate == 0 || p.CeilingRate >= p.Rate, key("ceiling_rate"),
		"is %g, less than the rate of %g", p.CeilingRate, p.Rate)
	c.check(p.CeilingRate == 0 || p.CeilingBurst > 0, key("ceiling_burst"), "is missing beside a ceiling_rate")
	c.zeroOrMore(key("over_cost"), p.OverQuotaCost)
	c.gatewayShare(p.GatewayShare[0] >= 0, key("spread"), p.GatewayShare)
}

// checkLoad checks the load and the clients.
func (s *Scenario) checkLoad(c *checker) {
	c.moreThanZero("load.rate", s.Load.Rate)
	c.within("load.skew", s.Load.Skew, 0, 3)
	c.moreThanZero("load.units", s.Load.MeanUnits)
	c.within("load.told", s.Load.DeclaredDeviation, 0, 2)
	c.gatewayShare(s.Load.GatewayShare[0] > 0, "load.spread", s.Load.GatewayShare)
	c.within("load.once", s.Load.OneTimeShare, 0, 1)
	c.within("load.swing", s.Load.Swing, 0, 1)
	c.within("clients.retries", float64(s.Clients.Retries), 0, 10)
	c.within("clients.honour", s.Clients.RetryAfterShare, 0, 1)
	c.notNegative("clients.backoff", s.Clients.Backoff)
}

// checkEnvironment checks the counter, discovery, the network and the numbers of the rules.
func (s *Scenario) checkEnvironment(c *checker) {
	c.check(s.Counter.Rate >= 0, "counter.rate", "is %g; nought, for none, or more", s.Counter.Rate)
	if s.Counter.Rate > 0 {
		c.positive("counter.limit", s.Counter.Timeout)
	}
	lag, network := s.Discovery.Lag, &s.Network
	c.check(lag[0] >= 0 && lag[0] <= lag[1], "discovery.lag", "the first is no more than the second")
	c.positive("network.connect", network.ConnectTimeout)
	c.within("network.jitter", network.Jitter, 0, 1)
	c.check(network.CrossRegion == 0 || network.CrossRegion >= network.CrossZone, "network.far", "is less than network.cross")
	c.check(network.SameZone >= 0 && network.CrossZone >= network.SameZone, "network.cross", "is less than network.same")
	c.check(s.Rules.OverloadFactor > 1, "rules.fall_multiple", "is %g; more than 1 is allowed", s.Rules.OverloadFactor)
	c.positive("rules.tip_after", s.Rules.OverloadSpan)
}

// checkFault checks the fault at an index.
func (s *Scenario) checkFault(c *checker, index int, classes, plans map[string]bool) {
	f, key := &s.Faults[index], func(name string) string { return fmt.Sprintf("trouble.%d.%s", index, name) }
	kind, known := FaultKinds[f.Kind]
	c.check(known, key("kind"), "is %q; known are %s", f.Kind, strings.Join(FaultKindNames(), ", "))
	if !known {
		return
	}
	c.check(f.Start >= 0 && f.Start < s.Length, key("at"), "is %v; within the length of %v is allowed", f.Start.D(), s.Length.D())
	c.notNegative(key("for"), f.Duration)
	c.within(key("part"), f.Fraction, 0, 1)
	c.check(!kind.NeedsCounter || s.Counter.Rate > 0, key("kind"), "is %q, and this world has no counter", f.Kind)
	c.check(!kind.NeedsZones || s.Gateways.Zones > 1, key("kind"), "is %q, and this world has one hall", f.Kind)
	c.check(f.Class == "" || classes[f.Class], key("lane"), "is %q, which is no lane", f.Class)
	c.check(f.Plan == "" || plans[f.Plan], key("plan"), "is %q, which is no plan", f.Plan)
	c.within(key("hall"), float64(f.Zone), 0, float64(s.Gateways.Zones-1))
	c.within(key("to"), float64(f.OtherZone), 0, float64(s.Gateways.Zones-1))
	c.check(!kind.IsLink || f.Zone != f.OtherZone, key("to"), "is the same hall, %d; a link has two ends", f.OtherZone)
}
