// Package charter reads the operators' own file of what processes hold in common: who this process is, which
// processes are voters, and the terms of each part that is decided in common. Where no file is named, none of it
// starts.
package charter

import (
	"slices"
	"time"

	"harrierhoist/internal/counting"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/failover"
)

// Charter is the file. Times are written as "200ms" or "2s".
type Charter struct {
	Process Process `toml:"process"`
	Voters  []Voter `toml:"voter"`
	Timing  Timing  `toml:"timing"`

	// The parts, each a table with its terms; one that is left out is off. A part adds one line here, and its
	// terms have a method Check() []error whose errors name the key and what is allowed.
	Failover *failover.Terms `toml:"failover"`
	Counting *counting.Terms `toml:"counting"`
	Debts    *debts.Terms    `toml:"debts"`
}

// Process is who this process is.
type Process struct {
	Name   string `toml:"name"`   // another for each process, 1 to 64 letters, digits, '.', '_' and '-'
	Hall   string `toml:"hall"`   // that it stands in; needed by the parts that go by halls
	Voter  bool   `toml:"voter"`  // whether it is one of the voters named below
	Listen string `toml:"listen"` // host:port of a voter's link; where left out, its address below
	Disk   string `toml:"disk"`   // a voter's folder; where debts are on, any gateway's, for what it counted
	// PrivateNetwork says that the network between the processes is private: links are plain, so without it
	// nothing but loopback is listened on or dialled.
	PrivateNetwork bool `toml:"private_network"`
	// Connections is how many a voter's link takes at a time: two for each process that follows it.
	Connections int  `toml:"connections"`
	Single      bool `toml:"single"` // one voter alone is enough: for trials
}

// Voter is one of the processes that hold the log.
type Voter struct {
	Number  uint64 `toml:"number"` // from 1, never used twice: a disk that was lost comes back under a new one
	Name    string `toml:"name"`   // of its process
	Address string `toml:"address"`
	// Replaces is the number of the voter whose place it takes; 0 for one of the first.
	Replaces uint64 `toml:"replaces"`
}

// Timing is how often processes talk. It is the same in all files of one installation.
type Timing struct {
	Lease       Span `toml:"lease"`        // how long a table holds after the read that confirmed it was sent
	DigestEvery Span `toml:"digest_every"` // between two digests of a process
}

// What Timing may be, and is where the file says nothing.
const (
	leaseUsual = 2 * time.Second        // a hall lost is to be acted on everywhere within about that
	leaseLeast = 500 * time.Millisecond // shorter, one lost message ends it
	leaseMost  = 30 * time.Second       // longer, a process cut off acts on what is long past

	connectionsUsual = 1024 // 300 processes on one voter, with room
	connectionsLeast = 16
	connectionsMost  = 65536

	digestUsual = 200 * time.Millisecond
	digestLeast = 50 * time.Millisecond // more often, 3,000 processes are a burden to the voters
	digestMost  = 5 * time.Second       // less often, deciders see too late
)

// Span is a length of time in the file: "200ms", "2s".
type Span struct {
	time.Duration
	unfit string // as written where it is none; a bare number is none, as it has no unit
}

// UnmarshalText reads a length of time as Go writes it. What is none is told with all else that is wrong.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if s.Duration, s.unfit = d, ""; err != nil || string(text) == "0" {
		s.unfit = string(text)
	}
	return nil
}

// Terms are the parts' own tables that the file has, by the table's name.
func (c *Charter) Terms() map[string]interface{ Check() []error } {
	terms := map[string]interface{ Check() []error }{}
	if c.Failover != nil {
		terms["failover"] = c.Failover
	}
	if c.Counting != nil {
		terms["counting"] = c.Counting
	}
	if c.Settles() {
		terms["debts"] = c.Debts
	}
	return terms
}

// FailsOver tells whether failover is on.
func (c *Charter) FailsOver() bool { return c.Failover != nil && c.Failover.On }

// Settles tells whether debts between partners are counted and settled.
func (c *Charter) Settles() bool { return c.Debts != nil && c.Debts.On }

// Self is the entry of this process among the voters, nil where it is none.
func (c *Charter) Self() *Voter {
	if !c.Process.Voter {
		return nil
	}
	i := slices.IndexFunc(c.Voters, func(v Voter) bool { return v.Name == c.Process.Name })
	if i < 0 {
		return nil
	}
	return &c.Voters[i]
}

// Keep takes from an earlier file what only a restart can change, and gives the keys of what differed.
func (c *Charter) Keep(old *Charter) (keys []string) {
	was, now := old.Process, c.Process
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"process.name", was.Name == now.Name},
		{"process.hall", was.Hall == now.Hall},
		{"process.voter", was.Voter == now.Voter},
		{"process.listen", was.Listen == now.Listen},
		{"process.disk", was.Disk == now.Disk},
		{"process.private_network", was.PrivateNetwork == now.PrivateNetwork},
		{"process.connections", was.Connections == now.Connections},
		{"process.single", was.Single == now.Single},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	c.Process = was
	// A part comes and goes with a restart; its terms change in place.
	if c.FailsOver() != old.FailsOver() {
		keys, c.Failover = append(keys, "failover"), old.Failover
	}
	if (c.Counting == nil) != (old.Counting == nil) {
		keys, c.Counting = append(keys, "counting"), old.Counting
	}
	//   PLACE debts: the same
	return keys
}
