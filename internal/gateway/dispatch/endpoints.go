package dispatch

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Server is a server as discovery names it.
type Server struct {
	Name, Address string
	Endpoint      policy.Endpoint // its number is given here
	nameHash      uint64
}

// serverTable holds the servers of the endpoint list under the numbers that the decision
// module knows them by.
type serverTable struct {
	byNumber map[uint32]Server
	numbers  map[string]uint32 // by name
	last     uint32            // the latest number; none is used twice
}

func newServerTable() serverTable {
	return serverTable{byNumber: map[uint32]Server{}, numbers: map[string]uint32{}}
}

// update applies the full list, or what changed of it. A server that is removed is forgotten with
// its number: the same name later is a new server to the decision module.
func (t *serverTable) update(kind policy.ListKind, servers []Server) {
	removed := map[string]uint32{} // names that a full list leaves out
	if kind != policy.ListDelta {
		removed = maps.Clone(t.numbers)
	}
	for _, server := range servers {
		if server.Endpoint.State != policy.Removed {
			delete(removed, server.Name)
			t.put(server)
		} else if number, known := t.numbers[server.Name]; known {
			removed[server.Name] = number
		}
	}
	for name, number := range removed {
		delete(t.numbers, name)
		delete(t.byNumber, number)
	}
}

// put takes an entry of the list.
func (t *serverTable) put(server Server) {
	number, known := t.numbers[server.Name]
	if !known {
		t.last++
		number = t.last
		t.numbers[server.Name] = number
		server.nameHash = subset.HashName(server.Name)
	} else {
		server.nameHash = t.byNumber[number].nameHash
	}
	server.Endpoint.Server = number
	t.byNumber[number] = server
}

// candidates gives all servers in the order in which they were first named.
func (t *serverTable) candidates() []subset.Candidate {
	all := make([]subset.Candidate, 0, len(t.byNumber))
	for _, number := range slices.Sorted(maps.Keys(t.byNumber)) {
		server := t.byNumber[number]
		all = append(all, subset.Candidate{NameHash: server.nameHash, Endpoint: server.Endpoint})
	}
	return all
}

// HandleEndpoints applies the endpoint list, or what changed of it, and cancels attempts that have
// not begun at servers that it takes out of service. After a failed list the earlier one stays in
// force.
func (d *Dispatcher) HandleEndpoints(kind policy.ListKind, servers []Server) {
	now := d.lock()
	defer d.unlock()
	if kind == policy.ListFailed {
		d.module.HandleEndpoints(now, kind, nil)
		return
	}
	d.servers.update(kind, servers)
	d.updateModule(now, kind)
	d.cancelUnbegunAttempts()
}

// updateModule gives the decision module the ready servers of this gateway's subset. To the module
// the others are removed: it asks for no attempt there, and what is in flight goes on.
func (d *Dispatcher) updateModule(now time.Duration, kind policy.ListKind) {
	all := d.servers.candidates()
	if d.recorder != nil {
		d.recordEndpoints(now, all)
	}
	selected, sharers := d.subset.Select(now, all)
	selected = d.accounts.AddElective(d.subset, now, selected, all)
	if kind == policy.ListDelta {
		kind = policy.ListFull
	}
	d.module.SetSharingGateways(sharers)
	d.module.HandleEndpoints(now, kind, selected)
}

// refreshEndpoints updates the module where the list has not changed, but what follows from it has.
func (d *Dispatcher) refreshEndpoints(now time.Duration) {
	if len(d.servers.byNumber) > 0 {
		d.updateModule(now, policy.ListFull)
	}
}
