// Package till counts at one gateway what partners owe each other, and says which tasks are to go to a debtor's
// servers. What it is called with on a task's way takes one short lock and waits for nothing; disk and links are the
// business of the goroutine of Run.
package account

import (
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/settlement"
	"harrierhoist/internal/upstream/subset"
	"harrierhoist/policy"
)

// Settings is what a gateway's till must know of it.
type Settings struct {
	Zones   []string // names, as numbered
	Plans   []string
	Classes []policy.TrafficClass
}

// Accounts is a gateway's. All calls may be made by several goroutines at once.
type Accounts struct {
	mu              sync.Mutex
	terms           settlement.Terms
	settings        Settings
	partners        *settlement.PartnerIndex
	random          *rand.Rand
	ledgerID        string // of the counts below
	initialLedgerID string // the life that this process was given
	balances        map[settlement.Pair]*balance
	metrics         map[string]*[settlement.MetricCount]uint64 // evidence, by partner
	shares          []share                                    // by lot; none while nothing is settled
	sharesUntil     time.Duration                              // by now
	now             func() time.Duration
	stored          []settlement.LedgerAmount // what goes into digests; of earlier lives too
	changed         chan struct{}             // a sum has changed; nil where no disk is kept
}

// balance is what stands for a pair, in thousandths of units.
type balance struct {
	debt     uint64 // only grows
	inFlight uint64 // told of pushes that are out
}

// share is a part of a creditor's elective pushes.
type share struct {
	creditor, debtor int
	fraction         float64
}

// New makes the till of a life of the counts, by which the log tells them from others of the same process: no two
// lives of a process have the same name. Now is the clock that leases are told on.
func New(terms settlement.Terms, settings Settings, ledgerID string, seed uint64, now func() time.Duration) *Accounts {
	a := &Accounts{
		random: rand.New(rand.NewPCG(seed, 0xdeb7)), ledgerID: ledgerID, initialLedgerID: ledgerID, balances: map[settlement.Pair]*balance{},
		metrics: map[string]*[settlement.MetricCount]uint64{},
		now:     now,
	}
	a.Reconfigure(terms, settings)
	return a
}

// Reconfigure takes other terms. What was counted stands; tasks on their way are counted by the terms that they began
// under.
func (a *Accounts) Reconfigure(terms settlement.Terms, settings Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure(terms, settings)
}

// configure takes both under the lock: what one caller leaves as it was must be what stands when it is taken, as terms come
// with SIGHUP and lanes and plans with counting rules as well.
func (a *Accounts) configure(terms settlement.Terms, settings Settings) {
	a.terms, a.settings, a.partners, a.shares = terms, settings, settlement.NewPartnerIndex(terms, settings.Zones, settings.Plans), nil
}

// SetTerms takes other terms for the same site.
func (a *Accounts) SetTerms(terms settlement.Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure(terms, a.settings)
}

// SetPolicy takes lanes and plans anew: they keep the numbers that they had.
func (a *Accounts) SetPolicy(classes []policy.TrafficClass, plans []policy.Plan) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	settings := Settings{Zones: a.settings.Zones, Classes: classes}
	for _, p := range plans {
		settings.Plans = append(settings.Plans, p.Name)
	}
	a.configure(a.terms, settings)
}

// ApplyState takes the table: its shares hold until a time of the clock.
func (a *Accounts) ApplyState(state settlement.State, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares, a.sharesUntil = a.shares[:0], until
	if !a.terms.On {
		return
	}
	for _, s := range state.Shares {
		if c, d := a.partners.PartnerNumber(s.Creditor), a.partners.PartnerNumber(s.Debtor); c > 0 && d > 0 && s.PPM > 0 {
			a.shares = append(a.shares, share{c, d, float64(s.PPM) / settlement.PartsPerMillion})
		}
	}
}

// LendingZones tells for each hall whose it is if tasks may go there to settle, else 0; lent is the largest part of any
// creditor's tasks that may. Nil where nothing is settled.
func (a *Accounts) LendingZones() (owners []int, maxFraction float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.shares) == 0 || a.now() >= a.sharesUntil {
		return nil, 0
	}
	for zone := range a.partners.ZoneCount() {
		owner := 0
		for _, s := range a.shares {
			if a.partners.ZoneOwner(zone) == s.debtor {
				owner, maxFraction = s.debtor, max(maxFraction, s.fraction)
			}
		}
		owners = append(owners, owner)
	}
	return owners, maxFraction
}

// AddElective gives the servers that a part lays out for elective pushes beside it, and marks those of the part itself that
// they may prefer. With nothing to settle the part is given back as it is.
func (a *Accounts) AddElective(subset *subset.Subset, now time.Duration, selected []policy.Endpoint, all []subset.Candidate) []policy.Endpoint {
	if a == nil {
		return selected
	}
	owners, maxFraction := a.LendingZones()
	if owners == nil {
		return selected
	}
	return subset.AddElective(now, selected, all, owners, maxFraction)
}

// ReportMetrics gives the evidence.
func (a *Accounts) ReportMetrics(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, c := range a.metrics {
		for what, n := range c {
			add(settlement.MetricName(settlement.Metric(what), name), n)
		}
	}
}

// ReportDebts gives the exact counts: those on disk where one is kept, so that none is told that a later life would
// not know, else those in memory.
func (a *Accounts) ReportDebts(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.stored {
		add(settlement.DebtCountName(c.LedgerID, c.Pair), c.Sum)
	}
	if a.changed == nil {
		for p, pairBalance := range a.balances {
			add(settlement.DebtCountName(a.ledgerID, p), pairBalance.debt)
		}
	}
}
