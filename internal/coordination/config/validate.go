package config

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

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// validate gives all that is wrong with what the file says.
func (c *Config) validate() (faults []error) {
	fault := func(key, form string, args ...any) {
		faults = append(faults, fmt.Errorf("%s "+form, append([]any{key}, args...)...))
	}
	process := c.Process
	if !namePattern.MatchString(process.Name) {
		fault("process.name", "must be 1 to 64 letters, digits, '.', '_' or '-', not %q", process.Name)
	}
	if process.Zone != "" && !namePattern.MatchString(process.Zone) {
		fault("process.hall", "must be 1 to 64 letters, digits, '.', '_' or '-', not %q", process.Zone)
	}
	address := func(key, value string) {
		if !isHostPort(value) {
			fault(key, "must be host:port with a port from 1 to 65535, not %q", value)
		} else if !process.PrivateNetwork && !IsLoopback(value) {
			fault(key, "must be a loopback address (127.x.x.x, [::1] or localhost), not %q,"+
				" unless process.private_network = true says that the network is private", value)
		}
	}
	if process.Voter {
		if process.Folder == "" {
			fault("process.disk", "must name a folder where process.voter = true")
		}
		if c.Self() == nil {
			fault("process.voter", "must be false where no [[voter]] has the name of this process, %q", process.Name)
		}
		if process.Listen != "" {
			address("process.listen", process.Listen)
		}
	} else {
		if process.Listen != "" {
			fault("process.listen", "must be left out where process.voter is not true, not %q", process.Listen)
		}
		if process.Folder != "" && !c.SettlementEnabled() {
			fault("process.disk", "must be left out where neither process.voter nor debts.on is true, not %q", process.Folder)
		}
	}
	names, numbers, addresses, replaced := map[string]bool{}, map[uint64]bool{}, map[string]bool{}, map[uint64]bool{}
	for i, voter := range c.Voters {
		at := fmt.Sprintf("voter.%d.", i+1)
		if !namePattern.MatchString(voter.Name) || names[voter.Name] {
			fault(at+"name", "must be 1 to 64 letters, digits, '.', '_' or '-' and no other voter's, not %q", voter.Name)
		}
		if voter.Number == 0 || numbers[voter.Number] {
			fault(at+"number", "must be 1 or more and no other voter's, not %d", voter.Number)
		}
		address(at+"address", voter.Address)
		if addresses[voter.Address] {
			fault(at+"address", "must be no other voter's, not %q", voter.Address)
		}
		if voter.ReplacesNumber != 0 && (voter.ReplacesNumber >= voter.Number || replaced[voter.ReplacesNumber]) {
			fault(at+"replaces", "must be below its own number and named once, not %d", voter.ReplacesNumber)
		}
		names[voter.Name], numbers[voter.Number], addresses[voter.Address] = true, true, true
		replaced[voter.ReplacesNumber] = voter.ReplacesNumber != 0
	}
	for i, voter := range c.Voters {
		if numbers[voter.ReplacesNumber] && voter.ReplacesNumber != 0 {
			fault(fmt.Sprintf("voter.%d.replaces", i+1),
				"must be the number of a voter that is named no longer, not %d", voter.ReplacesNumber)
		}
	}
	switch n := len(c.Voters); {
	case n == 3 || n == 5 || n == 1 && process.SingleVoter:
	case process.SingleVoter:
		fault("voter", "must be 1, 3 or 5 voters, not %d", n)
	default:
		fault("voter", "must be 3 or 5 voters (or 1 where process.single = true, for trials), not %d", n)
	}
	within := func(key string, s Duration, least, most time.Duration) {
		if s.invalid != "" {
			fault(key, `must be a time such as "200ms" or "2s", not %s`, s.invalid)
		} else if s.Duration < least || s.Duration > most {
			fault(key, "must be from %v to %v, not %v", least, most, s.Duration)
		}
	}
	within("timing.lease", c.Timing.Lease, minLease, maxLease)
	within("timing.digest_every", c.Timing.DigestInterval, minDigestInterval, maxDigestInterval)
	if process.MaxConnections < minConnections || process.MaxConnections > maxConnections {
		fault("process.connections", "must be from %d to %d, not %d", minConnections, maxConnections, process.MaxConnections)
	}
	terms := c.Parts()
	for _, table := range slices.Sorted(maps.Keys(terms)) {
		faults = append(faults, terms[table].Check()...)
	}
	return faults
}

func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, bad := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && bad == nil && n > 0
}

// IsLoopback tells whether a host:port is one that never leaves this machine. A name other than localhost is none, as
// what it stands for can change.
func IsLoopback(address string) bool {
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
