package follower

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"harrierhoist/internal/testing/fakes"
)

// The first digest that a follower sends has the bytes that it had before.
func TestGolden_firstDigest(t *testing.T) {
	const want = "a60162673102030301060004a16670757368657319012c05a1646f77656408"
	v := newFakeSource("v1")
	f, _ := startFollower(t, Timing{Lease: quickTiming.Lease, DigestInterval: quickTiming.Lease}, v)
	f.RegisterCounters(func(add func(string, uint64)) { add("pushes", 300) })
	f.RegisterExactCounters(func(add func(string, uint64)) { add("owed", 7); add("owed", 1) })
	fakes.Eventually(t, "a digest", func() bool { return len(v.received()) > 0 })
	got, err := cbor.Marshal(v.received()[0])
	if err != nil || hex.EncodeToString(got) != want {
		t.Errorf("%v, %x", err, got)
	}
}

// The order in which processes prefer the voters is that of before: processes of both versions are
// spread alike.
func TestGolden_preferenceOrder(t *testing.T) {
	var sources []Source
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		sources = append(sources, newFakeSource(name))
	}
	var got []string
	for i := range 10 {
		name := ""
		for _, source := range PreferenceOrder(fmt.Sprint("gateway-", i), sources) {
			name += source.Name()
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
