// Package account counts what partners owe each other for the requests handled by one gateway, and
// selects the requests that are sent to a debtor's servers to settle a debt. Package dispatch calls
// it for each request and attempt; these calls hold a mutex briefly and do no I/O. Package runtime
// starts Accounts.Run, which writes balances to the store and follows the replicated table.
package account

import (
	"math/rand/v2"
	"sync"
	"time"

	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Config is the initial configuration of Accounts.
type Config struct {
	Terms    settlement.Terms
	Settings Settings
	// LedgerID identifies the ledger among all ledgers of the same process in the replicated log.
	// Each incarnation of a process must use a different ID.
	LedgerID string
	Seed     uint64               // seed of the draws that select requests for settlement
	Now      func() time.Duration // monotonic clock on which leases are measured
}

// Settings is the subset of a gateway's settings that Accounts uses.
type Settings struct {
	Zones   []string // zone names, by zone index
	Plans   []string // plan names, by plan index
	Classes []policy.TrafficClass
}

// Accounts holds the balances between partners as counted by one gateway. It is safe for concurrent
// use. On a nil *Accounts, TrackRequest returns nil, SetPolicy does nothing and AddElectiveServers
// returns the selection unchanged.
type Accounts struct {
	mu       sync.Mutex
	terms    settlement.Terms
	settings Settings
	partners *settlement.PartnerIndex
	random   *rand.Rand
	now      func() time.Duration // clock on which leases are measured

	ledgerID        string // ledger that balances belong to
	initialLedgerID string // Config.LedgerID
	balances        map[settlement.Pair]*balance
	metrics         map[string]*[settlement.MetricCount]uint64 // by partner name

	shares      []share       // empty if no debt is being settled
	sharesUntil time.Duration // time on the lease clock at which shares expire

	store       Store                    // nil if balances are not stored
	storedDebts []settlement.LedgerEntry // debts last written to the store, with the ledger they were written for
	changed     chan struct{}            // capacity 1; wakes storeLoop; nil without a working store
}

// balance is the amount that a pair's debtor owes, in thousandths of units.
type balance struct {
	debt     uint64 // for attempts that ended; reduced only when a new ledger starts
	inFlight uint64 // estimate for attempts in flight
}

// share says that a fraction of a creditor's requests prefers a debtor's servers. The fraction is
// of the requests that are eligible for settlement.
type share struct {
	creditor, debtor int // partner numbers
	fraction         float64
}

// randomStream is the PCG stream of the draws that select requests for settlement. Other generators
// with the same seed use other streams.
const randomStream = 0xdeb7

// New returns Accounts that start with an empty ledger.
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

// SetTerms replaces the settlement terms. It keeps all balances and metrics. Requests in flight are
// counted under the terms in force when they began.
func (a *Accounts) SetTerms(terms settlement.Terms) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configure(terms, a.settings)
}

// SetPolicy replaces the traffic classes and plans. Classes and plans that remain keep their index.
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

// configure sets terms and settings, and discards the shares until the next ApplyState. The caller
// must hold mu: different goroutines change terms (on SIGHUP) and classes and plans (on SIGHUP and
// when counting rules change).
func (a *Accounts) configure(terms settlement.Terms, settings Settings) {
	a.terms = terms
	a.settings = settings
	a.shares = nil
	a.partners = settlement.NewPartnerIndex(terms, settings.Zones, settings.Plans)
}

// ApplyState replaces the shares with those of the replicated state. They expire at until, a time
// on the clock Config.Now. If settlement is off, there are no shares.
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

// LendingZones returns the zones that accept requests for settlement. For each zone index, owners
// holds the partner number of the zone's owner if the zone accepts such requests, and 0 otherwise.
// maxFraction is the largest fraction of a creditor's requests that any share sends to a debtor.
// owners is nil if no debt is being settled.
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

// isSettling reports whether there are shares and they have not expired. The caller must hold mu.
func (a *Accounts) isSettling() bool { return len(a.shares) > 0 && a.now() < a.sharesUntil }

// AddElectiveServers adds the servers needed for attempts that settle debts to the selection. It
// marks each selected server that such attempts may prefer with the number of its owner. If no debt
// is being settled, it returns the selection unchanged.
func (a *Accounts) AddElectiveServers(
	servers *subset.Subset, now time.Duration, selected []policy.Endpoint, all []subset.Candidate,
) []policy.Endpoint {
	if a == nil {
		return selected
	}
	owners, maxFraction := a.LendingZones()
	if owners == nil {
		return selected
	}
	return servers.AddElectiveServers(now, selected, all, owners, maxFraction)
}

// ReportMetrics calls add with the name and value of each metric, for a digest.
func (a *Accounts) ReportMetrics(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for partner, counts := range a.metrics {
		for metric, n := range counts {
			add(settlement.MetricName(settlement.Metric(metric), partner), n)
		}
	}
}

// ReportDebts calls add with the name and amount of each debt, for a digest. While the store works,
// it reports only stored debts, so that the next incarnation knows of every debt that was reported.
func (a *Accounts) ReportDebts(add func(name string, n uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range a.storedDebts {
		add(settlement.DebtCountName(entry.LedgerID, entry.Pair), entry.Sum)
	}
	if !a.hasWorkingStore() {
		for pair, b := range a.balances {
			add(settlement.DebtCountName(a.ledgerID, pair), b.debt)
		}
	}
}

// balanceOf returns a pair's balance, and creates it if there is none. The caller must hold mu.
func (a *Accounts) balanceOf(pair settlement.Pair) *balance {
	b := a.balances[pair]
	if b == nil {
		b = &balance{}
		a.balances[pair] = b
	}
	return b
}

// addMetric adds n to a partner's metric. The caller must hold mu.
func (a *Accounts) addMetric(partners *settlement.PartnerIndex, metric settlement.Metric, partner int, n uint64) {
	name := partners.Names[partner]
	if a.metrics[name] == nil {
		a.metrics[name] = new([settlement.MetricCount]uint64)
	}
	a.metrics[name][metric] += n
}

// hasWorkingStore reports whether there is a store that has not failed. The caller must hold mu.
func (a *Accounts) hasWorkingStore() bool { return a.changed != nil }

// signalChange wakes storeLoop after a balance has changed. The caller must hold mu.
func (a *Accounts) signalChange() {
	if !a.hasWorkingStore() {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default: // already signaled; the next write includes this change
	}
}
