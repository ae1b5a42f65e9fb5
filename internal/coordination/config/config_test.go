package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const validFile = `
[process]
name = "v1"
hall = "hall-a"
voter = true
disk = "/var/lib/harrierhoist"

[timing]
lease = "3s"

[[voter]]
number = 1
name = "v1"
address = "127.0.0.1:7411"

[[voter]]
number = 2
name = "v2"
address = "[::1]:7412"

[[voter]]
number = 4
name = "v3"
address = "localhost:7413"
replaces = 3
`

// writeFile writes an operators' file, and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "common.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// What a file leaves out has its default.
func TestRead_fillsInDefaults(t *testing.T) {
	path := writeFile(t, validFile)
	c, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if c.Self() == nil || c.Self().Number != 1 || c.Timing.Lease.Duration != 3*time.Second {
		t.Errorf("the file's own values: %+v", c)
	}
	isTimingDefault := c.Timing.DigestInterval.Duration == defaultDigestInterval
	if !isTimingDefault || c.Process.MaxConnections != defaultConnections || len(c.Parts()) != 0 {
		t.Errorf("the defaults: %+v", c)
	}
}

// faults change the valid file in one place each; lines are those of the error, without the file's
// name.
var faults = []struct{ name, old, new, lines string }{
	{
		"process name with a blank", `name = "v1"`, `name = "v 1"`,
		`process.name must be 1 to 64 letters, digits, '.', '_' or '-', not "v 1"
process.voter must be false where no [[voter]] has the name of this process, "v 1"`,
	},
	{
		"unknown key", `hall = "hall-a"`, `hal = "hall-a"`,
		`process.hal is no key; [process] takes connections, disk, hall, listen, name, private_network, single, voter`,
	},
	{"voter as text", `voter = true`, `voter = "yes"`, `process.voter must be true or false (line 5)
process.disk must be left out where neither process.voter nor debts.on is true, not "/var/lib/harrierhoist"`},
	{"too few connections", `voter = true`, `voter = true
connections = 3`, `process.connections must be from 16 to 65536, not 3`},
	{"connections below 0", `voter = true`, `voter = true
connections = -3`, `process.connections must be from 16 to 65536, not -3`},
	{
		"voter without a folder", `disk = "/var/lib/harrierhoist"`, ``,
		`process.disk must name a folder where process.voter = true`,
	},
	{
		"address without a port", `hall = "hall-a"`, `listen = "127.0.0.1"`,
		`process.listen must be host:port with a port from 1 to 65535, not "127.0.0.1"`,
	},
	{"lease as a number", `lease = "3s"`, `lease = 3`, `timing.lease must be a time such as "200ms" or "2s", not 3`},
	{
		"lease with a blank", `lease = "3s"`, `lease = "3 s"`,
		`timing.lease must be a time such as "200ms" or "2s", not 3 s`,
	},
	{"lease too short", `lease = "3s"`, `lease = "100ms"`, `timing.lease must be from 500ms to 30s, not 100ms`},
	{
		"digests too rare", `lease = "3s"`, `digest_every = "1h"`,
		`timing.digest_every must be from 50ms to 5s, not 1h0m0s`,
	},
	{
		"number of another voter", `number = 2`, `number = 1`,
		`voter.2.number must be 1 or more and no other voter's, not 1`,
	},
	{"number below 0", `number = 2`, `number = -2`, `voter.number must be a whole number, 0 or more (line 17)
voter.2.number must be 1 or more and no other voter's, not 0`},
	{
		"address of another voter", `"[::1]:7412"`, `"127.0.0.1:7411"`,
		`voter.2.address must be no other voter's, not "127.0.0.1:7411"`,
	},
	{
		"address not on loopback", `"[::1]:7412"`, `"192.0.2.7:7412"`,
		`voter.2.address must be a loopback address (127.x.x.x, [::1] or localhost), not "192.0.2.7:7412", ` +
			`unless process.private_network = true says that the network is private`,
	},
	{
		"name not on loopback", `"[::1]:7412"`, `"gateway.example:7412"`,
		`voter.2.address must be a loopback address (127.x.x.x, [::1] or localhost), not ` +
			`"gateway.example:7412", unless process.private_network = true says that the network is private`,
	},
	{
		"replaces a higher number", `replaces = 3`, `replaces = 5`,
		`voter.3.replaces must be below its own number and named once, not 5`,
	},
	{
		"replaces a voter of the file", `replaces = 3`, `replaces = 2`,
		`voter.3.replaces must be the number of a voter that is named no longer, not 2`,
	},
	{
		"name of another voter", `name = "v2"`, `name = "v3"`,
		`voter.3.name must be 1 to 64 letters, digits, '.', '_' or '-' and no other voter's, not "v3"`,
	},
	{"four voters", `replaces = 3`, `replaces = 3
[[voter]]
number = 5
name = "v4"
address = "127.0.0.1:7414"`, `voter must be 3 or 5 voters (or 1 where process.single = true, for trials), not 4`},
	{
		"unknown table", `[timing]`, `[time]`,
		`time is no key; the file takes counting, debts, failover, process, timing, voter`,
	},
	{"no TOML", `[timing]`, `[timing`, `line 8: `},
	{"faults of a part", `[timing]`, `[failover]
on = true
utilisation_most = 2.0
[timing]`, `failover.bears: a number from 0.001 to 1e+09 is wanted, not 0
failover.regions: at least one region with a name and its halls is wanted, not none
failover.utilisation_most: a number from 0.3 to 0.95 is wanted, not 2`},
}

// A fault is reported with its key and what is allowed.
func TestRead_reportsKeyAndValidValuesOfEachFault(t *testing.T) {
	for _, row := range faults {
		t.Run(row.name, func(t *testing.T) {
			if strings.Count(validFile, row.old) == 0 {
				t.Fatalf("%q is not in the file", row.old)
			}
			_, faults := parse([]byte(strings.Replace(validFile, row.old, row.new, 1)))
			var got []string
			for _, fault := range faults {
				got = append(got, fault.Error())
			}
			if strings.HasSuffix(row.lines, ": ") && len(got) == 1 && strings.HasPrefix(got[0], row.lines) {
				return // the rest is the decoder's
			}
			want := strings.Split(row.lines, "\n")
			if slices.Sort(got); !slices.Equal(got, slices.Sorted(slices.Values(want))) {
				t.Errorf("\n got %q\nwant %q", got, want)
			}
		})
	}
}

// An operator who sees one fault at a time mends a file in as many rounds as it has faults.
func TestRead_reportsAllFaultsAtOnceWithTheFile(t *testing.T) {
	text := "[process]\nname = 7\nvoter = 1\nhul = \"a\"\n[timing]\nlease = \"1ms\"\n"
	path := writeFile(t, text)
	_, err := Read(path)
	if err == nil {
		t.Fatal("accepted")
	}
	lines := FaultLines(err)
	for _, key := range []string{"process.name", "process.voter", "process.hul", "timing.lease", "voter"} {
		if !slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, path+": "+key+" ") }) {
			t.Errorf("%s is not reported: %q", key, lines)
		}
	}
	if _, err = Read(path + ".none"); err == nil || !strings.Contains(err.Error(), path+".none") {
		t.Errorf("no file: %v", err)
	}
}

// In a private network addresses may be other than loopback.
func TestRead_privateNetworkAllowsOtherAddresses(t *testing.T) {
	file := strings.Replace(validFile, `"[::1]:7412"`, `"192.0.2.7:7412"`, 1)
	file = strings.Replace(file, "voter = true", "voter = true\nprivate_network = true", 1)
	if _, faults := parse([]byte(file)); len(faults) > 0 {
		t.Error(faults)
	}
}

// What only a restart can change stays as it was, and its keys are given.
func TestConfig_restartOnlyKeysAreRetainedAndNamed(t *testing.T) {
	old, _ := parse([]byte(validFile))
	now, faults := parse([]byte(strings.Replace(strings.Replace(validFile, "hall-a", "hall-b", 1), "3s", "4s", 1)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	keys := now.RetainRestartOnly(old)
	isNamed := slices.Equal(keys, []string{"process.hall"})
	isRetained := now.Process == old.Process
	if !isNamed || !isRetained || now.Timing.Lease.Duration != 4*time.Second {
		t.Errorf("%q, %+v", keys, now)
	}
}

// The example in the deploy folder is a valid file.
func TestRead_exampleIsValid(t *testing.T) {
	c, err := Read("../../../deploy/common.example.toml")
	if err != nil || c.Self() == nil || len(c.Voters) != 3 {
		t.Errorf("%+v, %v", c, err)
	}
}
