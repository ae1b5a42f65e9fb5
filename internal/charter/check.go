package charter

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"
)

var nameAllowed = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// check gives all that is wrong with what the file says.
func (c *Charter) check() (faults []error) {
	fault := func(key, form string, args ...any) {
		faults = append(faults, fmt.Errorf("%s "+form, append([]any{key}, args...)...))
	}
	p := c.Process
	if !nameAllowed.MatchString(p.Name) {
		fault("process.name", "must be 1 to 64 letters, digits, '.', '_' or '-', not %q", p.Name)
	}
	if p.Hall != "" && !nameAllowed.MatchString(p.Hall) {
		fault("process.hall", "must be 1 to 64 letters, digits, '.', '_' or '-', not %q", p.Hall)
	}
	address := func(key, value string) {
		if !hostPort(value) {
			fault(key, "must be host:port with a port from 1 to 65535, not %q", value)
		} else if !p.PrivateNetwork && !Loopback(value) {
			fault(key, "must be a loopback address (127.x.x.x, [::1] or localhost), not %q,"+
				" unless process.private_network = true says that the network is private", value)
		}
	}
	if p.Voter {
		if p.Disk == "" {
			fault("process.disk", "must name a folder where process.voter = true")
		}
		if c.Self() == nil {
			fault("process.voter", "must be false where no [[voter]] has the name of this process, %q", p.Name)
		}
		if p.Listen != "" {
			address("process.listen", p.Listen)
		}
	} else {
		if p.Listen != "" {
			fault("process.listen", "must be left out where process.voter is not true, not %q", p.Listen)
		}
		if p.Disk != "" && !c.Settles() {
			fault("process.disk", "must be left out where neither process.voter nor debts.on is true, not %q", p.Disk)
		}
	}
	names, numbers, addresses, replaced := map[string]bool{}, map[uint64]bool{}, map[string]bool{}, map[uint64]bool{}
	for i, v := range c.Voters {
		at := fmt.Sprintf("voter.%d.", i+1)
		if !nameAllowed.MatchString(v.Name) || names[v.Name] {
			fault(at+"name", "must be 1 to 64 letters, digits, '.', '_' or '-' and no other voter's, not %q", v.Name)
		}
		if v.Number == 0 || numbers[v.Number] {
			fault(at+"number", "must be 1 or more and no other voter's, not %d", v.Number)
		}
		address(at+"address", v.Address)
		if addresses[v.Address] {
			fault(at+"address", "must be no other voter's, not %q", v.Address)
		}
		if v.Replaces != 0 && (v.Replaces >= v.Number || replaced[v.Replaces]) {
			fault(at+"replaces", "must be below its own number and named once, not %d", v.Replaces)
		}
		names[v.Name], numbers[v.Number], addresses[v.Address] = true, true, true
		replaced[v.Replaces] = v.Replaces != 0
	}
	for i, v := range c.Voters {
		if numbers[v.Replaces] && v.Replaces != 0 {
			fault(fmt.Sprintf("voter.%d.replaces", i+1),
				"must be the number of a voter that is named no longer, not %d", v.Replaces)
		}
	}
	switch n := len(c.Voters); {
	case n == 3 || n == 5 || n == 1 && p.Single:
	case p.Single:
		fault("voter", "must be 1, 3 or 5 voters, not %d", n)
	default:
		fault("voter", "must be 3 or 5 voters (or 1 where process.single = true, for trials), not %d", n)
	}
	within := func(key string, s Span, least, most time.Duration) {
		if s.unfit != "" {
			fault(key, `must be a time such as "200ms" or "2s", not %s`, s.unfit)
		} else if s.Duration < least || s.Duration > most {
			fault(key, "must be from %v to %v, not %v", least, most, s.Duration)
		}
	}
	within("timing.lease", c.Timing.Lease, leaseLeast, leaseMost)
	within("timing.digest_every", c.Timing.DigestEvery, digestLeast, digestMost)
	if p.Connections < connectionsLeast || p.Connections > connectionsMost {
		fault("process.connections", "must be from %d to %d, not %d", connectionsLeast, connectionsMost, p.Connections)
	}
	terms := c.Terms()
	for _, table := range slices.Sorted(maps.Keys(terms)) {
		faults = append(faults, terms[table].Check()...)
	}
	return faults
}

func hostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && bad == nil && n > 0
}

// Loopback tells whether a host:port is one that never leaves this machine. A name other than localhost is none, as
// what it stands for can change.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
