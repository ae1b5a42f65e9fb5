package discovery

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/numbering"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func TestDecodeAnswer_readsEntries(t *testing.T) {
	d := &decoder{numbering.New([]string{"a", "hall-a"}), numbering.New([]string{"m1", "m2"})}
	received, err := d.decodeAnswer([]byte(fakes.FormatList(41, true,
		fakes.FormatHost("s-1", "1.2.3.4:5", "in_service"),
		fakes.FormatHost("s-2", "x", "terminating"), fakes.FormatHost("s-3", "x", "terminated"),
		strings.Replace(fakes.FormatHost("s-4", "x", "in_service"), `"born_ms":0`, `"born_ms":1796126169357`, 1))))
	if err != nil || received.version != 41 || !received.isFull || len(received.servers) != 4 {
		t.Fatalf("got %+v, %v", received, err)
	}
	want := policy.Endpoint{State: policy.Ready, Capacity: 1, Rack: 1, Zone: 1, Hardware: 1}
	if first := received.servers[0]; first.Name != "s-1" || first.Address != "1.2.3.4:5" || first.Endpoint != want {
		t.Errorf("got %+v", first)
	}
	if received.servers[1].Endpoint.State != policy.Draining || received.servers[2].Endpoint.State != policy.Removed ||
		received.servers[3].Endpoint.StartedAt != 1796126169357*time.Millisecond {
		t.Errorf("got %+v", received.servers[1:])
	}
}

// One malformed entry makes a list malformed as a whole.
func TestDecodeAnswer_rejectsMalformedList(t *testing.T) {
	d := &decoder{numbering.New([]string{"hall-a"}), numbering.New([]string{"m2"})}
	good := readyHost("s-1")
	for name, body := range map[string]string{
		"an empty body":        "",
		"null":                 "null",
		"an object":            "{}",
		"an array":             "[" + good + "]",
		"an HTML page":         "<html><body>502 Bad Gateway</body></html>",
		"no seq":               `{"whole":true,"hosts":[` + good + `]}`,
		"a seq that is null":   `{"seq":null,"whole":true,"hosts":[` + good + `]}`,
		"a seq that is text":   `{"seq":"7","whole":true,"hosts":[` + good + `]}`,
		"a fractional seq":     `{"seq":7.5,"whole":true,"hosts":[` + good + `]}`,
		"no whole":             `{"seq":7,"hosts":[` + good + `]}`,
		"no hosts":             `{"seq":7,"whole":true}`,
		"hosts in an object":   `{"seq":7,"whole":true,"hosts":{"s-1":` + good + `}}`,
		"trailing text":        fakes.FormatList(7, true, good) + "x",
		"an entry that's null": fakes.FormatList(7, true, good, "null"),
		"an entry that's text": fakes.FormatList(7, true, good, `"s-2"`),
		"an empty entry":       fakes.FormatList(7, false, good, "{}"),
		"no host":              fakes.FormatList(7, true, good, fakes.FormatHost("", "1.2.3.4:5", "in_service")),
		"no dial":              fakes.FormatList(7, true, good, fakes.FormatHost("s-2", "", "in_service")),
		"no dial, terminating": fakes.FormatList(7, false, good, fakes.FormatHost("s-2", "", "terminating")),
		"a share that's text":  fakes.FormatList(7, true, strings.Replace(good, "1.0", `"1.0"`, 1)),
	} {
		t.Run(name, func(t *testing.T) {
			if received, err := d.decodeAnswer([]byte(body)); err == nil {
				t.Errorf("decoded as %+v, want an error", received)
			}
		})
	}
}

// A removed server needs no address. No request is forwarded to a server in an unknown state. Of
// two entries with the same name, the later one takes effect.
func TestDecodeAnswer_unusualEntries(t *testing.T) {
	t.Parallel()
	w := newWatcher(t, "127.0.0.1:1", options{})
	for _, row := range []struct {
		name, body, wantServer string
		isEmpty                bool
	}{
		{
			"removed, no address",
			fakes.FormatList(1, true, readyHost("s-1"), fakes.FormatHost("s-2", "", "terminated")), "s-1", false,
		},
		{
			"an unknown state",
			fakes.FormatList(2, true, fakes.FormatHost("s-1", "x", "warming_up"), readyHost("s-2")), "s-2", false,
		},
		{
			"ready, then draining",
			fakes.FormatList(3, true, readyHost("s-2"), fakes.FormatHost("s-2", "x", "terminating")), "", false,
		},
		{
			"draining, then ready",
			fakes.FormatList(4, true, fakes.FormatHost("s-3", "x", "terminating"), readyHost("s-3")), "s-3", false,
		},
		{"no state", fakes.FormatList(5, false, fakes.FormatHost("s-3", "x", "")), "", true},
		{"null", `{"seq":6,"whole":false,"hosts":null}`, "", true},
	} {
		received, err := w.decoder.decodeAnswer([]byte(row.body))
		if err != nil || received.isEmpty() != row.isEmpty {
			t.Fatalf("%s: %+v, %v", row.name, received, err)
		}
		w.apply(t.Context(), received)
		w.wantServer(row.name, row.wantServer)
	}
	none := &endpointList{isFull: true}
	if w.apply(t.Context(), none); w.wouldRemoveAllServers(none) {
		t.Error("wouldRemoveAllServers is true, although the dispatcher has no server")
	}
	body := fakes.FormatList(1, true, fakes.FormatHost("s-1", "x", "warming_up"))
	received, err := w.decoder.decodeAnswer([]byte(body))
	if err != nil || received.servers[0].Endpoint.State != policy.Removed {
		t.Errorf("got %+v, %v", received, err)
	}
}

// The known list may have been written by another program, so only its entries are needed.
func TestDecodeKnown_needsNoVersion(t *testing.T) {
	d := &decoder{}
	for text, servers := range map[string]int{`{}`: 0, `{"hosts":null}`: 0, `{"hosts":[` + readyHost("s-1") + `]}`: 1} {
		t.Run(text, func(t *testing.T) {
			if received, err := d.decodeKnown([]byte(text)); err != nil || len(received.servers) != servers {
				t.Errorf("got %+v, %v", received, err)
			}
		})
	}
}

// Guards against keyed requests that run twice: the zone of a server that is not configured was
// decoded as the first one. Zones that are not configured, or not named, differ from all others.
func TestDecodeAnswer_unknownZonesAreNotTheFirst(t *testing.T) {
	t.Parallel()
	w := newWatcher(t, "127.0.0.1:1", options{}) // with the zones hall-a and hall-b
	received, err := w.decoder.decodeAnswer([]byte(fakes.FormatList(1, true,
		hostInZone("s-1", "hall-a"), hostInZone("s-2", "hall-b"), hostInZone("s-3", "hall-c"),
		hostInZone("s-4", "hall-c"), hostInZone("s-5", "hall-d"), hostInZone("s-6", ""), hostInZone("s-7", ""),
		strings.Replace(readyHost("s-8"), `"m2"`, `"m3"`, 1))))
	if err != nil {
		t.Fatal(err)
	}
	zones := map[int][]string{}
	for _, server := range received.servers {
		zones[server.Endpoint.Zone] = append(zones[server.Endpoint.Zone], server.Name)
	}
	want := [][]string{{"s-1", "s-8"}, {"s-2"}, {"s-3", "s-4"}, {"s-5"}, {"s-6"}, {"s-7"}}
	got := slices.SortedFunc(maps.Values(zones), slices.Compare)
	hasIndexes := slices.Equal(zones[0], want[0]) && slices.Equal(zones[1], want[1])
	if !slices.EqualFunc(got, want, slices.Equal) || !hasIndexes {
		t.Errorf("servers by zone: %v, want %v, the first two with the numbers 0 and 1", got, want)
	}
	if model := received.servers[7].Endpoint.Hardware; w.decoder.hardware.IsConfigured(model) {
		t.Errorf("an unknown model has the number %d of a configured one", model)
	}
	for range 2 {
		w.apply(t.Context(), received)
	}
	logged := w.logs.FilterMessageSnippet("servers in a zone").Len()
	if logged != 3 { // hall-c, hall-d, and servers without a zone
		t.Errorf("%d lines on unknown zones, want 3: %v", logged, w.logs.All())
	}
}

// Where no zones are configured, servers that name none are in the gateway's zone, 0.
func TestDecodeAnswer_noZonesAreConfigured(t *testing.T) {
	d := &decoder{}
	received, err := d.decodeAnswer([]byte(fakes.FormatList(1, true, hostInZone("s-1", ""), hostInZone("s-2", ""))))
	if err != nil || received.servers[0].Endpoint.Zone != 0 || received.servers[1].Endpoint.Zone != 0 ||
		len(received.unknownZones) > 0 {
		t.Errorf("got %+v, %v", received, err)
	}
}
