// Package charter reads the operators' own file of what processes hold in common: who this process is, which
// processes are voters, and the terms of each part that is decided in common. Where no file is named, none of it
// starts.
package config

import (
	"slices"
	"time"

	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/settlement"
)

// Config is the file. Times are written as "200ms" or "2s".
type Config struct {
	Process Process `toml:"process"`
	Voters  []Voter `toml:"voter"`
	Timing  Timing  `toml:"timing"`

	// The parts, each a table with its terms; one that is left out is off. A part adds one line here, and its
	// terms have a method Check() []error whose errors name the key and what is allowed.
	Failover   *failover.Settings   `toml:"failover"`
	Counting   *countingrule.Config `toml:"counting"`
	Settlement *settlement.Terms    `toml:"debts"`
}

// Process is who this process is.
type Process struct {
	Name   string `toml:"name"`   // another for each process, 1 to 64 letters, digits, '.', '_' and '-'
	Zone   string `toml:"hall"`   // that it stands in; needed by the parts that go by halls
	Voter  bool   `toml:"voter"`  // whether it is one of the voters named below
	Listen string `toml:"listen"` // host:port of a voter's link; where left out, its address below
	Folder string `toml:"disk"`   // a voter's folder; where debts are on, any gateway's, for what it counted
	// PrivateNetwork says that the network between the processes is private: links are plain, so without it
	// nothing but loopback is listened on or dialled.
	PrivateNetwork bool `toml:"private_network"`
	// MaxConnections is how many a voter's link takes at a time: two for each process that follows it.
	MaxConnections int  `toml:"connections"`
	SingleVoter    bool `toml:"single"` // one voter alone is enough: for trials
}

// Voter is one of the processes that hold the log.
type Voter struct {
	Number  uint64 `toml:"number"` // from 1, never used twice: a disk that was lost comes back under a new one
	Name    string `toml:"name"`   // of its process
	Address string `toml:"address"`
	// ReplacesNumber is the number of the voter whose place it takes; 0 for one of the first.
	ReplacesNumber uint64 `toml:"replaces"`
}

// Timing is how often processes talk. It is the same in all files of one installation.
type Timing struct {
	Lease          Duration `toml:"lease"`        // how long a table holds after the read that confirmed it was sent
	DigestInterval Duration `toml:"digest_every"` // between two digests of a process
}

// What Timing may be, and is where the file says nothing.
const (
	defaultLease = 2 * time.Second        // a hall lost is to be acted on everywhere within about that
	minLease     = 500 * time.Millisecond // shorter, one lost message ends it
	maxLease     = 30 * time.Second       // longer, a process cut off acts on what is long past

	defaultConnections = 1024 // 300 processes on one voter, with room
	minConnections     = 16
	maxConnections     = 65536

	defaultDigestInterval = 200 * time.Millisecond
	minDigestInterval     = 50 * time.Millisecond // more often, 3,000 processes are a burden to the voters
	maxDigestInterval     = 5 * time.Second       // less often, deciders see too late
)

// Duration is a length of time in the file: "200ms", "2s".
type Duration struct {
	time.Duration
	invalid string // as written where it is none; a bare number is none, as it has no unit
}

// UnmarshalText reads a length of time as Go writes it. What is none is told with all else that is wrong.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if s.Duration, s.invalid = d, ""; err != nil || string(text) == "0" {
		s.invalid = string(text)
	}
	return nil
}

// Parts are the parts' own tables that the file has, by the table's name.
func (c *Config) Parts() map[string]interface{ Check() []error } {
	terms := map[string]interface{ Check() []error }{}
	if c.Failover != nil {
		terms["failover"] = c.Failover
	}
	if c.Counting != nil {
		terms["counting"] = c.Counting
	}
	if c.SettlementEnabled() {
		terms["debts"] = c.Settlement
	}
	return terms
}

// FailoverEnabled tells whether failover is on.
func (c *Config) FailoverEnabled() bool { return c.Failover != nil && c.Failover.Enabled }

// SettlementEnabled tells whether debts between partners are counted and settled.
func (c *Config) SettlementEnabled() bool { return c.Settlement != nil && c.Settlement.On }

// Self is the entry of this process among the voters, nil where it is none.
func (c *Config) Self() *Voter {
	if !c.Process.Voter {
		return nil
	}
	i := slices.IndexFunc(c.Voters, func(voter Voter) bool { return voter.Name == c.Process.Name })
	if i < 0 {
		return nil
	}
	return &c.Voters[i]
}

// RetainRestartOnly takes from an earlier file what only a restart can change, and gives the keys of what differed.
func (c *Config) RetainRestartOnly(old *Config) (keys []string) {
	was, now := old.Process, c.Process
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"process.name", was.Name == now.Name},
		{"process.hall", was.Zone == now.Zone},
		{"process.voter", was.Voter == now.Voter},
		{"process.listen", was.Listen == now.Listen},
		{"process.disk", was.Folder == now.Folder},
		{"process.private_network", was.PrivateNetwork == now.PrivateNetwork},
		{"process.connections", was.MaxConnections == now.MaxConnections},
		{"process.single", was.SingleVoter == now.SingleVoter},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	c.Process = was
	// A part comes and goes with a restart; its terms change in place.
	if c.FailoverEnabled() != old.FailoverEnabled() {
		keys, c.Failover = append(keys, "failover"), old.Failover
	}
	if (c.Counting == nil) != (old.Counting == nil) {
		keys, c.Counting = append(keys, "counting"), old.Counting
	}
	//   PLACE debts: the same
	return keys
}
