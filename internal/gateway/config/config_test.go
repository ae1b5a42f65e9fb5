package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParseLines_readsValuesByPath(t *testing.T) {
	values, err := ParseLines("A.Ms=2.5\nB=true\nC=x,y\nE=\nUnknown=1\n")
	if err != nil {
		t.Fatal(err)
	}
	if values.Number("A.Ms") != 2.5 || !values.Bool("B") || len(values.List("C")) != 2 || values.List("E") != nil ||
		values.Int("none") != 0 || values.Err() != nil {
		t.Errorf("got %+v", values)
	}
}

func TestValues_firstErrorStays(t *testing.T) {
	for _, c := range []struct {
		name string
		read func(values *Values) (zero bool)
		want string
	}{
		{"missing", func(v *Values) bool { v.Require("A", "D"); return true }, "settings: D is missing"},
		{"not a number", func(v *Values) bool { return v.Number("C") == 0 }, `settings: C is not a number: "x"`},
		{"not a boolean", func(v *Values) bool { return !v.Bool("C") }, `settings: C is neither true nor false: "x"`},
		{
			"none of the allowed words", func(v *Values) bool { return v.Enum("C", "z", "y") == 0 },
			`settings: C is none of z, y: "x"`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			values, err := ParseLines("A=1\nC=x")
			if err != nil {
				t.Fatal(err)
			}
			if !c.read(values) {
				t.Error("the getter did not return zero for a malformed value")
			}
			values.Require("other")
			var setting *SettingError
			if err := values.Err(); !errors.As(err, &setting) || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestParseLines_lineWithoutEqualsSignIsRefused(t *testing.T) {
	if _, err := ParseLines("nonsense"); err == nil {
		t.Error("read without an error")
	}
}

const sampleFile = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"127.0.0.1:3","known":{"seq":1,"whole":true,"hosts":[]},
"settings":{"Balancers":2,"Me":1,"MyZone":0,"Dcs":["a","b"],"Models":["m"],"Report":{"Fields":[],"How":"off"},
"FamilyInfo":{"HasCounter":true,"CountLimitMs":30.5},"PolicyLimits":{"TryLimit":6,"ConnectTimeoutMs":250,
"IdleCloseMs":30000,"StreamsPerConn":100},"Rules":{"DrainGraceMs":1000,"ColdFrom":0.15,"WarmAfterMs":16000,
"FallMultiple":2,"TipAfterMs":1500},"RequestClasses":[{"Name":"look","AimMs":600,"DeadlineMs":2500,
"Effect":"read_like"},{"Name":"hold","AimMs":400,"DeadlineMs":1500,"Effect":"idempotency_key","Group":"cell"}],
"TiersOfService":[{"Name":"start","UnitsPerS":2.2,"PeakUnits":12}],"SomethingNew":{"Deep":[1,[2]]}}}`

// sampleWith returns sampleFile with the first occurrence of old replaced. It fails the test if
// there is none.
func sampleWith(t *testing.T, old, replacement string) []byte {
	t.Helper()
	if !strings.Contains(sampleFile, old) {
		t.Fatalf("no %q in the sample", old)
	}
	return []byte(strings.Replace(sampleFile, old, replacement, 1))
}

func TestParse_nestedSettingsReadTheSameAsLines(t *testing.T) {
	gateway, err := parse([]byte(sampleFile))
	if err != nil {
		t.Fatal(err)
	}
	lines, err := ParseLines("Balancers=2\nMe=1\nMyZone=0\nDcs=a,b\nReport.Fields=\nFamilyInfo.HasCounter=true\n" +
		"FamilyInfo.CountLimitMs=30.5\nPolicyLimits.TryLimit=6\nRules.DrainGraceMs=1000\nRules.ColdFrom=0.15\n" +
		"Rules.WarmAfterMs=16000\nRules.FallMultiple=2\nRules.TipAfterMs=1500\nRequestClasses.count=2\n" +
		"RequestClasses.0.Name=look\nRequestClasses.0.AimMs=600\nRequestClasses.0.DeadlineMs=2500\n" +
		"RequestClasses.0.Effect=read_like\nRequestClasses.1.Name=hold\nRequestClasses.1.AimMs=400\n" +
		"RequestClasses.1.DeadlineMs=1500\nRequestClasses.1.Effect=idempotency_key\nRequestClasses.1.Group=cell\n" +
		"TiersOfService.count=1\nTiersOfService.0.Name=start\nTiersOfService.0.UnitsPerS=2.2\n" +
		"TiersOfService.0.PeakUnits=12\n")
	if err != nil {
		t.Fatal(err)
	}
	want, err := ReadSettings(lines)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(gateway.Settings, want) {
		t.Errorf("got  %+v\nwant %+v", gateway.Settings, want)
	}
	if gateway.Seed != -1 || gateway.MaxDescriptors != 1024 || gateway.MemoryMB != 192 || gateway.Cores != 1 ||
		gateway.ConnectTimeout != 250*time.Millisecond || gateway.IdleTimeout != 30*time.Second ||
		len(gateway.Zones) != 2 || gateway.ServerModels[0] != "m" {
		t.Errorf("got %+v", gateway)
	}
}

func TestParse_refusalIsOneLine(t *testing.T) {
	for old, bad := range map[string]string{
		`"n3"`: `3`, `"listen":"127.0.0.1:1"`: `"listen":""`, `"ffffffffffffffff"`: `"nonsense"`, `1024`: `0`,
		`"127.0.0.1:3"`: `""`, `"TryLimit":6,`: ``, `"read_like"`: `"odd"`, `"IdleCloseMs":30000,`: ``, `}}}`: `}}`,
		`"cell"`: `"odd"`, `30.5`: `"x"`,
	} {
		t.Run(bad+" for "+old, func(t *testing.T) {
			if _, err := parse(sampleWith(t, old, bad)); err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v", err)
			}
		})
	}
	if _, err := Read(""); !errors.Is(err, errNoPath) {
		t.Errorf("no path: got %v", err)
	}
}

// An error that names neither the file nor the allowed values leaves an operator with several
// configuration files to guess which one is wrong and how.
func TestRead_refusalNamesFileKeyAndAllowedRange(t *testing.T) {
	const file = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"SEED",` +
		`"limits":{"sockets":SOCKETS},"settings":{}}`
	for _, c := range []struct{ name, sockets, seed, want string }{
		{"no sockets", "0", "00000000000000aa", "limits.sockets: a whole number above 0 is wanted"},
		{"sockets below 0", "-3", "00000000000000aa", "limits.sockets: a whole number above 0 is wanted"},
		{"seed that is not a number", "8", "xyz", "seed: 16 hex digits are wanted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "gateway.json")
			text := strings.NewReplacer("SOCKETS", c.sockets, "SEED", c.seed).Replace(file)
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(path)
			if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Without these checks, a number out of range is used as it is and two traffic classes can have the
// same name.
func TestParse_valueOutOfRangeIsRefusedWithKeyAndRange(t *testing.T) {
	for old, c := range map[string]struct{ bad, want string }{
		`"Balancers":2`:       {`"Balancers":0`, "Balancers must be from 1 to"},
		`"Me":1`:              {`"Me":2`, "Me must be from 0 to 1, not 2"},
		`"TryLimit":6`:        {`"TryLimit":0`, "PolicyLimits.TryLimit must be from 1 to"},
		`"ColdFrom":0.15`:     {`"ColdFrom":1.5`, "Rules.ColdFrom must be from 0 to 1, not 1.5"},
		`"CountLimitMs":30.5`: {`"CountLimitMs":30,"MeterMs":-1`, "FamilyInfo.MeterMs must be from 0 to"},
		`"AimMs":600`:         {`"AimMs":0`, "RequestClasses.0.AimMs must be from 0.001 to"},
		`"UnitsPerS":2.2`:     {`"UnitsPerS":-2`, "TiersOfService.0.UnitsPerS must be from 0 to"},
		`"PeakUnits":12`:      {`"Concurrency":-1`, "TiersOfService.0.Concurrency must be from 0 to"},
		`"Name":"hold"`: {
			`"Name":"look"`, `RequestClasses.1.Name must be another than that of RequestClasses.0: "look"`,
		},
		`"cores":1.0`:            {`"cores":1e9`, "limits.cores: a number from 0"},
		`"cores":1`:              {`"cores":-1`, "limits.cores: a number from 0"},
		`"memory_mb":192`:        {`"memory_mb":-1`, "limits.memory_mb: a whole number from 0"},
		`"ConnectTimeoutMs":250`: {`"ConnectTimeoutMs":0`, "PolicyLimits.ConnectTimeoutMs must be from 0.001 to"},
		`"IdleCloseMs":3`:        {`"IdleCloseMs":-3`, "PolicyLimits.IdleCloseMs must be from 0 to"},
		`"127.0.0.1:2"`:          {`"127.0.0.1:70000"`, "discovery: host:port is wanted"},
		`"127.0.0.1:3"`:          {`"127.0.0.1:x y"`, "counter: host:port is wanted"},
		`"known":{`:              {`"known":[],"Unused":{`, "known: a list in discovery's form is wanted"},
		`"hosts":[]`:             {`"hosts":{}`, "known: a list in discovery's form is wanted"},
	} {
		t.Run(c.bad, func(t *testing.T) {
			_, err := parse(sampleWith(t, old, c.bad))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestParse_otherAllowedSettingsAreAccepted(t *testing.T) {
	for old, other := range map[string]string{
		`"known":`:              `"known":null,"Unused":`,
		`"Deep":[1,[2]]`:        `"Deep":[1,[2]]`,
		`"IdleCloseMs":30000`:   `"IdleCloseMs":30000,"SecondCopies":true`,
		`"DrainGraceMs":1000`:   `"DrainGraceMs":500`,
		`"WarmAfterMs":16000`:   `"WarmAfterMs":18000`,
		`"FallMultiple":2`:      `"FallMultiple":2.5`,
		`"TipAfterMs":1500`:     `"TipAfterMs":2000`,
		`"Effect":"read_like"`:  `"Effect":"read_like","Worth":3`,
		`"DeadlineMs":1500`:     `"DeadlineMs":3000`,
		`"StreamsPerConn":100`:  `"StreamsPerConn":100,"RetryAfter":false`,
		`"ConnectTimeoutMs":25`: `"ConnectTimeoutMs":25`,
	} {
		t.Run(other, func(t *testing.T) {
			if _, err := parse(sampleWith(t, old, other)); err != nil {
				t.Errorf("refused: %v", err)
			}
		})
	}
	gateway, err := parse(sampleWith(t, `"HasCounter":true`, `"HasCounter":true,"MeterMs":1000`))
	if err != nil || gateway.Settings.UsageSpan != time.Second {
		t.Errorf("MeterMs: read %+v, %v", gateway, err)
	}
}

func TestRetainRestartOnly_returnsChangedKeys(t *testing.T) {
	previous, err := parse([]byte(sampleFile))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"127.0.0.1:1"`, `"127.0.0.1:9"`, `"Models":["m"]`, `"Models":["m","n"]`,
		`"UnitsPerS":2.2`, `"UnitsPerS":3`).Replace(sampleFile)
	gateway, err := parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	keys := gateway.RetainRestartOnly(previous)
	if !reflect.DeepEqual(keys, []string{"listen", "settings.Models"}) || gateway.Listen != previous.Listen ||
		len(gateway.ServerModels) != 1 || gateway.Settings.Plans[0].Rate != 3 {
		t.Errorf("got keys %v and configuration %+v", keys, gateway)
	}
}

// Settings without a traffic class or plan must be refused before any of the file is applied. If
// they were refused later, the counter's address from the same file would already be in use.
func TestParse_settingsWithoutClassOrPlanAreRefused(t *testing.T) {
	for _, key := range []string{"RequestClasses", "TiersOfService"} {
		t.Run(key, func(t *testing.T) {
			_, err := parse(sampleWith(t, `"`+key+`":[`, `"`+key+`":[],"Unused":[`))
			if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v", err)
			}
		})
	}
}
