package dispatch

import (
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// SetAccounts makes accounts track the debts of all requests from now on. Requests in flight are
// not tracked.
func (d *Dispatcher) SetAccounts(accounts *account.Accounts) {
	now := d.lock()
	defer d.unlock()
	d.accounts = accounts
	d.refreshEndpoints(now)
}

// UpdateElectiveServers passes the decision module the servers that elective attempts need under
// the accounts' current shares.
func (d *Dispatcher) UpdateElectiveServers() {
	now := d.lock()
	defer d.unlock()
	d.updateModuleEndpoints(now, policy.ListFull)
}
