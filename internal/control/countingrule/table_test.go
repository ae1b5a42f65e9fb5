package countingrule

import (
	"slices"
	"testing"
	"time"
)

func TestCandidateVersions_singleOnlyWhenCertain(t *testing.T) {
	config := &Config{DesiredVersion: 5, Rules: []Rule{{Version: 4}, {Version: 5}}}
	scheduled := Table{Phase: PhaseScheduled, FromVersion: 0, ToVersion: 1, SwitchAt: 100}
	canary := Table{Phase: PhaseCanary, ToVersion: 5}
	refused := Table{FromVersion: 4, ToVersion: 4, RefusedVersions: []uint64{5}}
	rollback := Table{
		Phase: PhaseRollback, FromVersion: 1, ToVersion: 0, SwitchAt: 100, RefusedVersions: []uint64{4, 5},
	}
	replaced := Table{FromVersion: 2, ToVersion: 2, PreviousVersion: 1}
	zeroRefused := Table{FromVersion: 2, ToVersion: 2, PreviousVersion: 1, RefusedVersions: []uint64{0}}
	for _, test := range []struct {
		name   string
		table  Table
		now    time.Duration
		status TableStatus
		want   []uint64
	}{
		{"before the switch", scheduled, 99, TableLeased, []uint64{0}},
		{"at the switch", scheduled, 100, TableLeased, []uint64{1}},
		{"no lease, before the switch: never canceled", scheduled, 99, TableExpired, []uint64{0}},
		{"no lease, at the switch: rolled back or followed since", scheduled, 100, TableExpired, []uint64{1, 0, 4, 5}},
		{"canary without a lease", canary, 50, TableExpired, []uint64{0, 4, 5}},
		{"canary", canary, 50, TableLeased, []uint64{0}},
		{"no table received: any version of the file", Table{}, 50, TableNeverReceived, []uint64{0, 4, 5}},
		{"no lease: operators may return to the previous version", refused, 50, TableExpired, []uint64{4, 0}},
		{"no lease: rule 0 may come into force again", replaced, 50, TableExpired, []uint64{2, 0, 1, 4, 5}},
		{"no lease: rule 0 is refused", zeroRefused, 50, TableExpired, []uint64{2, 1, 4, 5}},
		{"rolled back without a lease", rollback, 100, TableExpired, []uint64{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.table.CandidateVersions(test.now, test.status, config)
			if !slices.Equal(got, test.want) {
				t.Errorf("candidates %v, want %v", got, test.want)
			}
		})
	}
}

func TestTable_decodesAsEncoded(t *testing.T) {
	table := Table{
		Phase: PhaseScheduled, FromVersion: 1, ToVersion: 2, SwitchAt: time.Hour,
		Rules:           parseConfig(t, completeFile).Rules,
		RefusedVersions: []uint64{7}, TrialState: []byte{1},
	}
	decoded, err := Decode(table.Encode())
	if err != nil || decoded.SwitchAt != table.SwitchAt || !decoded.Rules[1].Equal(table.Rules[1]) ||
		decoded.RefusedVersions[0] != 7 {
		t.Errorf("decoded %+v, error %v", decoded, err)
	}
	if rule, ok := decoded.Rule(0); !ok || rule.Version != 0 {
		t.Error("rule 0 not found in a table without an entry for it")
	}
	if _, err := Decode([]byte("malformed")); err == nil {
		t.Error("a malformed value was decoded")
	}
}
