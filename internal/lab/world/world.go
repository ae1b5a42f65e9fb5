// Package world reads the description of a world that the laboratory plays: gateways, servers, lanes, plans,
// customers, the counter, discovery, the network, the rules, and the troubles that strike. The file is TOML and
// strict: a key that is not known, or that contradicts another, is an error with its line and column, and all
// errors are told at once. docs/lab.md explains every key.
package world

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"harrierhoist/policy"
)

// Span is a time in the file, written with its unit: "250ms", "1m30s".
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"250ms\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the span as a duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// World is a whole file, with what it leaves out filled in.
type World struct {
	Name   string `toml:"name"`
	Seed   uint64 `toml:"seed"`   // of all chance; a run may override it
	Length Span   `toml:"length"` // in which tasks are offered; answers are waited for after it

	Gateways  Gateways  `toml:"gateways"`
	Servers   Servers   `toml:"servers"`
	Lanes     []Lane    `toml:"lane"`
	Plans     []Plan    `toml:"plan"`
	Load      Load      `toml:"load"`
	Clients   Clients   `toml:"clients"`
	Counter   Counter   `toml:"counter"`
	Discovery Discovery `toml:"discovery"`
	Network   Network   `toml:"network"`
	Rules     Rules     `toml:"rules"`
	Troubles  []Trouble `toml:"trouble"`
}

// Gateways are the machines under test.
type Gateways struct {
	Count int `toml:"count"`
	Halls int `toml:"halls"`
	// Pool has a gateway push to the part of the servers that its pushes can keep open, as on sockets.
	Pool bool `toml:"pool"`
	// Pushes is the most pushes of a task.
	Pushes int `toml:"pushes"`
}

// Servers are the back end. Each has cores that work on one task at a time and a queue before them.
type Servers struct {
	Count       int        `toml:"count"`
	Cores       int        `toml:"cores"`
	Queue       int        `toml:"queue"` // tasks that wait; more are turned away
	Speed       [2]float64 `toml:"speed"` // drawn for each
	Cell        int        `toml:"cell"`  // servers in a cell
	Connections int        `toml:"connections"`
	Idle        Span       `toml:"idle"`      // a connection that rests so long is closed
	Handshake   Span       `toml:"handshake"` // work for a new connection
	ColdFrom    float64    `toml:"cold_from"` // part of its speed that a server starts with
	WarmAfter   Span       `toml:"warm_after"`
	Errors      float64    `toml:"errors"` // part of the tasks that fail at any time
	Stop        string     `toml:"stop"`   // which given-up work stops: "none", "queued" or "all"
}

// Lane is a kind of task.
type Lane struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Work      Span    `toml:"work"`   // mean, on one core of speed 1
	Spread    string  `toml:"spread"` // "exponential", "lognormal" or "fixed"
	CV        float64 `toml:"cv"`     // of a lognormal: deviation over mean
	SoftLimit Span    `toml:"soft_limit"`
	Patience  Span    `toml:"patience"`
	Gain      float64 `toml:"gain"`
	Late      float64 `toml:"late"`   // part of the gain after the soft limit
	Effect    string  `toml:"effect"` // "pure", "receipted" or "effectful"
	Group     string  `toml:"group"`  // of a receipted lane: "all", "hall" or "cell"
	Window    Span    `toml:"window"`
}

// Plan is what customers have bought.
type Plan struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"` // of the tasks
	Customers    int     `toml:"customers"`
	Rate         float64 `toml:"rate"` // units a second; 0: no quota
	Burst        float64 `toml:"burst"`
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingBurst float64 `toml:"ceiling_burst"`
	CeilingSlack float64 `toml:"ceiling_slack"`
	Price        float64 `toml:"price"`
	OverCost     float64 `toml:"over_cost"` // part of its gain that a task beyond quota costs
	// Spread is the part of the gateways that its customers come through, drawn for each; the load's where it is not set.
	Spread [2]float64 `toml:"spread"`
}

// Load is what customers ask, whether answers come or not.
type Load struct {
	Rate   float64    `toml:"rate"` // tasks a second, first tries, over all gateways
	Skew   float64    `toml:"skew"` // of customers' sizes within a plan: 0 alike; the n-th is n^-skew
	Units  float64    `toml:"units"`
	Told   float64    `toml:"told"`   // deviation of the units told from the true ones, over the true; 0: told exactly
	Spread [2]float64 `toml:"spread"` // part of the gateways that a customer comes through, drawn for each
	Once   float64    `toml:"once"`   // part of the tasks that are of customers seen once
	Swing  float64    `toml:"swing"`  // the rate swings by this part, over 20 s
}

// Clients send the tasks of customers.
type Clients struct {
	Retries int     `toml:"retries"` // further tries, each through another gateway of the set
	Backoff Span    `toml:"backoff"`
	Honour  float64 `toml:"honour"` // part that stays away as long as it is told
	Marks   bool    `toml:"marks"`  // repeats are marked
	Notice  Span    `toml:"notice"` // until a dead gateway gets nothing more
}

// Counter is what all gateways count with. A rate of 0 means that there is none.
type Counter struct {
	Rate  float64 `toml:"rate"` // calls a second
	Queue Span    `toml:"queue"`
	Takes Span    `toml:"takes"` // besides waiting
	Limit Span    `toml:"limit"` // a call with no answer by then ends
}

// Discovery tells each gateway of changes after a lag.
type Discovery struct {
	Lag [2]Span `toml:"lag"`
}

// Network lies between all of them.
type Network struct {
	Same    Span    `toml:"same"`  // one way, in a hall
	Cross   Span    `toml:"cross"` // between halls
	Jitter  float64 `toml:"jitter"`
	Connect Span    `toml:"connect"` // a connection not up by then is none
}

// Rules are the figures of the five rules.
type Rules struct {
	DrainGrace   Span    `toml:"drain_grace"`
	AnswerSlack  Span    `toml:"answer_slack"`
	FallMultiple float64 `toml:"fall_multiple"` // a cold server sent more than so many times its capacity falls
	TipAfter     Span    `toml:"tip_after"`     // over this time
	Fall         Span    `toml:"fall"`          // and is down so long
}

// Trouble is one thing that goes wrong, by name (docs/lab.md lists them). Part and Size mean what its kind says.
type Trouble struct {
	Kind string  `toml:"kind"`
	At   Span    `toml:"at"`
	For  Span    `toml:"for"`
	Part float64 `toml:"part"`
	Size float64 `toml:"size"`
	Lane string  `toml:"lane"`
	Plan string  `toml:"plan"`
	Hall int     `toml:"hall"`
}

// Default is a small sound world.
func Default() World {
	return World{
		Name: "default", Seed: 1, Length: Span(30 * time.Second),
		Gateways: Gateways{Count: 3, Halls: 2, Pushes: 4},
		Servers: Servers{Count: 12, Cores: 2, Queue: 40, Speed: [2]float64{0.9, 1.1}, Cell: 6, Connections: 1200,
			Idle: Span(30 * time.Second), Handshake: Span(time.Millisecond), ColdFrom: 0.25,
			WarmAfter: Span(12 * time.Second), Stop: "queued"},
		Load:      Load{Rate: 150, Units: 2, Spread: [2]float64{0.5, 1}},
		Clients:   Clients{Retries: 2, Backoff: Span(80 * time.Millisecond), Honour: 0.7, Marks: true, Notice: Span(2 * time.Second)},
		Counter:   Counter{Rate: 1000, Queue: Span(20 * time.Millisecond), Takes: Span(time.Millisecond), Limit: Span(30 * time.Millisecond)},
		Discovery: Discovery{Lag: [2]Span{Span(300 * time.Millisecond), Span(1500 * time.Millisecond)}},
		Network: Network{Same: Span(200 * time.Microsecond), Cross: Span(2 * time.Millisecond), Jitter: 0.2,
			Connect: Span(250 * time.Millisecond)},
		Rules: Rules{DrainGrace: Span(time.Second), AnswerSlack: Span(8 * time.Millisecond), FallMultiple: 2,
			TipAfter: Span(1500 * time.Millisecond), Fall: Span(1500 * time.Millisecond)},
	}
}

// lanesUsual and plansUsual stand where a file has none.
func lanesUsual() []Lane {
	ms := func(n int) Span { return Span(time.Duration(n) * time.Millisecond) }
	return []Lane{
		{Name: "availability", Share: 0.5, Work: ms(60), Spread: "exponential", SoftLimit: ms(600), Patience: ms(2500), Gain: 1, Effect: "pure"},
		{Name: "desk-hold", Share: 0.3, Work: ms(50), Spread: "exponential", SoftLimit: ms(400), Patience: ms(1500), Gain: 3,
			Effect: "receipted", Group: "cell", Window: ms(1000)},
		{Name: "paid-confirm", Share: 0.2, Work: ms(60), Spread: "lognormal", CV: 1, SoftLimit: ms(500), Patience: ms(1200), Gain: 3, Effect: "effectful"},
	}
}

func plansUsual() []Plan {
	return []Plan{
		{Name: "start", Share: 0.3, Customers: 100, Rate: 2, Burst: 12, Price: 0.6, OverCost: 1},
		{Name: "office", Share: 0.3, Customers: 20, Rate: 14, Burst: 30, CeilingRate: 30, CeilingBurst: 60, CeilingSlack: 6, Price: 1.3, OverCost: 1.2},
		{Name: "enterprise", Share: 0.4, Customers: 8, Rate: 40, Burst: 80, Price: 1.6, OverCost: 0.6},
	}
}

// Fault is one thing wrong with a file.
type Fault struct {
	File         string
	Line, Column int // from 1; 0: not at one place
	What         string
}

func (f Fault) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.What
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What)
}

// Read reads a file. The error joins a Fault for each thing that is wrong.
func Read(file string) (*World, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads a file's text.
func Parse(file string, text []byte) (*World, error) {
	w := Default()
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return nil, Faults(file, err)
	}
	if len(w.Lanes) == 0 {
		w.Lanes = lanesUsual()
	}
	if len(w.Plans) == 0 {
		w.Plans = plansUsual()
	}
	for i := range w.Lanes {
		l := &w.Lanes[i]
		if l.Spread == "" {
			l.Spread = "exponential"
		}
		if l.Effect == "" {
			l.Effect = "pure"
		}
		if l.Gain == 0 {
			l.Gain = 1
		}
	}
	for i := range w.Plans {
		if p := &w.Plans[i]; p.Price == 0 {
			p.Price = 1
		}
	}
	at := places(text)
	var all []error
	for _, wrong := range w.wrong() {
		f := Fault{File: file, What: wrong.path + " " + wrong.what}
		for path := wrong.path; f.Line == 0 && path != ""; { // the nearest that the file names
			if p, ok := at[path]; ok {
				f.Line, f.Column = p.Line, p.Column
			}
			cut := strings.LastIndexAny(path, ".")
			path = path[:max(cut, 0)]
		}
		all = append(all, f)
	}
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return &w, nil
}

// Faults gives the decoder's errors their places.
func Faults(file string, err error) error {
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		var all []error
		for _, e := range missing.Errors {
			line, column := e.Position()
			all = append(all, Fault{file, line, column, "no such key: " + strings.Join(e.Key(), ".")})
		}
		return errors.Join(all...)
	case errors.As(err, &bad):
		line, column := bad.Position()
		return Fault{file, line, column, strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return Fault{File: file, What: err.Error()}
}

// places finds where each key of a file stands.
func places(text []byte) map[string]unstable.Position {
	at := map[string]unstable.Position{}
	var p unstable.Parser
	p.Reset(text)
	table, counts := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var words []string
		var first []byte
		for it := e.Key(); it.Next(); {
			if first == nil {
				first = p.Raw(it.Node().Raw)
				if len(first) == 0 {
					first = it.Node().Data
				}
			}
			words = append(words, string(it.Node().Data))
		}
		name := strings.Join(words, ".")
		start := unstable.Position{}
		if len(first) > 0 {
			start = p.Shape(p.Range(first)).Start
		}
		switch e.Kind {
		case unstable.Table:
			table = name
			at[table] = start
		case unstable.ArrayTable:
			table = name + "." + strconv.Itoa(counts[name])
			counts[name]++
			at[table] = start
			if _, seen := at[name]; !seen {
				at[name] = start
			}
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			at[name] = start
		}
	}
	return at
}

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
	within("gateways.halls", float64(w.Gateways.Halls), 1, 64)
	within("gateways.pushes", float64(w.Gateways.Pushes), 1, 16)
	s := w.Servers
	within("servers.count", float64(s.Count), 1, 100000)
	within("servers.cores", float64(s.Cores), 1, 1024)
	within("servers.queue", float64(s.Queue), 0, 1e6)
	say(s.Speed[0] > 0 && s.Speed[0] <= s.Speed[1], "servers.speed", "is %v; the first is more than nought and no more than the second", s.Speed)
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
		say(l.Patience >= l.SoftLimit, at("patience"), "is %v, less than the soft limit of %v", l.Patience.D(), l.SoftLimit.D())
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
		say(p.Rate == 0 && p.Burst == 0 || p.Rate > 0 && p.Burst > 0, at("burst"), "is %g with a rate of %g; both, or neither", p.Burst, p.Rate)
		say(p.CeilingRate == 0 || p.CeilingRate >= p.Rate, at("ceiling_rate"), "is %g, less than the rate of %g", p.CeilingRate, p.Rate)
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
	say(w.Discovery.Lag[0] >= 0 && w.Discovery.Lag[0] <= w.Discovery.Lag[1], "discovery.lag", "the first is no more than the second")
	positive("network.connect", w.Network.Connect)
	within("network.jitter", w.Network.Jitter, 0, 1)
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
	}
	return all
}

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
