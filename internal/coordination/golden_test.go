package coordination

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/testing/golden"
)

// What processes of the version before send each other must stay readable, and what they read must
// stay what is sent.
func TestGolden_memberAndStatus(t *testing.T) {
	member := Member{Number: 3, Name: "g3", Address: "10.0.0.3:7400", DiskID: "00112233445566778899aabbccddeeff"}
	for name, test := range map[string]struct {
		value any
		want  string
	}{
		"member": {&member, goldenMember},
		"status": {&Status{Number: 3, Leader: 1, Term: 7, Applied: 900, Members: []Member{member}}, goldenStatus},
		"empty":  {&Status{}, goldenEmptyStatus},
	} {
		t.Run(name, func(t *testing.T) {
			golden.CheckCBOR(t, cbor.Marshal, test.value, test.want)
		})
	}
}

const (
	goldenMember = "a4010302626733036d31302e302e302e333a373430300478203030313132323333343435353636373738383939" +
		"616162626363646465656666"
	goldenStatus = "a5664e756d62657203664c656164657201645465726d07674170706c696564190384674d656d6265727381a4" +
		"010302626733036d31302e302e302e333a3734303004782030303131323233333434353536363737" +
		"38383939616162626363646465656666"
	goldenEmptyStatus = "a5664e756d62657200664c656164657200645465726d00674170706c69656400674d656d62657273f6"
)
