// Package config reads the operators' file of the coordination (RELAY_COMMON): who this process is,
// which processes are voters, and the settings of each part that is decided in common. Package node
// reads it at the start and at each reload. Where no file is named, no part of the coordination
// starts.
package config

import (
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/settlement"
)

// Config is the file. Its tags are the operators' keys.
type Config struct {
	Process Process `toml:"process"`
	Voters  []Voter `toml:"voter"`
	Timing  Timing  `toml:"timing"`

	// The parts, each a table with its settings; one that is left out is off. A new part adds a
	// line here and in Parts.
	Failover   *failover.Settings   `toml:"failover"`
	Counting   *countingrule.Config `toml:"counting"`
	Settlement *settlement.Terms    `toml:"debts"`
}

// Part is the settings of a part. The errors of Check name the key and what is allowed.
type Part interface{ Check() []error }

// Process is who this process is.
type Process struct {
	Name   string `toml:"name"`   // another for each process, 1 to 64 letters, digits, '.', '_' and '-'
	Zone   string `toml:"hall"`   // that it stands in; needed by the parts that go by zones
	Voter  bool   `toml:"voter"`  // whether it is one of the voters named below
	Listen string `toml:"listen"` // host:port that a voter listens on; where left out, its address below
	Folder string `toml:"disk"`   // of a voter's log; where debts are settled, of any gateway's journal
	// PrivateNetwork says that the network between the processes is private: connections are not
	// encrypted, so without it nothing but loopback is listened on or dialled.
	PrivateNetwork bool `toml:"private_network"`
	// MaxConnections is how many a voter accepts at a time: two for each process that follows it.
	MaxConnections int  `toml:"connections"`
	SingleVoter    bool `toml:"single"` // one voter alone is enough: for trials
}

// Voter is one of the processes that hold the replicated log.
type Voter struct {
	Number  uint64 `toml:"number"` // from 1, never used twice: a disk that was lost comes back under a new one
	Name    string `toml:"name"`   // of its process
	Address string `toml:"address"`
	// ReplacesNumber is the number of the voter whose place it takes; 0 for one of the first.
	ReplacesNumber uint64 `toml:"replaces"`
}

// Timing is the lease and the interval of digests. It is the same in all files of one installation.
type Timing struct {
	// Lease is how long a table may be used, from the sending of the read that confirmed it.
	Lease          Duration `toml:"lease"`
	DigestInterval Duration `toml:"digest_every"` // between two digests of a process
}

// Defaults and bounds of the lease.
const (
	defaultLease = 2 * time.Second
	minLease     = 500 * time.Millisecond
	maxLease     = 30 * time.Second
)

// Defaults and bounds of the interval between digests.
const (
	defaultDigestInterval = 200 * time.Millisecond
	minDigestInterval     = 50 * time.Millisecond
	maxDigestInterval     = 5 * time.Second
)

// Defaults and bounds of a voter's connections.
const (
	defaultConnections = 1024
	minConnections     = 16
	maxConnections     = 65536
)

// Duration is a length of time in the file: "200ms", "2s".
type Duration struct {
	time.Duration
	invalid string // the file's text where it is not a duration, as a number without a unit; else empty
}

// UnmarshalText reads a length of time as Go writes it. It returns no error for other text: that is
// reported by validate, with all other faults.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	d.invalid = ""
	if err != nil || string(text) == "0" {
		d.invalid = string(text)
	}
	return nil
}

// newConfig returns the values of the keys that a file leaves out.
func newConfig() *Config {
	terms := settlement.DefaultTerms()
	return &Config{
		Process: Process{MaxConnections: defaultConnections},
		Timing: Timing{
			Lease:          Duration{Duration: defaultLease},
			DigestInterval: Duration{Duration: defaultDigestInterval},
		},
		Settlement: &terms,
	}
}

// Parts returns the settings of the parts that the file has, by the table's key.
func (c *Config) Parts() map[string]Part {
	parts := map[string]Part{}
	if c.Failover != nil {
		parts["failover"] = c.Failover
	}
	if c.Counting != nil {
		parts["counting"] = c.Counting
	}
	if c.SettlementEnabled() {
		parts["debts"] = c.Settlement
	}
	return parts
}

// FailoverEnabled reports whether failover is on.
func (c *Config) FailoverEnabled() bool { return c.Failover != nil && c.Failover.Enabled }

// SettlementEnabled reports whether debts between partners are counted and settled.
func (c *Config) SettlementEnabled() bool { return c.Settlement != nil && c.Settlement.On }

// Self returns the entry of this process among the voters, nil where it is no voter.
func (c *Config) Self() *Voter {
	if !c.Process.Voter {
		return nil
	}
	index := slices.IndexFunc(c.Voters, func(voter Voter) bool { return voter.Name == c.Process.Name })
	if index < 0 {
		return nil
	}
	return &c.Voters[index]
}

// RetainRestartOnly takes over from the configuration in force what only a restart can change, and
// returns the keys that differed.
func (c *Config) RetainRestartOnly(inForce *Config) (keys []string) {
	before := inForce.Process
	now := c.Process
	for _, setting := range []struct {
		key  string
		same bool
	}{
		{"process.name", before.Name == now.Name},
		{"process.hall", before.Zone == now.Zone},
		{"process.voter", before.Voter == now.Voter},
		{"process.listen", before.Listen == now.Listen},
		{"process.disk", before.Folder == now.Folder},
		{"process.private_network", before.PrivateNetwork == now.PrivateNetwork},
		{"process.connections", before.MaxConnections == now.MaxConnections},
		{"process.single", before.SingleVoter == now.SingleVoter},
	} {
		if !setting.same {
			keys = append(keys, setting.key)
		}
	}
	c.Process = before
	// Parts are turned on and off by a restart; their settings change in place.
	if c.FailoverEnabled() != inForce.FailoverEnabled() {
		keys = append(keys, "failover")
		c.Failover = inForce.Failover
	}
	if (c.Counting == nil) != (inForce.Counting == nil) {
		keys = append(keys, "counting")
		c.Counting = inForce.Counting
	}
	// Settlement is not among them yet: a reload that turns it on or off is not reported.
	return keys
}
