package countingrule

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/testing/golden"
	"harrierhoist/policy"
)

// The files under testdata were written by an earlier version of the program. Stored data, data
// exchanged between processes, and files that operators read or write must match them byte for
// byte.

// goldenRules returns rules that cover all optional parts of a rule.
func goldenRules() []Rule {
	return []Rule{
		{
			Version: 1, Key: []string{"customer", "lane"}, Weights: []Weight{{Class: "pay", Permille: 3000}},
			Limits: []Limit{{Plan: "small", Rate: 3, Burst: 12.5}},
		},
		{Version: 2, Key: []string{"group"}, Groups: []Group{
			{Name: "one", Customers: []uint64{1, 2, math.MaxInt64}},
			{Name: "two", Customers: []uint64{4}},
		}, Limits: []Limit{{Plan: "*", Rate: 5, Burst: 20}}},
		{Version: 1 << 40, Key: []string{"group", "plan", "customer"}, Mask: 0xff00ff},
	}
}

// storedTables returns tables in all phases, with and without each optional part, by file name.
func storedTables() map[string]Table {
	return map[string]Table{
		"table-empty.cbor": {},
		"table-still.cbor": {
			Phase: PhaseIdle, FromVersion: 2, ToVersion: 2, PreviousVersion: 1,
			Rules: goldenRules(), RefusedVersions: []uint64{3, 1 << 50},
			PhaseStart: 1_764_652_800 * time.Second, Reason: "kept: 0.912 let in, 0.905 foretold",
		},
		"table-canary.cbor": {
			Phase: PhaseCanary, FromVersion: 1, ToVersion: 2, Rules: goldenRules()[:2], SampleSeed: 0x9e3779b97f4a7c15,
			PhaseStart: 1_764_652_800_123_456_789, Reason: "as the file says", TrialState: []byte{0xa0, 1, 2, 3},
			Canary: CanaryConfig{
				SamplePermille: 20, CallsPermille: 60, DeadlineSeconds: 600, ErrorPermille: 50,
				RejectedBoundPermille: 21, AdmittedBoundPermille: 52, OverLimitBoundPermille: 53,
				MaxDeviationPermille: 100, WatchSeconds: 300, ExtraLeadMillis: 1500,
			},
		},
		"table-named.cbor": {
			Phase: PhaseScheduled, FromVersion: 0, ToVersion: 1, SwitchAt: 1_764_652_900 * time.Second,
			Rules:      goldenRules()[:1],
			SampleSeed: 7, PhaseStart: 1_764_652_890 * time.Second, Reason: "harmless by 210 cells",
		},
		"table-back.cbor": {
			Phase: PhaseRollback, FromVersion: 1, ToVersion: 0, PreviousVersion: 1,
			SwitchAt: 1_764_653_000 * time.Second, Rules: goldenRules()[2:],
			RefusedVersions: []uint64{1}, PhaseStart: 1_764_652_995 * time.Second,
			Reason: "0.500 of the units are let in, 0.900 were foretold",
		},
	}
}

func TestGolden_storedTable(t *testing.T) {
	encode := func(table Table) ([]byte, error) { return table.Encode(), nil }
	for name, table := range storedTables() {
		t.Run(name, func(t *testing.T) {
			golden.CheckStored(t, golden.Read(t, name), table, encode, Decode)
		})
	}
	if TableName != "counting" {
		t.Errorf("the table is stored as %q", TableName)
	}
	phases := []Phase{PhaseIdle, PhaseCanary, PhaseScheduled, PhaseRollback}
	if !reflect.DeepEqual(phases, []Phase{0, 1, 2, 3}) {
		t.Errorf("phases are stored as %v", phases)
	}
}

// Earlier versions of the program wrote tables without the later keys. Those decode to zero values.
func TestGolden_storedTableOfAnEarlierVersion(t *testing.T) {
	earlier := []byte{0xa4, 1, 2, 2, 0, 3, 1, 4, 0x19, 0x03, 0xe8}
	decoded, err := Decode(earlier)
	want := Table{Phase: PhaseScheduled, ToVersion: 1, SwitchAt: 1000}
	if err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("read %+v, %v; want %+v", decoded, err, want)
	}
}

// The names at the counter, the keys and the names of the rules' plans must not change, because
// processes of different program versions share them.
func TestGolden_namesAtTheCounter(t *testing.T) {
	var out bytes.Buffer
	rules := goldenRules()
	settings := WithRulePlans(testSettings(), rules)
	for _, plan := range settings.Plans {
		fmt.Fprintf(&out, "plan %q rate %v burst %v\n", plan.Name, plan.Rate, plan.Burst)
	}
	for _, plan := range ClientSettings(settings).Plans {
		fmt.Fprintf(&out, "for clients %q closed %v\n", plan.Name, plan.Retired)
	}
	for _, rule := range append([]Rule{{}}, rules...) {
		resolved, err := Resolve(rule, settings)
		if err != nil {
			t.Fatal(err)
		}
		for _, customer := range []uint64{0, 1, 2, 4, 0x123456789abcdef, math.MaxInt64} {
			for class := range 2 {
				for plan := range 3 {
					assignment := resolved.Assign(customer, class, plan)
					fmt.Fprintf(&out, "rule %d customer %x class %d plan %d: %x %d %v %v",
						rule.Version, customer, class, plan,
						assignment.Key, assignment.Plan, assignment.Weight, assignment.Shared)
					if plan := &settings.Plans[assignment.Plan]; plan.Rate > 0 {
						window := WindowAt(assignment.Key, plan, 1_764_652_800_123_456_789)
						fmt.Fprintf(&out, "; window %x from %d for %d, number %d",
							window.Name, window.Start, window.TTL, window.Index)
					}
					out.WriteByte('\n')
				}
			}
		}
	}
	fmt.Fprintf(&out, "mix %x %x %x\n", Hash(), Hash(1, 2), Hash(1, 2, 3, 4, 5))
	golden.Check(t, "names.txt", out.Bytes())
}

// The results of Reserve, HandleCount and Settle must stay the same to the last bit.
func TestGolden_admission(t *testing.T) {
	var out bytes.Buffer
	plan := policy.Plan{Rate: 1.5, Burst: 8}
	for _, gateways := range []int{0, 1, 4} {
		admission, counts := NewAdmission(gateways), map[uint64]float64{}
		now := 1_764_652_800 * time.Second
		for i := range 60 {
			now += time.Duration(i*i%7) * 400 * time.Millisecond
			assignment := Assignment{Version: 1, Key: uint64(i % 3), Weight: 1 + float64(i%2)/2}
			reservation := admission.Reserve(assignment, plan, float64(1+i%3), now)
			answered := i%5 != 4
			if answered {
				counts[reservation.Name] += reservation.WeightedUnits
			}
			admitted, previous := admission.HandleCount(reservation, counts[reservation.Name], answered)
			fmt.Fprintf(&out, "%d gateways, %d: %x %v units %v, pass %v",
				gateways, i, reservation.Name, reservation.TTL, reservation.WeightedUnits, admitted)
			if previous != nil {
				deficit := reservation.Deficit(*previous, counts[previous.Name])
				fmt.Fprintf(&out, ", before %x from %d lacked %v", previous.Name, previous.Start, deficit)
			}
			used, charge := reservation.WeightedUnits*float64(i%4)/2, ChargeState(i%3)
			correction := admission.Settle(reservation, admitted, used, charge)
			counts[reservation.Name] += correction
			fmt.Fprintf(&out, ", used %v, settled %v\n", used, correction)
		}
	}
	golden.Check(t, "second.txt", out.Bytes())
}

// The keys of the operators' file must not change.
func TestGolden_operatorsFile(t *testing.T) {
	var file struct {
		Counting Config `toml:"counting"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(golden.Read(t, "rules.toml"))).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		t.Fatal(err)
	}
	want := Config{DesiredVersion: 2, Rules: goldenRules(), Canary: CanaryConfig{
		SamplePermille: 20, CallsPermille: 60, DeadlineSeconds: 600, ErrorPermille: 50,
		RejectedBoundPermille: 21, AdmittedBoundPermille: 52, OverLimitBoundPermille: 53,
		MaxDeviationPermille: 100, WatchSeconds: 300, ExtraLeadMillis: 1500,
	}}
	if !reflect.DeepEqual(file.Counting, want) {
		t.Errorf("read %+v, want %+v", file.Counting, want)
	}
	if faults := file.Counting.Check(); len(faults) > 0 {
		t.Error(faults)
	}
	var written bytes.Buffer
	if err := toml.NewEncoder(&written).Encode(file); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "rules-written.toml", written.Bytes())
}
