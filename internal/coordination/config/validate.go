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

// KeyError reports what is wrong with the value of a key, and what is allowed.
type KeyError struct{ Key, Message string }

// Error implements error: one line.
func (e *KeyError) Error() string { return e.Key + " " + e.Message }

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// validator collects the faults of a configuration.
type validator struct {
	config *Config
	faults []error
}

// validate returns all faults of the configuration, in the order of the file's tables.
func (c *Config) validate() []error {
	v := validator{config: c}
	v.checkProcess()
	v.checkRole()
	v.checkVoters()
	v.checkReplacements()
	v.checkVoterCount()
	v.checkDuration("timing.lease", c.Timing.Lease, minLease, maxLease)
	v.checkDuration("timing.digest_every", c.Timing.DigestInterval, minDigestInterval, maxDigestInterval)
	if n := c.Process.MaxConnections; n < minConnections || n > maxConnections {
		v.add("process.connections", "must be from %d to %d, not %d", minConnections, maxConnections, n)
	}
	parts := c.Parts()
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		v.faults = append(v.faults, parts[key].Check()...)
	}
	return v.faults
}

func (v *validator) add(key, format string, args ...any) {
	v.faults = append(v.faults, &KeyError{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkProcess() {
	const form = "must be 1 to 64 letters, digits, '.', '_' or '-', not %q"
	if !namePattern.MatchString(v.config.Process.Name) {
		v.add("process.name", form, v.config.Process.Name)
	}
	if v.config.Process.Zone != "" && !namePattern.MatchString(v.config.Process.Zone) {
		v.add("process.hall", form, v.config.Process.Zone)
	}
}

// checkRole checks that a voter has the keys that it needs, and another process none of a voter's.
func (v *validator) checkRole() {
	process := v.config.Process
	if !process.Voter {
		if process.Listen != "" {
			v.add("process.listen", "must be left out where process.voter is not true, not %q", process.Listen)
		}
		if process.Folder != "" && !v.config.SettlementEnabled() {
			v.add(
				"process.disk",
				"must be left out where neither process.voter nor debts.on is true, not %q",
				process.Folder,
			)
		}
		return
	}
	if process.Folder == "" {
		v.add("process.disk", "must name a folder where process.voter = true")
	}
	if v.config.Self() == nil {
		v.add("process.voter", "must be false where no [[voter]] has the name of this process, %q", process.Name)
	}
	if process.Listen != "" {
		v.checkAddress("process.listen", process.Listen)
	}
}

func (v *validator) checkAddress(key, address string) {
	if !isHostPort(address) {
		v.add(key, "must be host:port with a port from 1 to 65535, not %q", address)
	} else if !v.config.Process.PrivateNetwork && !IsLoopback(address) {
		v.add(key, "must be a loopback address (127.x.x.x, [::1] or localhost), not %q,"+
			" unless process.private_network = true says that the network is private", address)
	}
}

// checkVoters checks each voter by itself and against those before it.
func (v *validator) checkVoters() {
	names := map[string]bool{}
	numbers := map[uint64]bool{}
	addresses := map[string]bool{}
	replaced := map[uint64]bool{}
	for i, voter := range v.config.Voters {
		key := fmt.Sprintf("voter.%d.", i+1)
		if !namePattern.MatchString(voter.Name) || names[voter.Name] {
			v.add(
				key+"name",
				"must be 1 to 64 letters, digits, '.', '_' or '-' and no other voter's, not %q",
				voter.Name,
			)
		}
		if voter.Number == 0 || numbers[voter.Number] {
			v.add(key+"number", "must be 1 or more and no other voter's, not %d", voter.Number)
		}
		v.checkAddress(key+"address", voter.Address)
		if addresses[voter.Address] {
			v.add(key+"address", "must be no other voter's, not %q", voter.Address)
		}
		if n := voter.ReplacesNumber; n != 0 && (n >= voter.Number || replaced[n]) {
			v.add(key+"replaces", "must be below its own number and named once, not %d", n)
		}
		names[voter.Name] = true
		numbers[voter.Number] = true
		addresses[voter.Address] = true
		replaced[voter.ReplacesNumber] = voter.ReplacesNumber != 0
	}
}

// checkReplacements checks that no voter replaces one that is still in the file.
func (v *validator) checkReplacements() {
	numbers := map[uint64]bool{}
	for _, voter := range v.config.Voters {
		numbers[voter.Number] = true
	}
	for i, voter := range v.config.Voters {
		if n := voter.ReplacesNumber; n != 0 && numbers[n] {
			v.add(
				fmt.Sprintf("voter.%d.replaces", i+1),
				"must be the number of a voter that is named no longer, not %d",
				n,
			)
		}
	}
}

// The numbers of voters that a file may name: majorities of 2 and 3.
const (
	fewVoters  = 3
	manyVoters = 5
)

func (v *validator) checkVoterCount() {
	switch n := len(v.config.Voters); {
	case n == fewVoters || n == manyVoters:
	case n == 1 && v.config.Process.SingleVoter:
	case v.config.Process.SingleVoter:
		v.add("voter", "must be 1, 3 or 5 voters, not %d", n)
	default:
		v.add("voter", "must be 3 or 5 voters (or 1 where process.single = true, for trials), not %d", n)
	}
}

func (v *validator) checkDuration(key string, d Duration, shortest, longest time.Duration) {
	if d.invalid != "" {
		v.add(key, `must be a time such as "200ms" or "2s", not %s`, d.invalid)
	} else if d.Duration < shortest || d.Duration > longest {
		v.add(key, "must be from %v to %v, not %v", shortest, longest, d.Duration)
	}
}

// The form of a port's number.
const (
	portBase = 10
	portBits = 16
)

func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, portBase, portBits)
	return err == nil && number > 0
}

// IsLoopback reports whether a host:port never leaves this machine. A name other than localhost
// does not count, as what it resolves to can change.
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
