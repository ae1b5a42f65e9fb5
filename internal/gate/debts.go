package gate

import (
	"harrierhoist/internal/debts/till"
	"harrierhoist/policy"
)

// Owe has a till count from here on what tasks owe; those in hand are left out.
func (g *Gate) Owe(t *till.Till) {
	now := g.enter()
	defer g.leave()
	g.till = t
	if len(g.servers) > 0 {
		g.hand(now, policy.ListWhole)
	}
}

// Settle hands the module the servers that the till's shares now call for.
func (g *Gate) Settle() {
	now := g.enter()
	defer g.leave()
	g.hand(now, policy.ListWhole)
}
