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
	empty := member(number, disk)
	return transport.VoterInfo{Number: number, Name: empty.Name, Address: empty.Address, DiskID: disk}
}

func startedInfo(
	number uint64,
	initialMembers []coordination.Member,
	members ...coordination.Member,
) transport.VoterInfo {
	status := coordination.Status{Members: members}
	return transport.VoterInfo{Number: number, Started: true, InitialMembers: initialMembers, Status: status}
}

// Guards against a voter that takes a lost disk for a new one, and votes twice. The rows are what
// voter 1, with the empty disk "d1", learns in its rounds of queries, and how it goes on after the
// last of them.
func TestBootstrap_decisionWithAnEmptyDisk(t *testing.T) {
	one, two, three := member(1, "d1"), member(2, "d2"), member(3, "d3")
	all := []coordination.Member{one, two, three}
	lost := member(1, "lost")
	unknown := member(1, "")
	empty2, empty3 := emptyInfo(2, "d2"), emptyInfo(3, "d3")
	type round = map[uint64]transport.VoterInfo
	for _, row := range []struct {
		name           string
		rounds         []round
		start          bool
		initialMembers int
	}{
		{"nobody answers", []round{{}}, false, 0},
		{"one other is empty", []round{{2: empty2}}, false, 0},
		{"all are empty", []round{{2: empty2, 3: empty3}}, true, 3},
		{"all were, one after another", []round{{2: empty2}, {3: empty3}}, true, 3},
		{"another got its answer and started", []round{{2: startedInfo(2, all, one, two, three)}}, true, 3},
		{"another got the answer of a lost disk of it and started", []round{
			{2: startedInfo(2, []coordination.Member{lost, two, three}, unknown, two, three)},
		}, false, 0},
		{"its number has another disk", []round{{2: startedInfo(2, nil, lost, two, three)}}, false, 0},
		{"its number has no disk yet", []round{{2: startedInfo(2, nil, unknown, two, three)}}, false, 0},
		{"its number is not a member's", []round{{2: startedInfo(2, nil, two, three)}}, false, 0},
		{"it was added with this disk", []round{{2: startedInfo(2, nil, one, two, three)}}, true, 0},
		{"two were empty, then one has started with it", []round{
			{3: empty3}, {2: startedInfo(2, nil, unknown, two, three)},
		}, false, 0},
		{"all were empty, but its number is known by another disk", []round{
			{2: empty2}, {3: startedInfo(3, nil, lost, two, three), 2: empty2},
		}, false, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			known := bootstrap{map[uint64]coordination.Member{}}
			var decision bootstrapDecision
			for _, infos := range row.rounds {
				decision = known.decide(one, []config.Voter{{Number: 1}, {Number: 2}, {Number: 3}}, infos)
			}
			if decision.start != row.start || len(decision.initialMembers) != row.initialMembers ||
				decision.start == (decision.reason != "") {
				t.Errorf("%+v", decision)
			}
			for i, initial := range decision.initialMembers {
				if initial.Number != uint64(i+1) || initial.DiskID == "" {
					t.Errorf("starts with %+v", decision.initialMembers)
				}
			}
		})
	}
}

// A voter whose number the file has lost starts no log, though all voters of the file have empty
// disks.
func TestBootstrap_numberThatIsNotInTheFileWaits(t *testing.T) {
	known := bootstrap{map[uint64]coordination.Member{}}
	infos := map[uint64]transport.VoterInfo{2: emptyInfo(2, "d2"), 3: emptyInfo(3, "d3"), 4: emptyInfo(4, "d4")}
	configured := []config.Voter{{Number: 2}, {Number: 3}, {Number: 4}}
	if decision := known.decide(member(1, "d1"), configured, infos); decision.start || decision.reason == "" {
		t.Errorf("%+v", decision)
	}
}

// The leader's next step to a voter that its file names.
func TestNextMemberChange(t *testing.T) {
	one, two, three, four := member(1, "d1"), member(2, "d2"), member(3, "d3"), member(4, "d4")
	replacement := config.Voter{Number: 4, ReplacesNumber: 2}
	replacedTwice := config.Voter{Number: 5, ReplacesNumber: 4}
	for _, row := range []struct {
		name       string
		members    []coordination.Member
		configured config.Voter
		want       memberChange
	}{
		{"one that is there", []coordination.Member{one, two, three}, config.Voter{Number: 2}, memberChange{}},
		{"a replacement, first", []coordination.Member{one, two, three}, replacement, memberChange{removeReplaced, 2}},
		{"a replacement, then", []coordination.Member{one, three}, replacement, memberChange{addMember, 0}},
		{"a replacement, done", []coordination.Member{one, three, four}, replacement, memberChange{}},
		{"a further one", []coordination.Member{one, two, three}, config.Voter{Number: 4}, memberChange{addMember, 0}},
		{"one of the past", []coordination.Member{two, three, four}, config.Voter{Number: 1}, memberChange{}},
		{"replaced twice, old file", []coordination.Member{one, three, member(5, "d5")}, replacement, memberChange{}},
		{
			"replaced twice, next file",
			[]coordination.Member{one, three, four},
			replacedTwice,
			memberChange{removeReplaced, 4},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			if got := nextMemberChange(row.members, row.configured); got != row.want {
				t.Errorf("%+v, not %+v", got, row.want)
			}
		})
	}
}
