package follow

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/standin"
)

// The first digest that a follower sends has the bytes that it had before.
func TestGolden_firstDigest(t *testing.T) {
	const want = "a60162673102030301060004a16670757368657319012c05a1646f77656408"
	v := newVoter("v1")
	f, _ := begin(t, Timing{Lease: quick.Lease, DigestEvery: quick.Lease}, v)
	f.Witness(func(add func(string, uint64)) { add("pushes", 300) })
	f.WitnessExact(func(add func(string, uint64)) { add("owed", 7); add("owed", 1) })
	standin.Eventually(t, "a digest", func() bool { return len(v.told()) > 0 })
	got, err := cbor.Marshal(v.told()[0])
	if err != nil || hex.EncodeToString(got) != want {
		t.Errorf("%v, %x", err, got)
	}
}

// The order in which processes take the voters is that of before: a fleet half of which is new is spread as one.
func TestGolden_orderOfVoters(t *testing.T) {
	sources := []Source{newVoter("a"), newVoter("b"), newVoter("c"), newVoter("d"), newVoter("e")}
	var got []string
	for i := range 10 {
		name := ""
		for _, s := range Order(fmt.Sprint("gateway-", i), sources) {
			name += s.Name()
		}
		got = append(got, name)
	}
	const want = "abcde eabcd bcdea eabcd cdeab eabcd bcdea deabc eabcd deabc"
	if strings.Join(got, " ") != want {
		t.Errorf("%s, not %s", got, want)
	}
	if GroupTable != "group" {
		t.Errorf("the group's table is %q", GroupTable)
	}
}
