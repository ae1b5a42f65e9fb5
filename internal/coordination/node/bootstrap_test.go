package node

import (
	"testing"

	"go.uber.org/goleak"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func member(number uint64, disk string) coordination.Member {
	return coordination.Member{Number: number, Name: string(rune('a' + number)), Address: "x", DiskID: disk}
}

func emptyInfo(number uint64, disk string) transport.VoterInfo {
	m := member(number, disk)
	return transport.VoterInfo{Number: number, Name: m.Name, Address: m.Address, DiskID: disk}
}

func startedInfo(number uint64, initialMembers []coordination.Member, members ...coordination.Member) transport.VoterInfo {
	return transport.VoterInfo{Number: number, Started: true, InitialMembers: initialMembers, Status: coordination.Status{Members: members}}
}

// An empty disk is a new one or a lost one; a voter that takes the second for the first votes twice. The rows are what
// voter 1, with the empty disk "d1", hears in its rounds of asking, and how it may go on after the last.
func TestBootstrap_decisionWithAnEmptyDisk(t *testing.T) {
	d1, d2, d3 := member(1, "d1"), member(2, "d2"), member(3, "d3")
	type round = map[uint64]transport.VoterInfo
	for name, row := range map[string]struct {
		rounds []round
		begin  bool
		first  int
	}{
		"nobody answers":              {[]round{{}}, false, 0},
		"one other is empty":          {[]round{{2: emptyInfo(2, "d2")}}, false, 0},
		"all are empty":               {[]round{{2: emptyInfo(2, "d2"), 3: emptyInfo(3, "d3")}}, true, 3},
		"all were, one after another": {[]round{{2: emptyInfo(2, "d2")}, {3: emptyInfo(3, "d3")}}, true, 3},
		"another heard it and began":  {[]round{{2: startedInfo(2, []coordination.Member{d1, d2, d3}, d1, d2, d3)}}, true, 3},
		"another heard a lost disk of it and began": {[]round{
			{2: startedInfo(2, []coordination.Member{member(1, "lost"), d2, d3}, member(1, ""), d2, d3)}}, false, 0},
		"its number has another disk":    {[]round{{2: startedInfo(2, nil, member(1, "lost"), d2, d3)}}, false, 0},
		"its number has no disk yet":     {[]round{{2: startedInfo(2, nil, member(1, ""), d2, d3)}}, false, 0},
		"its number is not taken in":     {[]round{{2: startedInfo(2, nil, d2, d3)}}, false, 0},
		"it was taken in with this disk": {[]round{{2: startedInfo(2, nil, d1, d2, d3)}}, true, 0},
		"two were empty, then one has begun with it": {[]round{{3: emptyInfo(3, "d3")},
			{2: startedInfo(2, nil, member(1, ""), d2, d3)}}, false, 0},
		"all were empty, but its number is known by another disk": {[]round{{2: emptyInfo(2, "d2")},
			{3: startedInfo(3, nil, member(1, "lost"), d2, d3), 2: emptyInfo(2, "d2")}}, false, 0},
	} {
		b := bootstrap{map[uint64]coordination.Member{}}
		var decision bootstrapDecision
		for _, heard := range row.rounds {
			decision = b.decide(d1, []config.Voter{{Number: 1}, {Number: 2}, {Number: 3}}, heard)
		}
		if decision.start != row.begin || len(decision.initialMembers) != row.first || decision.start == (decision.reason != "") {
			t.Errorf("%s: %+v", name, decision)
		}
		for i, f := range decision.initialMembers {
			if f.Number != uint64(i+1) || f.DiskID == "" {
				t.Errorf("%s: begins with %+v", name, decision.initialMembers)
			}
		}
	}
}

// The leader's next step to a voter that its file names.
func TestNextMemberChange(t *testing.T) {
	three := []coordination.Member{member(1, "d1"), member(2, "d2"), member(3, "d3")}
	for name, row := range map[string]struct {
		members []coordination.Member
		named   config.Voter
		remove  uint64
		add     bool
	}{
		"one that is there":         {three, config.Voter{Number: 2}, 0, false},
		"a replacement, first":      {three, config.Voter{Number: 4, ReplacesNumber: 2}, 2, false},
		"a replacement, then":       {[]coordination.Member{three[0], three[2]}, config.Voter{Number: 4, ReplacesNumber: 2}, 0, true},
		"a replacement, done":       {append(three[:1:1], three[2], member(4, "d4")), config.Voter{Number: 4, ReplacesNumber: 2}, 0, false},
		"a further one":             {three, config.Voter{Number: 4}, 0, true},
		"one of the past":           {[]coordination.Member{three[1], three[2], member(4, "d4")}, config.Voter{Number: 1}, 0, false},
		"replaced twice, old file":  {[]coordination.Member{three[0], three[2], member(5, "d5")}, config.Voter{Number: 4, ReplacesNumber: 2}, 0, false},
		"replaced twice, next file": {[]coordination.Member{three[0], three[2], member(4, "d4")}, config.Voter{Number: 5, ReplacesNumber: 4}, 4, false},
	} {
		if remove, add := nextMemberChange(row.members, row.named); remove != row.remove || add != row.add {
			t.Errorf("%s: remove %d, add %v", name, remove, add)
		}
	}
}
