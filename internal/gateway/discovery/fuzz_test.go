package discovery

import (
	"math"
	"testing"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// FuzzDecode decodes arbitrary answers. Decoding must not panic, and the numbers of a decoded list
// must be finite and in range.
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
	} {
		f.Add([]byte(text))
	}
	d := &decoder{zones: []string{"hall-a", "hall-b"}, hardware: []string{"m1", "m2"}}
	f.Fuzz(func(t *testing.T, body []byte) {
		received, err := d.decodeAnswer(body)
		if err != nil {
			if received != nil {
				t.Fatalf("decodeAnswer(%q) returned both the list %+v and the error %v", body, received, err)
			}
			return
		}
		for _, server := range received.servers {
			// A capacity of 0 or less is valid and counts as none.
			endpoint := server.Endpoint
			if math.IsNaN(endpoint.Capacity) || math.IsInf(endpoint.Capacity, 0) ||
				endpoint.Zone < 0 || endpoint.Zone >= len(d.zones) ||
				endpoint.Hardware < 0 || endpoint.Hardware >= len(d.hardware) || endpoint.State > policy.Draining {
				t.Fatalf("decodeAnswer(%q) returned endpoint %+v, out of range", body, endpoint)
			}
		}
	})
}
