package dispatch

import (
	"harrierhoist/internal/settlement/account"
	"harrierhoist/policy"
)

// SetAccount has a till count from here on what tasks owe; those in hand are left out.
func (d *Dispatcher) SetAccount(acct *account.Accounts) {
	now := d.lock()
	defer d.unlock()
	d.account = acct
	if len(d.servers) > 0 {
		d.updateGateway(now, policy.ListFull)
	}
}

// UpdateElective hands the module the servers that the till's shares now call for.
func (d *Dispatcher) UpdateElective() {
	now := d.lock()
	defer d.unlock()
	d.updateGateway(now, policy.ListFull)
}
