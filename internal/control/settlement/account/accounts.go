// Package account counts what partners owe each other for the requests that pass one gateway, and
// decides which of them are to go to a debtor's servers. Package dispatch calls it on a request's
// way, where it takes one short lock and waits for nothing; package runtime starts Run, whose
// goroutines write the store and follow the replicated table.
package account

import (
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Config is what accounts begin with.
type Config struct {
	Terms    settlement.Terms
	Settings Settings
	// LedgerID tells the ledger from others of the same process in the log, so no two incarnations
	// of a process have the same.
	LedgerID string
	Seed     uint64               // of the draws of elective requests
	Now      func() time.Duration // the clock on which leases are measured
}

// Settings are the parts of a gateway's settings that accounts go by.
type Settings struct {
	Zones   []string // names, by zone number
	Plans   []string // names, by plan number
	Classes []policy.TrafficClass
}

// Accounts are a gateway's. They may be used by several goroutines at once. Where the receiver is
// nil, TrackRequest, SetPolicy and AddElective do nothing.
type Accounts struct {
	mu       sync.Mutex
	terms    settlement.Terms
	settings Settings
	partners *settlement.PartnerIndex
	random   *rand.Rand
	now      func() time.Duration // the clock of leases

	ledgerID        string // of balances
	initialLedgerID string // that this process was given
	balances        map[settlement.Pair]*balance
	metrics         map[string]*[settlement.MetricCount]uint64 // by partner

	shares      []share // none while nothing is settled
	sharesUntil time.Duration

	store   Store                    // nil where there is none
	stored  []settlement.LedgerEntry // what is in the store and so may be reported; of earlier ledgers too
	changed chan struct{}            // has an element once a balance has changed; nil: nothing is stored
}

// balance is what a pair's debtor owes, in thousandths of units.
type balance struct {
	debt     uint64 // only grows
	inFlight uint64 // estimates of attempts that have not ended
}

// share is the fraction of a creditor's electable requests that prefer a debtor's servers.
type share struct {
	creditor, debtor int // partner numbers
	fraction         float64
}

// randomStream keeps the draws apart from others of the same seed.
const randomStream = 0xdeb7

// New makes accounts with a ledger of their own.
func New(config Config) *Accounts {
	a := &Accounts{
		random:          rand.New(rand.NewPCG(config.Seed, randomStream)),
		now:             config.Now,
		ledgerID:        config.LedgerID,
		initialLedgerID: config.LedgerID,
		balances:        map[settlement.Pair]*balance{},
		metrics:         map[string]*[settlement.MetricCount]uint64{},
	}
	a.configure(config.Terms, config.Settings)
	return a
}

// SetTerms changes the terms. What was counted stays; requests in flight are counted by the terms
// that they began under.
func (a *Accounts) SetTerms(terms settlement.Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure(terms, a.settings)
}

// SetPolicy changes traffic classes and plans. Those that stay keep their numbers.
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

// configure sets terms and settings. It is called under the lock, as both change from goroutines of
// their own: terms with SIGHUP, classes and plans with counting rules too. Shares wait for the next
// ApplyState.
func (a *Accounts) configure(terms settlement.Terms, settings Settings) {
	a.terms = terms
	a.settings = settings
	a.shares = nil
	a.partners = settlement.NewPartnerIndex(terms, settings.Zones, settings.Plans)
}

// ApplyState takes the shares of the replicated state, which hold until a time of the clock.
func (a *Accounts) ApplyState(state settlement.State, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = a.shares[:0]
	a.sharesUntil = until
	if !a.terms.On {
		return
	}
	for _, s := range state.Shares {
		creditor := a.partners.PartnerNumber(s.Creditor)
		debtor := a.partners.PartnerNumber(s.Debtor)
		if creditor > 0 && debtor > 0 && s.PPM > 0 {
			a.shares = append(a.shares, share{creditor, debtor, float64(s.PPM) / settlement.PartsPerMillion})
		}
	}
}

// LendingZones returns, by zone, the partner that it belongs to where requests may go there for
// settlement, else 0; and the largest fraction of any creditor's requests that may. Owners are nil
// while nothing is settled.
func (a *Accounts) LendingZones() (owners []int, maxFraction float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isSettling() {
		return nil, 0
	}
	for zone := range a.partners.ZoneCount() {
		owner := 0
		for _, s := range a.shares {
			if a.partners.ZoneOwner(zone) == s.debtor {
				owner = s.debtor
				maxFraction = max(maxFraction, s.fraction)
			}
		}
		owners = append(owners, owner)
	}
	return owners, maxFraction
}

// isSettling decides, under the lock, whether this gateway acts on shares: until their lease ends.
func (a *Accounts) isSettling() bool { return len(a.shares) > 0 && a.now() < a.sharesUntil }

// AddElective adds to the selected servers those that elective attempts need, and marks those of
// the selected that they may prefer. While nothing is settled the selection is returned as it is.
func (a *Accounts) AddElective(
	servers *subset.Subset, now time.Duration, selected []policy.Endpoint, all []subset.Candidate,
) []policy.Endpoint {
	if a == nil {
		return selected
	}
	owners, maxFraction := a.LendingZones()
	if owners == nil {
		return selected
	}
	return servers.AddElective(now, selected, all, owners, maxFraction)
}

// ReportMetrics passes on all metrics, for a digest.
func (a *Accounts) ReportMetrics(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for partner, counts := range a.metrics {
		for metric, n := range counts {
			add(settlement.MetricName(settlement.Metric(metric), partner), n)
		}
	}
}

// ReportDebts passes on the debts, for a digest: with a store only those that are in it, so that
// none is reported that a later incarnation would not know.
func (a *Accounts) ReportDebts(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, amount := range a.stored {
		add(settlement.DebtCountName(amount.LedgerID, amount.Pair), amount.Sum)
	}
	if !a.isStored() {
		for pair, b := range a.balances {
			add(settlement.DebtCountName(a.ledgerID, pair), b.debt)
		}
	}
}

// balanceOf returns a pair's balance under the lock; one is made where there is none.
func (a *Accounts) balanceOf(pair settlement.Pair) *balance {
	b := a.balances[pair]
	if b == nil {
		b = &balance{}
		a.balances[pair] = b
	}
	return b
}

// addMetric adds to a partner's metric under the lock.
func (a *Accounts) addMetric(partners *settlement.PartnerIndex, metric settlement.Metric, partner int, n uint64) {
	name := partners.Names[partner]
	if a.metrics[name] == nil {
		a.metrics[name] = new([settlement.MetricCount]uint64)
	}
	a.metrics[name][metric] += n
}

// isStored reports, under the lock, whether balances are stored: there is a store, and it has not
// failed.
func (a *Accounts) isStored() bool { return a.changed != nil }

// signalChange has the store follow the balances.
func (a *Accounts) signalChange() {
	if !a.isStored() {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default: // signalled already: the next write has this change too
	}
}
