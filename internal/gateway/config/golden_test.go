package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"harrierhoist/internal/testing/golden"
)

func TestGolden_everyKeyOfAConfigurationFileIsReadAsBefore(t *testing.T) {
	got, err := Read(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	want := fullConfiguration()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	// A field that has its zero value in want would not show whether it is read. The exceptions are
	// Retired, which has no key, and Stream, which only another class of the file sets.
	for _, part := range []any{*want, want.Settings, want.Settings.Classes[1], want.Settings.Plans[0]} {
		value := reflect.ValueOf(part)
		for i := range value.NumField() {
			if field := value.Type().Field(i); value.Field(i).IsZero() && field.Name != "Retired" &&
				field.Name != "Stream" {
				t.Errorf("%s.%s has no value in the file", value.Type(), field.Name)
			}
		}
	}
}

// readRefusals reads testdata/refusals.txt. Each line has edits of full.json, a tab and the error
// text that the edited file is refused with. An edit is PATH=VALUE, where VALUE is JSON, or -PATH,
// which removes the key; several edits are joined by " && ".
func readRefusals(t *testing.T) [][2]string {
	t.Helper()
	var entries [][2]string
	for line := range strings.Lines(string(golden.Read(t, "refusals.txt"))) {
		edit, refusal, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			t.Fatalf("no tab in %q", line)
		}
		entries = append(entries, [2]string{edit, refusal})
	}
	return entries
}

// editFullFile returns testdata/full.json after the edits, written as in testdata/refusals.txt.
func editFullFile(t *testing.T, edits string) []byte {
	t.Helper()
	var root any
	if err := json.Unmarshal(golden.Read(t, "full.json"), &root); err != nil {
		t.Fatal(err)
	}
	for _, edit := range strings.Split(edits, " && ") {
		path, value, set := strings.Cut(edit, "=")
		path = strings.TrimPrefix(path, "-")
		keys := strings.Split(path, ".")
		parent := root
		for _, key := range keys[:len(keys)-1] {
			if list, ok := parent.([]any); ok {
				index, err := strconv.Atoi(key)
				if err != nil {
					t.Fatalf("%s: %v", edit, err)
				}
				parent = list[index]
			} else {
				parent = parent.(map[string]any)[key]
			}
		}
		last := keys[len(keys)-1]
		if !set {
			delete(parent.(map[string]any), last)
			continue
		}
		var decoded any
		if err := json.Unmarshal([]byte(value), &decoded); err != nil {
			t.Fatalf("%s: %v", edit, err)
		}
		parent.(map[string]any)[last] = decoded
	}
	text, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGolden_everyRefusalOfABadFileIsWordedAsBefore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.json")
	for _, refusal := range readRefusals(t) {
		edits, want := refusal[0], refusal[1]
		t.Run(edits, func(t *testing.T) {
			if err := os.WriteFile(path, editFullFile(t, edits), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Read(path)
			if err == nil || err.Error() != path+": "+want {
				t.Errorf("got  %v\nwant PATH: %s", err, want)
			}
		})
	}
}

func TestGolden_fileThatCannotBeReadIsRefusedAsBefore(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct{ name, path, text, want string }{
		{"no path", "", "", "no configuration file is named (RELAY_CONFIG)"},
		{"missing file", dir + "/none.json", "", "open DIR/none.json: no such file or directory"},
		{"a directory", dir, "", "read DIR: is a directory"},
		{"empty", dir + "/a.json", " ", "DIR/a.json: configuration: unexpected end of JSON input"},
		{"truncated file", dir + "/a.json", `{"name":"n3",`, "DIR/a.json: configuration: unexpected end of JSON input"},
		{
			"not JSON", dir + "/a.json", "name = n3",
			"DIR/a.json: configuration: invalid character 'a' in literal null (expecting 'u')",
		},
		{
			"trailing data", dir + "/a.json", "{} {}",
			"DIR/a.json: configuration: invalid character '{' after top-level value",
		},
		{
			"an array", dir + "/a.json", "[]",
			"DIR/a.json: configuration: json: cannot unmarshal array into Go value of type struct { " +
				"Name string; Listen string; Discovery string; Counter string; Seed string; " +
				"Limits struct { Cores float64; MemoryMB int \"json:\\\"memory_mb\\\"\"; Sockets int }; " +
				"Known json.RawMessage; Settings map[string]interface {} }",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.text != "" {
				if err := os.WriteFile(c.path, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			_, err := Read(c.path)
			if err == nil || strings.ReplaceAll(err.Error(), dir, "DIR") != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestGolden_settingsAsLinesAreRefusedAsBefore(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no '='", "A=1\r\n\nnonsense", "settings line 3 has no '='"},
		{"nothing", "", "settings: Balancers is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			values, err := ParseLines(c.text)
			if err == nil {
				_, err = ReadSettings(values)
			}
			if err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// A file may have keys that this version does not know.
func TestGolden_unknownKeysAreNotRefused(t *testing.T) {
	want := fullConfiguration().Settings
	for _, edits := range []string{
		"more=7", `settings.More={"Deep":[{"a":1}]}`, "settings.SomethingNew=null",
		"-settings.SomethingNew",
	} {
		got, err := parse(editFullFile(t, edits))
		if err != nil {
			t.Errorf("%s: %v", edits, err)
		} else if !reflect.DeepEqual(got.Settings, want) {
			t.Errorf("%s: got %+v", edits, got.Settings)
		}
	}
}
