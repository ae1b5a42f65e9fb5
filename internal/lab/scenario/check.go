package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// The words of the messages are those of the file's keys and of docs/lab.md.

// Limits of what a file may say.
const (
	maxGateways           = 100_000
	maxServers            = 100_000
	maxAttemptsPerRequest = 16
	maxCores              = 1024
	maxQueuedRequests     = 1e6
	maxRackSize           = 1e6
	maxServerConnections  = 1e6
	maxCustomersPerPlan   = 1e7
	maxRetriesPerRequest  = 10
	maxSkew               = 3    // exponent of customers' sizes by rank
	maxDeclaredDeviation  = 2    // over the true units
	minWarmUpStart        = 0.01 // part of a server's speed
)

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

// within adds a problem unless a value lies between two bounds.
func (c *checker) within(key string, v, lowest, highest float64) {
	c.check(v >= lowest && v <= highest, key, "is %g; from %g to %g is allowed", v, lowest, highest)
}

// positive adds a problem unless a span is more than zero.
func (c *checker) positive(key string, s Span) {
	c.check(s > 0, key, "is %v; it has to be more than nought", s.D())
}

// notNegative adds a problem if a span is less than zero.
func (c *checker) notNegative(key string, s Span) { c.check(s >= 0, key, "is less than nought") }

// moreThanZero adds a problem unless a number is more than zero.
func (c *checker) moreThanZero(key string, v float64) {
	c.check(v > 0, key, "is %g; more than nought is allowed", v)
}

// zeroOrMore adds a problem if a number is less than zero.
func (c *checker) zeroOrMore(key string, v float64) {
	c.check(v >= 0, key, "is %g; nought at least", v)
}

// oneOf adds a problem unless a word is one of those allowed.
func (c *checker) oneOf(key, got string, words ...string) {
	c.check(slices.Contains(words, got), key, "is %q; one of %q is allowed", got, words)
}

// gatewayShare checks two parts of the gateways.
func (c *checker) gatewayShare(ok bool, key string, share [2]float64) {
	c.check(ok && share[0] <= share[1] && share[1] <= 1, key,
		"is %v; two parts of the gateways, the first no more than the second, are allowed", share)
}

// problems checks a scenario that has its defaults. The order is the order in which they are
// reported.
func (s *Scenario) problems() []problem {
	checker := &checker{}
	checker.positive("length", s.Length)
	checker.within("gateways.count", float64(s.Gateways.Count), 1, maxGateways)
	checker.within("gateways.halls", float64(s.Gateways.Zones), 1, maxZones)
	s.checkRegions(checker)
	s.Coordination.check(checker)
	s.checkFailover(checker)
	checker.within("gateways.pushes", float64(s.Gateways.MaxAttempts), 1, maxAttemptsPerRequest)
	s.Servers.check(checker)
	classes := map[string]bool{}
	classShare := 0.0
	for i := range s.Classes {
		s.Classes[i].check(checker, i, classes)
		classShare += s.Classes[i].Share
	}
	checker.check(classShare > 0, "lane", "no lane has a share of the tasks")
	plans := map[string]bool{}
	planShare := 0.0
	for i := range s.Plans {
		s.Plans[i].check(checker, i, plans)
		planShare += s.Plans[i].Share
	}
	checker.check(planShare > 0, "plan", "no plan has a share of the tasks")
	s.checkLoad(checker)
	s.checkEnvironment(checker)
	for i := range s.Faults {
		s.checkFault(checker, i, classes, plans)
	}
	return checker.problems
}

func (s *Servers) check(checker *checker) {
	checker.within("servers.count", float64(s.Count), 1, maxServers)
	checker.within("servers.cores", float64(s.Cores), 1, maxCores)
	checker.within("servers.queue", float64(s.QueueLimit), 0, maxQueuedRequests)
	checker.check(s.Speed[0] > 0 && s.Speed[0] <= s.Speed[1], "servers.speed",
		"is %v; the first is more than nought and no more than the second", s.Speed)
	checker.within("servers.cell", float64(s.RackSize), 1, maxRackSize)
	checker.within("servers.connections", float64(s.MaxConnections), 1, maxServerConnections)
	checker.positive("servers.idle", s.IdleTimeout)
	checker.notNegative("servers.handshake", s.HandshakeWork)
	checker.within("servers.cold_from", s.WarmUpStart, minWarmUpStart, 1)
	checker.notNegative("servers.warm_after", s.WarmUpTime)
	checker.within("servers.errors", s.ErrorRate, 0, 1)
	checker.oneOf("servers.stop", s.Cancellation, CancelNone, CancelQueued, CancelAll)
}

// check checks the class at an index, and adds its name to those before it.
func (l *TrafficClass) check(checker *checker, index int, names map[string]bool) {
	key := func(name string) string { return fmt.Sprintf("lane.%d.%s", index, name) }
	checker.check(l.Name != "" && !names[l.Name], key("name"), "is %q; each lane has a name of its own", l.Name)
	names[l.Name] = true
	checker.zeroOrMore(key("share"), l.Share)
	checker.positive(key("work"), l.Work)
	checker.oneOf(key("spread"), l.Distribution, DistributionExponential, DistributionLognormal, DistributionFixed)
	isLognormal := l.Distribution == DistributionLognormal
	checker.check(!isLognormal || l.CV > 0, key("cv"), "is %g; a lognormal needs one of more than nought", l.CV)
	checker.check(isLognormal || l.CV == 0, key("cv"), "is for a lognormal alone, and the spread is %q", l.Distribution)
	checker.positive(key("soft_limit"), l.LatencyObjective)
	checker.check(l.Timeout >= l.LatencyObjective, key("patience"),
		"is %v, less than the soft limit of %v", l.Timeout.D(), l.LatencyObjective.D())
	checker.moreThanZero(key("gain"), l.Weight)
	checker.within(key("late"), l.LateFraction, 0, 1)
	checker.oneOf(key("effect"), l.Effect, EffectIdempotent, EffectKeyed, EffectNonIdempotent)
	if l.Effect == EffectKeyed {
		checker.oneOf(key("group"), l.Group, GroupAll, GroupZone, GroupRack)
		checker.positive(key("window"), l.DedupWindow)
	} else {
		checker.check(l.Group == "", key("group"), "is for a receipted lane alone, and this one is %s", l.Effect)
	}
}

// check checks the plan at an index, and adds its name to those before it.
func (p *Plan) check(checker *checker, index int, names map[string]bool) {
	key := func(name string) string { return fmt.Sprintf("plan.%d.%s", index, name) }
	checker.check(p.Name != "" && !names[p.Name], key("name"), "is %q; each plan has a name of its own", p.Name)
	names[p.Name] = true
	checker.zeroOrMore(key("share"), p.Share)
	checker.within(key("customers"), float64(p.Customers), 1, maxCustomersPerPlan)
	checker.zeroOrMore(key("rate"), p.Rate)
	checker.check(p.Rate == 0 && p.Burst == 0 || p.Rate > 0 && p.Burst > 0, key("burst"),
		"is %g with a rate of %g; both, or neither", p.Burst, p.Rate)
	checker.check(p.CeilingRate == 0 || p.CeilingRate >= p.Rate, key("ceiling_rate"),
		"is %g, less than the rate of %g", p.CeilingRate, p.Rate)
	checker.check(p.CeilingRate == 0 || p.CeilingBurst > 0, key("ceiling_burst"), "is missing beside a ceiling_rate")
	checker.zeroOrMore(key("over_cost"), p.OverQuotaCost)
	checker.gatewayShare(p.GatewayShare[0] >= 0, key("spread"), p.GatewayShare)
}

// checkLoad checks the load and the clients.
func (s *Scenario) checkLoad(c *checker) {
	c.moreThanZero("load.rate", s.Load.Rate)
	c.within("load.skew", s.Load.Skew, 0, maxSkew)
	c.moreThanZero("load.units", s.Load.MeanUnits)
	c.within("load.told", s.Load.DeclaredDeviation, 0, maxDeclaredDeviation)
	c.gatewayShare(s.Load.GatewayShare[0] > 0, "load.spread", s.Load.GatewayShare)
	c.within("load.once", s.Load.OneTimeShare, 0, 1)
	c.within("load.swing", s.Load.Swing, 0, 1)
	c.within("clients.retries", float64(s.Clients.Retries), 0, maxRetriesPerRequest)
	c.within("clients.honour", s.Clients.RetryAfterShare, 0, 1)
	c.notNegative("clients.backoff", s.Clients.Backoff)
}

// checkEnvironment checks the counter, discovery, the network and the numbers of the rules.
func (s *Scenario) checkEnvironment(checker *checker) {
	checker.check(s.Counter.Rate >= 0, "counter.rate", "is %g; nought, for none, or more", s.Counter.Rate)
	if s.Counter.Rate > 0 {
		checker.positive("counter.limit", s.Counter.Timeout)
	}
	lag := s.Discovery.Lag
	network := &s.Network
	checker.check(lag[0] >= 0 && lag[0] <= lag[1], "discovery.lag", "the first is no more than the second")
	checker.positive("network.connect", network.ConnectTimeout)
	checker.within("network.jitter", network.Jitter, 0, 1)
	checker.check(
		network.CrossRegion == 0 || network.CrossRegion >= network.CrossZone,
		"network.far",
		"is less than network.cross",
	)
	checker.check(
		network.SameZone >= 0 && network.CrossZone >= network.SameZone,
		"network.cross",
		"is less than network.same",
	)
	checker.check(
		s.Rules.OverloadFactor > 1,
		"rules.fall_multiple",
		"is %g; more than 1 is allowed",
		s.Rules.OverloadFactor,
	)
	checker.positive("rules.tip_after", s.Rules.OverloadSpan)
}

// checkFault checks the fault at an index.
func (s *Scenario) checkFault(checker *checker, index int, classes, plans map[string]bool) {
	f := &s.Faults[index]
	key := func(name string) string { return fmt.Sprintf("trouble.%d.%s", index, name) }
	kind, isKnown := FaultKinds[f.Kind]
	checker.check(isKnown, key("kind"), "is %q; known are %s", f.Kind, strings.Join(FaultKindNames(), ", "))
	if !isKnown {
		return
	}
	checker.check(f.Start >= 0 && f.Start < s.Length, key("at"),
		"is %v; within the length of %v is allowed", f.Start.D(), s.Length.D())
	checker.notNegative(key("for"), f.Duration)
	checker.within(key("part"), f.Fraction, 0, 1)
	checker.check(!kind.NeedsCounter || s.Counter.Rate > 0, key("kind"), "is %q, and this world has no counter", f.Kind)
	checker.check(!kind.NeedsZones || s.Gateways.Zones > 1, key("kind"), "is %q, and this world has one hall", f.Kind)
	checker.check(f.Class == "" || classes[f.Class], key("lane"), "is %q, which is no lane", f.Class)
	checker.check(f.Plan == "" || plans[f.Plan], key("plan"), "is %q, which is no plan", f.Plan)
	checker.within(key("hall"), float64(f.Zone), 0, float64(s.Gateways.Zones-1))
	checker.within(key("to"), float64(f.OtherZone), 0, float64(s.Gateways.Zones-1))
	checker.check(
		!kind.IsLink || f.Zone != f.OtherZone,
		key("to"),
		"is the same hall, %d; a link has two ends",
		f.OtherZone,
	)
}
