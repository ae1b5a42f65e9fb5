package charter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/counting"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/failover"
)

// goldenFile is an operators' file that holds every key, none at its default.
const goldenFile = "testdata/full.toml"

// The operators' file keeps its keys: each of them comes to the field that it came to before.
func TestGolden_everyKeyIsReadIntoItsField(t *testing.T) {
	got, err := Read(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	no, yes, share, forgive := false, true, 0.1, 86400.0
	want := &Charter{
		Process: Process{
			Name: "v1", Hall: "hall-a", Voter: true, Listen: "127.0.0.1:7511", Disk: "/var/lib/harrierhoist/v1",
			PrivateNetwork: true, Connections: 2048, Single: true,
		},
		Voters: []Voter{
			{Number: 1, Name: "v1", Address: "127.0.0.1:7411"},
			{Number: 2, Name: "v2", Address: "[::1]:7412"},
			{Number: 4, Name: "v3", Address: "10.0.0.3:7413", Replaces: 3},
		},
		Timing: Timing{Lease: Span{Duration: 3 * time.Second}, DigestEvery: Span{Duration: 250 * time.Millisecond}},
		Failover: &failover.Terms{
			On: true,
			Regions: []failover.Region{
				{Name: "north", Halls: []string{"hall-a", "hall-b"}},
				{Name: "south", Halls: []string{"hall-c"}},
			},
			Bears: 120.5, BearsBy: map[string]float64{"hall-b": 80.25}, UtilisationMost: 0.75, LeastStay: 12.5, Step: 0.5,
			Worth: 0.06, IllPart: 0.7, GatewaysLeast: 3, Trial: 0.03,
		},
		Counting: &counting.Terms{
			Try: 2,
			Rules: []counting.Rule{
				{
					Version: 1, Key: []string{"group"},
					Groups:  []counting.Group{{Name: "pair", Customers: []uint64{17, 18}}, {Name: "one", Customers: []uint64{19}}},
					Weights: []counting.Weight{{Lane: "batch", Thousandths: 500}},
					Limits:  []counting.Limit{{Plan: "*", Rate: 40.5, Burst: 80}},
				},
				{
					Version: 2, Key: []string{"customer", "group", "plan", "lane"}, Mask: 0xff00,
					Limits: []counting.Limit{{Plan: "team", Rate: 12, Burst: 24}},
				},
			},
			Canary: counting.Trial{
				Sample: 20, Calls: 90, DeadlineS: 3600, WrongThousandths: 50, Rejected: 11, LetIn: 12, Beyond: 13, Leave: 14,
				WatchS: 600, LeadMS: 2500,
			},
		},
		Debts: &debts.Terms{
			On: true,
			Partners: []debts.Partner{
				{Name: "north", Halls: []string{"hall-a", "hall-b"}, Plans: []string{"team", "solo"}, Weight: 2.5},
				{Name: "south", Halls: []string{"hall-c"},
					Customers: []string{"0000000000000100-00000000000001ff", "0000000000000300"}},
				{Name: "west", Customers: []string{"0000000000000400"}},
			},
			Rules: []debts.Rule{
				{Between: []string{"north", "south"}, Settle: &no},
				{Between: []string{"west", "north"}, Settle: &yes, ShareMost: &share, ForgiveAfter: &forgive},
			},
			SettleOver: 30, ShareMost: 0.25, MovedMost: 150, LendMost: 0.4, LossMost: 0.004, RoomLeast: 0.3, WellLeast: 0.95,
			Least: 6.5, ForgiveAfter: 7200,
		},
	}
	if d := cmp.Diff(want, got, cmpopts.EquateComparable(Span{})); d != "" {
		t.Error(d)
	}
}

// What a file leaves out keeps the value that it had before.
func TestGolden_whatIsLeftOutHasItsDefault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "least.toml")
	text := "[process]\nname = \"g1\"\nsingle = true\n[[voter]]\nnumber = 1\nname = \"v1\"\naddress = \"127.0.0.1:7411\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	want := &Charter{
		Process: Process{Name: "g1", Single: true, Connections: 1024},
		Voters:  []Voter{{Number: 1, Name: "v1", Address: "127.0.0.1:7411"}},
		Timing:  Timing{Lease: Span{Duration: 2 * time.Second}, DigestEvery: Span{Duration: 200 * time.Millisecond}},
		Debts: &debts.Terms{SettleOver: 20, ShareMost: 0.5, MovedMost: 200, LendMost: 0.3, LossMost: 0.005, RoomLeast: 0.2,
			WellLeast: 0.9, Least: 5},
	}
	if d := cmp.Diff(want, got, cmpopts.EquateComparable(Span{})); d != "" {
		t.Error(d)
	}
}

// Every refusal of a bad file is the line that it was before. Each row of testdata/refusals.toml changes the full file
// in one place; FILE stands for its path.
func TestGolden_refusalsAreTheLinesThatTheyWere(t *testing.T) {
	var golden struct {
		Rows []struct {
			Name    string   `toml:"name"`
			Replace string   `toml:"replace"`
			With    string   `toml:"with"`
			Lines   []string `toml:"lines"`
		} `toml:"row"`
	}
	text, err := os.ReadFile("testdata/refusals.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &golden); err != nil {
		t.Fatal(err)
	}
	full, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if len(golden.Rows) < 100 {
		t.Errorf("%d rows", len(golden.Rows))
	}
	for _, row := range golden.Rows {
		t.Run(row.Name, func(t *testing.T) {
			if n := strings.Count(string(full), row.Replace); n != 1 {
				t.Fatalf("%q stands %d times in %s", row.Replace, n, goldenFile)
			}
			path := filepath.Join(t.TempDir(), "common.toml")
			if err := os.WriteFile(path, []byte(strings.Replace(string(full), row.Replace, row.With, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(path)
			if err == nil {
				t.Fatal("the file is taken")
			}
			var got []string
			for _, line := range Faults(err) {
				got = append(got, strings.Replace(line, path, "FILE", 1))
			}
			if d := cmp.Diff(row.Lines, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// A file that cannot be read is told by the system's own words, with its path.
func TestGolden_noFileIsToldWithItsPath(t *testing.T) {
	_, err := Read("testdata/none.toml")
	if err == nil || err.Error() != "open testdata/none.toml: no such file or directory" {
		t.Error(err)
	}
}
