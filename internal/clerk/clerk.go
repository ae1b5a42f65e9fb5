// Package clerk has a gateway's tasks counted by the rule that the processes hold in common: it stands between the
// gate, the counter and what is held. It decides nothing: counting says which rules hold, canary what a new one does.
package clerk

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/counting"
	"harrierhoist/internal/gate"
	"harrierhoist/policy"
)

const tick = 250 * time.Millisecond // how often the play's late units go, and the lease is looked at for the log

// Clerk counts by rule. Its lock is taken under the gate's, never the other way round.
type Clerk struct {
	log     *zap.Logger
	commons cluster.Commons
	gate    *gate.Gate

	mu      sync.Mutex
	file    *counting.Terms
	site    policy.Deployment // as in force
	rules   []counting.Rule   // known, by the table first
	merged  bool              // they have those of the table and the file as last heard
	planned bool              // the plans have them all
	fitted  map[uint64]*counting.Fitted
	table   counting.Table
	epoch   uint64
	calls   uint64 // made for tasks since the play last earned
	play    *canary.Play
	salt    uint64 // of the play
	second  *counting.Second
	fenced  bool // logged
}

// New makes a clerk of a file's terms.
func New(file *counting.Terms, log *zap.Logger) *Clerk {
	return &Clerk{file: file, log: log, fitted: map[uint64]*counting.Fitted{}, second: counting.NewSecond(1)}
}

// Called is for the gate: the canary lives on a share of the module's calls.
func (c *Clerk) Called() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
}

func (c *Clerk) count(name uint64, units float64, keep time.Duration, told func(float64, policy.Outcome)) {
	c.gate.Call(name, units, keep, told)
}

// start puts the clerk between a gate and what is held in common: tasks are taken by rule from here on.
func (c *Clerk) start(commons cluster.Commons, g *gate.Gate) error {
	c.gate, c.commons = g, commons
	h, _ := c.hear()
	c.mu.Lock()
	c.refresh(h)
	c.mu.Unlock()
	if err := g.CountBy(c); err != nil {
		return err
	}
	commons.Witness(func(add func(string, uint64)) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.play != nil {
			c.play.Witness(add)
		}
	})
	return nil
}

// Move takes the terms of a file that was read again.
func (c *Clerk) Move(file *counting.Terms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.file, c.merged = file, false
}

// Run has a gate's tasks counted by the rule in force and follows the table until the context ends. An error tells that
// the gate takes none of it: tasks are counted as ever.
func (c *Clerk) Run(ctx context.Context, commons cluster.Commons, g *gate.Gate) error {
	if err := c.start(commons, g); err != nil {
		return err
	}
	c.run(ctx)
	return nil
}

func (c *Clerk) run(ctx context.Context) {
	each := time.NewTicker(tick)
	defer each.Stop()
	for {
		changed := c.commons.Changed()
		c.follow()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-each.C:
		}
	}
}

// follow takes in what is new: rules into the gate's plans, a canary begun or ended, the play's late calls.
func (c *Clerk) follow() {
	now := c.gate.Now()
	h, held := c.hear()
	c.mu.Lock()
	fresh := c.refresh(h)
	fence := c.standing(now, held)
	if tight := len(fence) > 1; tight != c.fenced {
		c.fenced = tight
		c.log.Info("counting: what rule holds is not known: what passes must pass all of these", zap.Bool("so", tight),
			zap.Uint64s("rules", fence))
	}
	c.mu.Unlock()
	if fresh {
		if err := c.gate.CountBy(c); err != nil {
			c.log.Error("counting: the rules' plans are not taken", zap.Error(err))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cast()
	if c.play != nil {
		c.play.Earn(c.calls)
		c.calls = 0
		c.send(c.play.Due(now))
	}
}

// refresh takes in the table as held, and tells whether it brought a rule that the plans do not have yet.
func (c *Clerk) refresh(h cluster.Held) (fresh bool) {
	if h.Epoch > c.epoch { // another may have heard a later one meanwhile
		t, err := counting.Decode(h.Value)
		if err != nil {
			c.log.Error("counting: the table cannot be read; what was held stands", zap.Error(err))
		} else {
			if t.Phase != c.table.Phase || t.To != c.table.To || t.From != c.table.From {
				c.log.Info("counting: a step", zap.Uint8("phase", uint8(t.Phase)), zap.Uint64("from", t.From),
					zap.Uint64("to", t.To),
					zap.Time("edge", time.Unix(0, int64(t.Edge))), zap.String("why", t.Why))
			}
			c.table = t
		}
		c.epoch, c.merged = h.Epoch, false
	}
	if c.merged {
		return !c.planned
	}
	c.merged = true
	for i, r := range slices.Concat(c.table.Rules, c.file.Rules) {
		at := slices.IndexFunc(c.rules, func(o counting.Rule) bool { return o.Version == r.Version })
		if at < 0 {
			c.rules, c.planned = append(c.rules, r), false
		} else if i < len(c.table.Rules) && !c.rules[at].Same(r) { // what is committed is what the version means
			c.rules[at], c.planned = r, false
		}
	}
	return !c.planned
}

// hear gives the table as held, and whether its lease stands; one that was never written has a lease too. It is called
// without the clerk's lock: those who hold it in common ask for our counts under a lock of theirs.
func (c *Clerk) hear() (h cluster.Held, held bool) {
	h = c.commons.Held(counting.Name)
	return h, c.commons.Now() < h.Until
}

func (c *Clerk) standing(now time.Duration, held bool) []uint64 {
	return slices.DeleteFunc(c.table.Standing(now, held, c.epoch > 0, c.file),
		func(v uint64) bool { return c.fitted[v] == nil })
}

// Plans is for the gate.
func (c *Clerk) Plans(site policy.Deployment) policy.Deployment {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planned = true
	return counting.Plans(site, c.rules)
}

// Shaped is for the gate.
func (c *Clerk) Shaped(site policy.Deployment) policy.Deployment {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.site, c.second = site, counting.NewSecond(site.Gateways)
	for _, r := range append([]counting.Rule{{}}, c.rules...) {
		f, err := counting.Fit(r, site)
		if err != nil {
			c.log.Error("counting: a rule cannot hold here", zap.Error(err))
			delete(c.fitted, r.Version)
			continue
		}
		c.fitted[r.Version] = f
	}
	if old, next := c.fitted[c.table.From], c.fitted[c.table.To]; c.play != nil && old != nil && next != nil {
		c.play.Refit(old, next, site)
	} else {
		c.play = nil
	}
	return counting.Face(site)
}

// cast begins and ends the play.
func (c *Clerk) cast() {
	t := &c.table
	on := t.Phase == counting.Canary || t.Phase == counting.Named
	old, next := c.fitted[t.From], c.fitted[t.To]
	if !on || old == nil || next == nil {
		c.play = nil
		return
	}
	if c.play != nil && c.salt == t.Seed {
		return
	}
	s, err := canary.NewSample(old.Rule, next.Rule, t.Seed, t.Trial.Sample)
	if err != nil {
		c.play = nil
		return
	}
	c.play, c.salt = canary.NewPlay(s, old, next, c.site, t.Seed, t.Trial.Calls), t.Seed
}
