package discovery

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/numbering"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// FuzzDecode decodes arbitrary answers. Decoding must not panic, the numbers of a decoded list must
// be finite and in range, and the number of a zone or a model must stand for its name alone.
func FuzzDecode(f *testing.F) {
	one, two := fakes.FormatHost("s-1", "10.1.0.18:6379", "in_service"), fakes.FormatHost("s-2", "x", "terminating")
	for _, text := range []string{
		fakes.FormatList(41, true, one, two), fakes.FormatList(43, false, fakes.FormatHost("s-2", "x", "terminated")),
		fakes.FormatList(1, true),
		"", "null", "{}", "[]", "{", `{"hosts":null}`, `{"hosts":[null]}`, `{"hosts":[{}]}`, `{"seq":1.5}`,
		`{"seq":-1,"whole":true}`,
		`{"seq":99999999999999999999}`, "{\n \"seq\": 41,\r\n\t\"hosts\": [ " + one + " ]\n}\n", `{"SEQ":7,"seq":8}`,
		`{"hosts":[{"host":"s","dial":"x","health":"in_service","share":-1}]}`,
		`{"hosts":[{"host":"s","dial":"x","health":"in_service","born_ms":1796126169357,"block":-1}]}`,
		`{"hosts":[{"host":"s","dial":"x","health":"in_service","share":1e400}]}`,
		`{"hosts":[{"host":"","dial":"","health":"x"}]}`,
		fakes.FormatList(1, true, hostInZone("s-1", "hall-b"), hostInZone("s-2", "hall-c"), hostInZone("s-3", "hall-c"),
			hostInZone("s-4", "hall-d"), hostInZone("s-5", ""), hostInZone("s-6", "")),
	} {
		f.Add([]byte(text))
	}
	zones, models := []string{"hall-a", "hall-b"}, []string{"m1", "m2"}
	d := &decoder{numbering.New(zones), numbering.New(models)}
	f.Fuzz(func(t *testing.T, body []byte) {
		received, err := d.decodeAnswer(body)
		if err != nil {
			if received != nil {
				t.Fatalf("decodeAnswer(%q) returned both the list %+v and the error %v", body, received, err)
			}
			return
		}
		var answer struct{ Hosts []entry }
		if err := json.Unmarshal(body, &answer); err != nil || len(answer.Hosts) != len(received.servers) {
			t.Fatalf("decodeAnswer(%q) returned %d servers of %d entries, %v", body, len(received.servers),
				len(answer.Hosts), err)
		}
		zoneNames, modelNames := numberedNames{}, numberedNames{}
		for i, server := range received.servers {
			// A capacity of 0 or less is valid and counts as none.
			endpoint, source := server.Endpoint, answer.Hosts[i]
			if math.IsNaN(endpoint.Capacity) || math.IsInf(endpoint.Capacity, 0) || endpoint.State > policy.Draining {
				t.Fatalf("decodeAnswer(%q) returned endpoint %+v, out of range", body, endpoint)
			}
			zone := cmp.Or(source.Site, "without a zone: "+source.Host)
			if !zoneNames.add(zones, endpoint.Zone, zone) || !modelNames.add(models, endpoint.Hardware, source.Class) {
				t.Fatalf("decodeAnswer(%q) returned endpoint %+v, whose numbers stand for other names", body, endpoint)
			}
		}
	})
}

// numberedNames holds the names that numbers of a list stand for.
type numberedNames map[int]string

// add records that a number stands for a name. It returns false if the number stands for another
// name already, if it is the index of another configured name, or if the name has another index.
func (n numberedNames) add(configured []string, number int, name string) bool {
	if index := slices.Index(configured, name); index >= 0 && number != index {
		return false
	}
	if number < 0 || number < len(configured) && configured[number] != name {
		return false
	}
	other, isTaken := n[number]
	n[number] = name
	return !isTaken || other == name
}

// hostInZone returns an entry of a ready server in a zone.
func hostInZone(name, zone string) string {
	return strings.Replace(readyHost(name), `"site":"hall-a"`, fmt.Sprintf(`"site":%q`, zone), 1)
}
