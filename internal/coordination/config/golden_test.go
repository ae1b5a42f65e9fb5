package config

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/testing/golden"
)

// goldenFile is an operators' file that holds every key, none at its default.
const goldenFile = "full.toml"

// The operators' file keeps its keys: each of them is read into the same field as before.
func TestGolden_fullFile(t *testing.T) {
	got, err := Read(filepath.Join("testdata", goldenFile))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(goldenConfig(), got, cmpopts.EquateComparable(Duration{})); d != "" {
		t.Error(d)
	}
}

// goldenConfig is what the golden file holds.
func goldenConfig() *Config {
	return &Config{
		Process: Process{
			Name: "v1", Zone: "hall-a", Voter: true, Listen: "127.0.0.1:7511", Folder: "/var/lib/harrierhoist/v1",
			PrivateNetwork: true, MaxConnections: 2048, SingleVoter: true,
		},
		Voters: []Voter{
			{Number: 1, Name: "v1", Address: "127.0.0.1:7411"},
			{Number: 2, Name: "v2", Address: "[::1]:7412"},
			{Number: 4, Name: "v3", Address: "10.0.0.3:7413", ReplacesNumber: 3},
		},
		Timing: Timing{
			Lease:          Duration{Duration: 3 * time.Second},
			DigestInterval: Duration{Duration: 250 * time.Millisecond},
		},
		Failover: &failover.Settings{
			Enabled: true,
			Regions: []failover.Region{
				{Name: "north", Zones: []string{"hall-a", "hall-b"}},
				{Name: "south", Zones: []string{"hall-c"}},
			},
			Capacity: 120.5, CapacityByZone: map[string]float64{"hall-b": 80.25},
			MaxUtilisation: 0.75, HoldDownSeconds: 12.5, RecoveryStep: 0.5,
			MinMove: 0.06, AgreementShare: 0.7, MinGateways: 3, ProbeShare: 0.03,
		},
		Counting:   goldenCounting(),
		Settlement: goldenSettlement(),
	}
}

func goldenCounting() *countingrule.Config {
	return &countingrule.Config{
		DesiredVersion: 2,
		Rules: []countingrule.Rule{
			{
				Version: 1, Key: []string{"group"},
				Groups: []countingrule.Group{
					{Name: "pair", Customers: []uint64{17, 18}},
					{Name: "one", Customers: []uint64{19}},
				},
				Weights: []countingrule.Weight{{Class: "batch", Permille: 500}},
				Limits:  []countingrule.Limit{{Plan: "*", Rate: 40.5, Burst: 80}},
			},
			{
				Version: 2, Key: []string{"customer", "group", "plan", "lane"}, Mask: 0xff00,
				Limits: []countingrule.Limit{{Plan: "team", Rate: 12, Burst: 24}},
			},
		},
		Canary: countingrule.CanaryConfig{
			SamplePermille: 20, CallsPermille: 90, DeadlineSeconds: 3600, ErrorPermille: 50,
			RejectedBoundPermille: 11, AdmittedBoundPermille: 12, OverLimitBoundPermille: 13, MaxDeviationPermille: 14,
			WatchSeconds: 600, ExtraLeadMillis: 2500,
		},
	}
}

func goldenSettlement() *settlement.Terms {
	return &settlement.Terms{
		On: true,
		Partners: []settlement.Partner{
			{Name: "north", Zones: []string{"hall-a", "hall-b"}, Plans: []string{"team", "solo"}, Weight: 2.5},
			{
				Name: "south", Zones: []string{"hall-c"},
				Customers: []string{"0000000000000100-00000000000001ff", "0000000000000300"},
			},
			{Name: "west", Customers: []string{"0000000000000400"}},
		},
		Rules: []settlement.PairRule{
			{PartnerNames: []string{"north", "south"}, Settle: new(false)},
			{
				PartnerNames: []string{"west", "north"},
				Settle:       new(true), MaxShare: new(0.1), ForgiveAfter: new(86400.0),
			},
		},
		SettleTimeConstant: 30, MaxShare: 0.25, MaxMovedRate: 150,
		MaxLendFraction: 0.4, MaxLossFraction: 0.004, MinHeadroom: 0.3, MinOnTimeFraction: 0.95,
		MinDebt: 6.5, ForgiveAfter: 7200,
	}
}

// What a file leaves out has the same value as before.
func TestGolden_defaults(t *testing.T) {
	text := "[process]\nname = \"g1\"\nsingle = true\n" +
		"[[voter]]\nnumber = 1\nname = \"v1\"\naddress = \"127.0.0.1:7411\"\n"
	got, err := Read(writeFile(t, text))
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{
		Process: Process{Name: "g1", SingleVoter: true, MaxConnections: 1024},
		Voters:  []Voter{{Number: 1, Name: "v1", Address: "127.0.0.1:7411"}},
		Timing: Timing{
			Lease:          Duration{Duration: 2 * time.Second},
			DigestInterval: Duration{Duration: 200 * time.Millisecond},
		},
		Settlement: &settlement.Terms{
			SettleTimeConstant: 20, MaxShare: 0.5, MaxMovedRate: 200, MaxLendFraction: 0.3,
			MaxLossFraction: 0.005, MinHeadroom: 0.2, MinOnTimeFraction: 0.9, MinDebt: 5,
		},
	}
	if d := cmp.Diff(want, got, cmpopts.EquateComparable(Duration{})); d != "" {
		t.Error(d)
	}
}

// Every refusal of a bad file is the line that it was before. Each row of testdata/refusals.toml
// changes the full file in one place; FILE stands for its path.
func TestGolden_refusals(t *testing.T) {
	var file struct {
		Refusals []struct {
			Name    string   `toml:"name"`
			Replace string   `toml:"replace"`
			With    string   `toml:"with"`
			Lines   []string `toml:"lines"`
		} `toml:"row"`
	}
	if err := toml.Unmarshal(golden.Read(t, "refusals.toml"), &file); err != nil {
		t.Fatal(err)
	}
	full := string(golden.Read(t, goldenFile))
	if len(file.Refusals) < 100 {
		t.Errorf("%d refusals", len(file.Refusals))
	}
	for _, refusal := range file.Refusals {
		t.Run(refusal.Name, func(t *testing.T) {
			if n := strings.Count(full, refusal.Replace); n != 1 {
				t.Fatalf("%q stands %d times in %s", refusal.Replace, n, goldenFile)
			}
			path := writeFile(t, strings.Replace(full, refusal.Replace, refusal.With, 1))
			_, err := Read(path)
			if err == nil {
				t.Fatal("the file is accepted")
			}
			var got []string
			for _, line := range FaultLines(err) {
				got = append(got, strings.Replace(line, path, "FILE", 1))
			}
			if d := cmp.Diff(refusal.Lines, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// A file that cannot be read is reported in the system's own words, with its path.
func TestGolden_missingFile(t *testing.T) {
	_, err := Read("testdata/none.toml")
	if err == nil || err.Error() != "open testdata/none.toml: no such file or directory" {
		t.Error(err)
	}
}
