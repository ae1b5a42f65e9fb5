package failover

import (
	"time"

	"harrierhoist/internal/cluster"
)

// Decider turns evidence into plans. It runs at the leader and is made anew with each new leader.
type Decider struct {
	terms Terms
	lease time.Duration
}

// New makes a decider. Lease is the longest that a gateway acts on a plan after another was written.
func New(terms Terms, lease time.Duration) *Decider {
	return &Decider{terms: terms.Filled(), lease: lease}
}

var _ cluster.Decider = (*Decider)(nil)

// Table is the table that it writes.
func (d *Decider) Table() string { return Table }

// Decide gives the next plan, or write false where the one that stands is to stay. It is called some ten times a second.
func (d *Decider) Decide(now time.Duration, seen cluster.Seen) (value []byte, write bool) {
	return nil, false
}
