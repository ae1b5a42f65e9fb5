// Package account keeps one gateway's part of the settlement: it counts what partners owe each other for the requests
// that pass here, and draws which requests are to go to a debtor's servers. What is called on a request's way takes one
// short lock and waits for nothing; the store and the replicated table are the business of the goroutine of Run.
package account

import (
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Settings are the parts of a gateway's settings that accounts go by.
type Settings struct {
	Zones   []string // names, by zone number
	Plans   []string // names, by plan number
	Classes []policy.TrafficClass
}

// Accounts are a gateway's. They may be used by several goroutines at once. Where the receiver is nil, TrackRequest,
// SetPolicy and AddElective do nothing.
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

	stored  []settlement.LedgerAmount // what is in the store and so may be reported; of earlier ledgers too
	changed chan struct{}             // has an element once a balance has changed; nil without a store
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

// New makes accounts with a ledger of their own. The log tells it by its ID from other ledgers of the same process, so
// no two incarnations of a process have the same ID. The clock is that on which leases are measured.
func New(terms settlement.Terms, settings Settings, ledgerID string, seed uint64, now func() time.Duration) *Accounts {
	a := &Accounts{
		random:          rand.New(rand.NewPCG(seed, randomStream)),
		now:             now,
		ledgerID:        ledgerID,
		initialLedgerID: ledgerID,
		balances:        map[settlement.Pair]*balance{},
		metrics:         map[string]*[settlement.MetricCount]uint64{},
	}
	a.configure(terms, settings)
	return a
}

// SetTerms changes the terms. What was counted stays; requests in flight are counted by the terms that they began under.
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

// configure sets terms and settings under the lock: terms change with SIGHUP, classes and plans with counting rules too,
// and what one caller leaves as it is must be what is there when its change is made. Shares wait for the next ApplyState.
func (a *Accounts) configure(terms settlement.Terms, settings Settings) {
	a.terms, a.settings, a.shares = terms, settings, nil
	a.partners = settlement.NewPartnerIndex(terms, settings.Zones, settings.Plans)
}

// ApplyState takes the shares of the replicated state, which hold until a time of the clock.
func (a *Accounts) ApplyState(state settlement.State, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares, a.sharesUntil = a.shares[:0], until
	if !a.terms.On {
		return
	}
	for _, s := range state.Shares {
		creditor, debtor := a.partners.PartnerNumber(s.Creditor), a.partners.PartnerNumber(s.Debtor)
		if creditor > 0 && debtor > 0 && s.PPM > 0 {
			a.shares = append(a.shares, share{creditor, debtor, float64(s.PPM) / settlement.PartsPerMillion})
		}
	}
}

// LendingZones returns, by zone, the partner that it belongs to where requests may go there for settlement, else 0; and
// the largest fraction of any creditor's requests that may. Owners are nil while nothing is settled.
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
				owner, maxFraction = s.debtor, max(maxFraction, s.fraction)
			}
		}
		owners = append(owners, owner)
	}
	return owners, maxFraction
}

// isSettling reports, under the lock, whether shares are in force.
func (a *Accounts) isSettling() bool { return len(a.shares) > 0 && a.now() < a.sharesUntil }

// AddElective adds to the selected servers those that elective attempts need, and marks those of the selected that they
// may prefer. While nothing is settled the selection is returned as it is.
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

// ReportDebts passes on the debts, for a digest: with a store only those that are in it, so that none is reported that a
// later incarnation would not know.
func (a *Accounts) ReportDebts(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, amount := range a.stored {
		add(settlement.DebtCountName(amount.LedgerID, amount.Pair), amount.Sum)
	}
	if a.changed == nil {
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

// signalChange has the store follow the balances.
func (a *Accounts) signalChange() {
	if a.changed == nil {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default: // signalled already: the next write has this change too
	}
}
