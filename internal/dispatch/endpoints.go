package dispatch

import (
	"maps"
	"slices"
	"time"

	"harrierhoist/internal/upstream/subset"
	"harrierhoist/policy"
)

// Server is a server as discovery names it.
type Server struct {
	Name, Address string
	Endpoint      policy.Endpoint // its number is given here
	fingerprint   uint64          // of its name
}

// HandleEndpoints takes the servers: all of them, or those that changed. One that is gone is forgotten, and so is its number:
// the same name later is a new server to the module.
func (d *Dispatcher) HandleEndpoints(kind policy.ListKind, servers []Server) {
	now := d.lock()
	defer d.unlock()
	if kind == policy.ListFailed {
		d.gateway.HandleEndpoints(now, kind, nil)
		return
	}
	removed := map[string]uint32{} // names that a whole list leaves out
	if kind != policy.ListDelta {
		removed = maps.Clone(d.serverNumbers)
	}
	for _, server := range servers {
		number, known := d.serverNumbers[server.Name]
		if server.Endpoint.State == policy.Removed {
			if known {
				removed[server.Name] = number
			}
			continue
		}
		delete(removed, server.Name)
		if !known {
			d.lastServerNumber++
			number = d.lastServerNumber
			d.serverNumbers[server.Name] = number
		}
		server.Endpoint.Server, server.fingerprint = number, d.servers[number].fingerprint
		if !known {
			server.fingerprint = subset.HashName(server.Name)
		}
		d.servers[number] = server
	}
	for name, number := range removed {
		delete(d.serverNumbers, name)
		delete(d.servers, number)
	}
	d.updateGateway(now, kind)
	d.cancelUnbegunAttempts()
}

// updateGateway gives the module the servers of our part that are ready, in the order in which they were first named. To
// it the others are gone: it pushes to ready ones alone, and what is out elsewhere goes on.
func (d *Dispatcher) updateGateway(now time.Duration, kind policy.ListKind) {
	numbers := slices.Sorted(maps.Keys(d.servers))
	all := make([]subset.Candidate, 0, len(numbers))
	for _, number := range numbers {
		server := d.servers[number]
		all = append(all, subset.Candidate{NameHash: server.fingerprint, Endpoint: server.Endpoint})
	}
	if d.dependencies.Recorder != nil {
		d.recordEndpoints(now, all)
	}
	assigned, sharers := d.subset.Select(now, all)
	assigned = d.account.AddElective(d.subset, now, assigned, all)
	if kind == policy.ListDelta {
		kind = policy.ListFull
	}
	d.gateway.SetSharers(sharers)
	d.gateway.HandleEndpoints(now, kind, assigned)
}

// Wanted is told when the list of servers is to be asked for again.
func (d *Dispatcher) Wanted() <-chan struct{} { return d.watch }
