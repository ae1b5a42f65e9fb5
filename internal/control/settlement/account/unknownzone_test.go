package account

import (
	"testing"
	"time"

	"harrierhoist/internal/numbering"
	"harrierhoist/policy"
)

// Guards against debts that are owed to the owner of the first zone for attempts in a zone that the
// start did not name. They are owed to the zone's owner by the terms, or to nobody.
func TestRequestTracker_unknownZoneOwesItsOwner(t *testing.T) {
	zones := numbering.New(testSettings.Zones)
	for _, row := range []struct {
		zone     string
		customer uint64
		want     uint64 // debt of a to b
	}{
		{"hx", 1, 2000},
		{"hz", 1, 0},
		{"hx", 9, 0}, // b's own, by its plan
		{"hz", 9, 0},
	} {
		accounts := newTestAccounts()
		terms := testTerms()
		terms.Partners[1].Zones = []string{"hb", "hx"}
		accounts.SetTerms(terms)
		tracker := accounts.TrackRequest(0, policy.Request{Customer: row.customer, Plan: 1, Units: 2})
		tracker.OnAttemptStart(zones.Of(row.zone))
		tracker.OnAttemptEnd(time.Second, policy.Answered, 0)
		sum := uint64(0)
		for _, n := range reportedDebts(accounts) {
			sum += n
		}
		if got := reportedDebtOfA(accounts, "x"); got != row.want || sum != row.want {
			t.Errorf("customer %d in %s: a owes b %d, all debts are %d; want %d",
				row.customer, row.zone, got, sum, row.want)
		}
	}
}
