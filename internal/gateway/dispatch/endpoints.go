package dispatch

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/gateway/upstream/subset"
	"harrierhoist/policy"
)

// Server is an entry of the endpoint list.
type Server struct {
	Name, Address string
	Endpoint      policy.Endpoint // Endpoint.Server is assigned by the dispatcher
	nameHash      uint64          // subset.HashName of Name
}

// serverTable holds the servers of the endpoint list by the numbers that identify them to the
// decision module.
type serverTable struct {
	byNumber   map[uint32]Server
	numbers    map[string]uint32 // by name
	lastNumber uint32            // latest number assigned; numbers are not reused
}

func newServerTable() serverTable {
	return serverTable{byNumber: map[uint32]Server{}, numbers: map[string]uint32{}}
}

// update applies a full list or a delta. It deletes a removed server and its number: if the name is
// listed again, it is a new server to the decision module.
func (t *serverTable) update(kind policy.ListKind, servers []Server) {
	removed := map[string]uint32{} // by name; includes servers that a full list leaves out
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

// put adds or replaces the entry of a server.
func (t *serverTable) put(server Server) {
	number, known := t.numbers[server.Name]
	if !known {
		t.lastNumber++
		number = t.lastNumber
		t.numbers[server.Name] = number
		server.nameHash = subset.HashName(server.Name)
	} else {
		server.nameHash = t.byNumber[number].nameHash
	}
	server.Endpoint.Server = number
	t.byNumber[number] = server
}

// candidates returns all servers in the order in which they were first listed.
func (t *serverTable) candidates() []subset.Candidate {
	all := make([]subset.Candidate, 0, len(t.byNumber))
	for _, number := range slices.Sorted(maps.Keys(t.byNumber)) {
		server := t.byNumber[number]
		all = append(all, subset.Candidate{NameHash: server.nameHash, Endpoint: server.Endpoint})
	}
	return all
}

// HandleEndpoints applies a full endpoint list or a delta, and cancels unsent attempts at servers
// that it takes out of service. After a failed list the previous one remains in force.
func (d *Dispatcher) HandleEndpoints(kind policy.ListKind, servers []Server) {
	now := d.lock()
	defer d.unlock()
	if kind == policy.ListFailed {
		d.module.HandleEndpoints(now, kind, nil)
		return
	}
	d.servers.update(kind, servers)
	d.updateModuleEndpoints(now, kind)
	d.cancelStaleAttempts()
}

// updateModuleEndpoints passes the ready servers of this gateway's subset to the decision module.
// The module considers all other servers removed: it makes no further attempts there, and attempts
// in flight continue.
func (d *Dispatcher) updateModuleEndpoints(now time.Duration, kind policy.ListKind) {
	all := d.servers.candidates()
	if d.recorder != nil {
		d.recordEndpoints(now, all)
	}
	selected, sharers := d.subset.Select(now, all)
	selected = d.accounts.AddElectiveServers(d.subset, now, selected, all)
	if kind == policy.ListDelta {
		kind = policy.ListFull
	}
	d.module.SetSharingGateways(sharers)
	d.module.HandleEndpoints(now, kind, selected)
}

// refreshEndpoints selects the module's endpoints again from the current list, after something else
// that the selection depends on has changed. It does nothing while the list is empty.
func (d *Dispatcher) refreshEndpoints(now time.Duration) {
	if len(d.servers.byNumber) > 0 {
		d.updateModuleEndpoints(now, policy.ListFull)
	}
}
