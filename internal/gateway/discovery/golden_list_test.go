package discovery

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/numbering"
	"harrierhoist/policy"
)

// unnamedModel is the number of the hardware of an entry that names none.
const unnamedModel = 2127197583185

// unnamedZones contains, by name of a server, the number of its zone if its entry names none, and two
// zones are configured.
var unnamedZones = map[string]int{
	"a": 1277025632722, "b": 1327969328679, "c": 1945300240130, "d": 2067942955592, "e": 2134140700333,
	"f": 1505272742462, "s-1": 1474191550207,
}

func newServer(name, address string, state policy.EndpointState) dispatch.Server {
	endpoint := policy.Endpoint{State: state, Zone: unnamedZones[name], Hardware: unnamedModel}
	return dispatch.Server{Name: name, Address: address, Endpoint: endpoint}
}

// unknownServer is in a zone and of a model that are not configured.
var unknownServer = dispatch.Server{Name: "s-1", Address: "x", Endpoint: policy.Endpoint{
	State: policy.Ready, Zone: 1945968340933, Hardware: 2168775622054,
}}

// fullEntry is an entry that has every key. It is decoded as fullServer.
const fullEntry = `{"host":"s-1","dial":"10.1.0.18:6379","site":"hall-b","class":"m3","block":3,` +
	`"health":"in_service","share":0.75,"born_ms":1796126169357.5}`

var fullServer = dispatch.Server{Name: "s-1", Address: "10.1.0.18:6379", Endpoint: policy.Endpoint{
	State: policy.Ready, Capacity: 0.75, StartedAt: 1796126169357500 * time.Microsecond, Rack: 3, Zone: 1, Hardware: 2,
}}

// listEncodings contains encoded lists and the expected results of decoding them.
var listEncodings = []struct {
	name, body string
	version    int64
	isFull     bool
	servers    []dispatch.Server
	isEmpty    bool
}{
	{
		"a full list, all keys", `{"seq":41,"whole":true,"hosts":[` + fullEntry + `]}`, 41, true,
		[]dispatch.Server{fullServer},
		false,
	},
	{
		"changes", `{"seq":42,"whole":false,"hosts":[` + fullEntry + `]}`, 42, false,
		[]dispatch.Server{fullServer},
		false,
	},
	{"no entries", `{"seq":1,"whole":true,"hosts":[]}`, 1, true, nil, true},
	{"null for entries", `{"seq":1,"whole":false,"hosts":null}`, 1, false, nil, true},
	{"a negative version", `{"seq":-9,"whole":false,"hosts":[]}`, -9, false, nil, true},
	{
		"the highest version", `{"seq":9223372036854775807,"whole":true,"hosts":[]}`,
		9223372036854775807, true, nil, true,
	},
	{"indented, keys in another order", "\n{ \"hosts\" : [\r\n\t" + strings.ReplaceAll(fullEntry, ",", " ,\n ") +
		" ],\n \"whole\": true, \"seq\": 3 }\n\n", 3, true, []dispatch.Server{fullServer}, false},
	{
		"keys in capitals", strings.NewReplacer(`"host"`, `"HOST"`, `"dial"`, `"Dial"`, `"born_ms"`, `"BORN_MS"`,
			`"site"`, `"Site"`).Replace(`{"SEQ":3,"Whole":true,"HOSTS":[` + fullEntry + `]}`),
		3, true,
		[]dispatch.Server{fullServer},
		false,
	},
	{
		"unknown keys", `{"seq":3,"whole":true,"hosts":[` +
			strings.Replace(fullEntry, "{", `{"more":[{"host":"x"}],`, 1) + `],"more":{}}`,
		3, true,
		[]dispatch.Server{fullServer},
		false,
	},
	{
		"few keys", `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"x","health":"in_service"}]}`,
		3, true,
		[]dispatch.Server{newServer("s-1", "x", policy.Ready)},
		false,
	},
	{
		"unknown site and class", `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"x","site":"hall-z",` +
			`"class":"m9","health":"in_service"}]}`, 3, true,
		[]dispatch.Server{unknownServer},
		false,
	},
	{
		"each state", `{"seq":3,"whole":true,"hosts":[{"host":"a","dial":"x","health":"in_service"},` +
			`{"host":"b","dial":"x","health":"terminating"},{"host":"c","dial":"x","health":"terminated"},` +
			`{"host":"d","dial":"x","health":"In_Service"},{"host":"e","dial":"x","health":""},` +
			`{"host":"f","dial":""}]}`, 3, true,
		[]dispatch.Server{
			newServer("a", "x", policy.Ready), newServer("b", "x", policy.Draining),
			newServer("c", "x", policy.Removed), newServer("d", "x", policy.Removed),
			newServer("e", "x", policy.Removed), newServer("f", "", policy.Removed),
		},
		false,
	},
	{
		"all removed", `{"seq":3,"whole":true,"hosts":[{"host":"c","dial":"x","health":"terminated"}]}`, 3, true,
		[]dispatch.Server{newServer("c", "x", policy.Removed)},
		true,
	},
	{
		"a duplicate name", `{"seq":3,"whole":false,"hosts":[{"host":"a","dial":"x","health":"in_service"},` +
			`{"host":"a","dial":"y","health":"terminating"}]}`, 3, false,
		[]dispatch.Server{newServer("a", "x", policy.Ready), newServer("a", "y", policy.Draining)},
		false,
	},
}

func TestGolden_eachFormOfAListIsReadAsBefore(t *testing.T) {
	d := &decoder{numbering.New([]string{"hall-a", "hall-b"}), numbering.New([]string{"m1", "m2", "m3"})}
	for _, form := range listEncodings {
		t.Run(form.name, func(t *testing.T) {
			received, err := d.decodeAnswer([]byte(form.body))
			if err != nil {
				t.Fatal(err)
			}
			hasSameHead := received.version == form.version && received.isFull == form.isFull
			hasSameServers := received.isEmpty() == form.isEmpty && reflect.DeepEqual(received.servers, form.servers)
			if !hasSameHead || !hasSameServers {
				t.Errorf("got  %+v\nwant %+v", received, form)
			}
			knownList, err := d.decodeKnown([]byte(form.body))
			if err != nil || !reflect.DeepEqual(knownList.servers, form.servers) {
				t.Errorf("decoded as the known list: %+v, %v", knownList, err)
			}
		})
	}
}
