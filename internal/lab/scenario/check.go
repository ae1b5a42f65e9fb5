package scenario

import (
	"fmt"
	"strings"
)

// wrong is what the checks found.
type wrong struct{ path, what string }

// wrong checks a world that was filled in.
func (w *World) wrong() (all []wrong) {
	say := func(good bool, path, format string, args ...any) {
		if !good {
			all = append(all, wrong{path, fmt.Sprintf(format, args...)})
		}
	}
	within := func(path string, v, least, most float64) {
		say(v >= least && v <= most, path, "is %g; from %g to %g is allowed", v, least, most)
	}
	positive := func(path string, s Span) { say(s > 0, path, "is %v; it has to be more than nought", s.D()) }

	positive("length", w.Length)
	within("gateways.count", float64(w.Gateways.Count), 1, 100000)
	within("gateways.halls", float64(w.Gateways.Halls), 1, hallsMost)
	w.regionsWrong(say)
	w.Common.wrong(say)
	w.failoverWrong(say)
	within("gateways.pushes", float64(w.Gateways.Pushes), 1, 16)
	s := w.Servers
	within("servers.count", float64(s.Count), 1, 100000)
	within("servers.cores", float64(s.Cores), 1, 1024)
	within("servers.queue", float64(s.Queue), 0, 1e6)
	say(s.Speed[0] > 0 && s.Speed[0] <= s.Speed[1], "servers.speed",
		"is %v; the first is more than nought and no more than the second", s.Speed)
	within("servers.cell", float64(s.Cell), 1, 1e6)
	within("servers.connections", float64(s.Connections), 1, 1e6)
	positive("servers.idle", s.Idle)
	say(s.Handshake >= 0, "servers.handshake", "is less than nought")
	within("servers.cold_from", s.ColdFrom, 0.01, 1)
	say(s.WarmAfter >= 0, "servers.warm_after", "is less than nought")
	within("servers.errors", s.Errors, 0, 1)
	choice := func(path, got string, words ...string) {
		for _, word := range words {
			if got == word {
				return
			}
		}
		say(false, path, "is %q; one of %q is allowed", got, words)
	}
	choice("servers.stop", s.Stop, "none", "queued", "all")

	names := map[string]bool{}
	share := 0.0
	for i, l := range w.Lanes {
		at := func(key string) string { return fmt.Sprintf("lane.%d.%s", i, key) }
		say(l.Name != "" && !names[l.Name], at("name"), "is %q; each lane has a name of its own", l.Name)
		names[l.Name] = true
		share += l.Share
		say(l.Share >= 0, at("share"), "is %g; nought at least", l.Share)
		positive(at("work"), l.Work)
		choice(at("spread"), l.Spread, "exponential", "lognormal", "fixed")
		say(l.Spread != "lognormal" || l.CV > 0, at("cv"), "is %g; a lognormal needs one of more than nought", l.CV)
		say(l.Spread == "lognormal" || l.CV == 0, at("cv"), "is for a lognormal alone, and the spread is %q", l.Spread)
		positive(at("soft_limit"), l.SoftLimit)
		say(l.Patience >= l.SoftLimit, at("patience"),
			"is %v, less than the soft limit of %v", l.Patience.D(), l.SoftLimit.D())
		say(l.Gain > 0, at("gain"), "is %g; more than nought is allowed", l.Gain)
		within(at("late"), l.Late, 0, 1)
		choice(at("effect"), l.Effect, "pure", "receipted", "effectful")
		if l.Effect == "receipted" {
			choice(at("group"), l.Group, "all", "hall", "cell")
			positive(at("window"), l.Window)
		} else {
			say(l.Group == "", at("group"), "is for a receipted lane alone, and this one is %s", l.Effect)
		}
	}
	say(share > 0, "lane", "no lane has a share of the tasks")
	share = 0
	plans := map[string]bool{}
	for i, p := range w.Plans {
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
		say(p.OverCost >= 0, at("over_cost"), "is %g; nought at least", p.OverCost)
		say(p.Spread[0] >= 0 && p.Spread[0] <= p.Spread[1] && p.Spread[1] <= 1, at("spread"),
			"is %v; two parts of the gateways, the first no more than the second, are allowed", p.Spread)
	}
	say(share > 0, "plan", "no plan has a share of the tasks")
	say(w.Load.Rate > 0, "load.rate", "is %g; more than nought is allowed", w.Load.Rate)
	within("load.skew", w.Load.Skew, 0, 3)
	say(w.Load.Units > 0, "load.units", "is %g; more than nought is allowed", w.Load.Units)
	within("load.told", w.Load.Told, 0, 2)
	say(w.Load.Spread[0] > 0 && w.Load.Spread[0] <= w.Load.Spread[1] && w.Load.Spread[1] <= 1, "load.spread",
		"is %v; two parts of the gateways, the first no more than the second, are allowed", w.Load.Spread)
	within("load.once", w.Load.Once, 0, 1)
	within("load.swing", w.Load.Swing, 0, 1)
	within("clients.retries", float64(w.Clients.Retries), 0, 10)
	within("clients.honour", w.Clients.Honour, 0, 1)
	say(w.Clients.Backoff >= 0, "clients.backoff", "is less than nought")
	say(w.Counter.Rate >= 0, "counter.rate", "is %g; nought, for none, or more", w.Counter.Rate)
	if w.Counter.Rate > 0 {
		positive("counter.limit", w.Counter.Limit)
	}
	say(w.Discovery.Lag[0] >= 0 && w.Discovery.Lag[0] <= w.Discovery.Lag[1], "discovery.lag",
		"the first is no more than the second")
	positive("network.connect", w.Network.Connect)
	within("network.jitter", w.Network.Jitter, 0, 1)
	say(w.Network.Far == 0 || w.Network.Far >= w.Network.Cross, "network.far", "is less than network.cross")
	say(w.Network.Same >= 0 && w.Network.Cross >= w.Network.Same, "network.cross", "is less than network.same")
	say(w.Rules.FallMultiple > 1, "rules.fall_multiple", "is %g; more than 1 is allowed", w.Rules.FallMultiple)
	positive("rules.tip_after", w.Rules.TipAfter)

	for i, t := range w.Troubles {
		at := func(key string) string { return fmt.Sprintf("trouble.%d.%s", i, key) }
		k, known := Kinds[t.Kind]
		say(known, at("kind"), "is %q; known are %s", t.Kind, strings.Join(KindNames(), ", "))
		if !known {
			continue
		}
		say(t.At >= 0 && t.At < w.Length, at("at"), "is %v; within the length of %v is allowed", t.At.D(), w.Length.D())
		say(t.For >= 0, at("for"), "is less than nought")
		within(at("part"), t.Part, 0, 1)
		say(!k.Counter || w.Counter.Rate > 0, at("kind"), "is %q, and this world has no counter", t.Kind)
		say(!k.Halls || w.Gateways.Halls > 1, at("kind"), "is %q, and this world has one hall", t.Kind)
		say(t.Lane == "" || names[t.Lane], at("lane"), "is %q, which is no lane", t.Lane)
		say(t.Plan == "" || plans[t.Plan], at("plan"), "is %q, which is no plan", t.Plan)
		within(at("hall"), float64(t.Hall), 0, float64(w.Gateways.Halls-1))
		within(at("to"), float64(t.To), 0, float64(w.Gateways.Halls-1))
		say(!k.Link || t.Hall != t.To, at("to"), "is the same hall, %d; a link has two ends", t.To)
	}
	return all
}
