package dispatch

import (
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/policy"
)

// SetAccounts has accounts count what requests owe from here on; those in flight are left out.
func (d *Dispatcher) SetAccounts(accounts *account.Accounts) {
	now := d.lock()
	defer d.unlock()
	d.accounts = accounts
	d.refreshEndpoints(now)
}

// UpdateElective gives the decision module the servers that the accounts' shares call for now.
func (d *Dispatcher) UpdateElective() {
	now := d.lock()
	defer d.unlock()
	d.updateModule(now, policy.ListFull)
}
