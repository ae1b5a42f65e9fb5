package votersimulation

// Bug is a fault planted around the consensus nodes, which the invariants must find.
type Bug int

// The planted bugs.
const (
	NoBug               Bug = iota
	VoteWithoutSync         // the disk reports a vote as synced; a crash loses it
	SendBeforeSync          // messages are sent before what they promise is on disk
	CommandAppliedTwice     // a command is proposed again under a new number
	LeaseByWallClock        // a lease is measured by the wall clock, which may be set back
	LeaseFromResponse       // a lease counts from the arrival of the response
	LeaseIgnored            // a lease holder goes on after its lease
	DigestsCountedTwice     // a process that switches to another voter begins no new session
	ReadWithoutQuorum       // a voter answers reads from its own state
)
