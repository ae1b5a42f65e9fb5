package node

import (
	"bytes"
	"path/filepath"
	"regexp"
	"testing"

	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/golden"
)

// The command by which the leader writes a new group ID, as it stands in the log: {1: 1, 2:
// "v1/(when its process began)/steward", 3: 1, 4: "group", 5: 0, 6: 16 bytes, 7: null}. The stored
// data of the version before holds the same.
var groupIDCommand = regexp.MustCompile("\x01\x01\x02\x78\x1e(v[123])/[0-9]{19}/steward" +
	"\x03[\x01-\x17]\x04\x65group\x05\x00\x06\x50")

func TestGolden_groupIDInTheLog(t *testing.T) {
	site := newTestSite(t)
	var all []*Node
	for _, name := range []string{"v1", "v2", "v3"} {
		all = append(all, site.open(name, true))
	}
	var groupID []byte
	for _, n := range all {
		fakes.Eventually(t, "the group ID", func() bool {
			return len(n.Client().Cached(follower.GroupTable).Value) == 16
		})
		groupID = n.Client().Cached(follower.GroupTable).Value
	}
	for _, n := range all {
		n.Close()
	}
	for _, name := range []string{"v1", "v2", "v3"} {
		log := golden.ReadFolder(t, filepath.Join(site.dir, name))
		at := groupIDCommand.FindIndex(log)
		if at == nil || at[0] == 0 || log[at[0]-1] != 0xa7 {
			t.Errorf("%s: the command is not in the log", name)
			continue
		}
		if rest := log[at[1]:]; !bytes.HasPrefix(rest, append(append([]byte{}, groupID...), 0x07, 0xf6)) {
			t.Errorf("%s: the command goes on with %x", name, rest[:18])
		}
	}
}
