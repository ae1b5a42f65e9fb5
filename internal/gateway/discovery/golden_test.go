package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/numbering"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/internal/testing/golden"
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

func TestGolden_malformedKnownListIsRefusedAsBefore(t *testing.T) {
	const (
		list  = "configuration: known: an answer that is no list: json: cannot unmarshal "
		hosts = "struct { Host string; Dial string; Site string; Class string; Health string; Block int; " +
			"Share float64; BornMs float64 \"json:\\\"born_ms\\\"\" }"
	)
	for _, row := range []struct{ name, known, want string }{
		{"a host that is a number", `{"hosts":[{"host":7}]}`, list +
			"number into Go struct field .Host of type string"},
		{"an entry that is a number", `{"hosts":[7]}`, list + "number into Go value of type " + hosts},
		{"hosts by name", `{"hosts":{"a":7}}`, list + "object into Go value of type []" + hosts},
		{
			"an array", `[]`,
			"configuration: known: json: cannot unmarshal array into Go value of type struct { Hosts json.RawMessage }",
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			dispatcher := newDispatcher(t, forwardingSettings(), zap.NewNop())
			_, err := New(&config.Gateway{KnownEndpoints: []byte(row.known)}, dispatcher, zap.NewNop())
			if err == nil || err.Error() != row.want {
				t.Errorf("got  %v\nwant %s", err, row.want)
			}
		})
	}
}

// The requests of the first call and of a watch must not change in any byte.
func TestGolden_callsAreWrittenAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := listenAt(t, "golden:1")
		heads := make(chan string, 2)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			for range 2 {
				var head bytes.Buffer
				for !strings.HasSuffix(head.String(), "\r\n\r\n") {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					head.WriteString(line)
				}
				heads <- head.String()
				writeAnswer(conn, fakes.FormatList(41, true, readyHost("s-1")))
			}
			holdOpen(conn)
		}()
		startWatcher(t, listener.Addr().String(), options{known: "null", seed: 5})
		const rest = " HTTP/1.1\r\nHost: golden:1\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
		for _, want := range []string{"GET /api/targets" + rest, "GET /api/targets?since=41&timeout_ms=1348" + rest} {
			if got := <-heads; got != want {
				t.Errorf("got request %q", got)
			}
		}
	})
}

// recordCalls returns a watcher's calls in 40 s of a virtual clock, one per line: seconds from the
// start, connection, number of the call on it, query. The number of a call determines its answer.
// The agent never rejects a call, because the pauses after a rejection do not depend on the seed.
func recordCalls(t *testing.T, isPolled bool, seed int64) (lines []string) {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Second) }) // lets calls that are being answered end
	var mu sync.Mutex
	startedAt := time.Now()
	addr, _ := scriptedAgent(listen(t), func(call agentCall, conn net.Conn) {
		mu.Lock()
		lines = append(lines, fmt.Sprintf("%.3f %d %d %s", call.at.Sub(startedAt).Seconds(), call.connection,
			call.onConnection, cmp.Or(call.query, "full list")))
		mu.Unlock()
		switch {
		case call.number%9 == 5 || call.number > 30 && call.number%3 == 0:
			holdOpen(conn)
		case call.number%13 == 7 && !isPolled:
			_ = conn.Close()
		case call.number == 16:
			writeAnswer(conn, fakes.FormatList(16, true))
		case call.query == "":
			writeAnswer(conn, fakes.FormatList(call.number, true, readyHost("s-1")))
		case call.number%4 == 0:
			writeAnswer(conn, fakes.FormatList(call.number, false, readyHost("s-2")))
		default:
			time.Sleep(700 * time.Millisecond)
			var version int
			_, _ = fmt.Sscanf(call.query, "since=%d", &version)
			writeAnswer(conn, fakes.FormatList(version, false))
		}
	})
	startWatcher(t, addr, options{isPolled: isPolled, known: "null", seed: seed})
	time.Sleep(40 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(lines)
}

func TestGolden_timesOfCallsAreDrawnAsBefore(t *testing.T) {
	for _, row := range []struct {
		name     string
		isPolled bool
		file     string
	}{
		{"notified", false, "calls_pushed.txt"},
		{"polled", true, "calls_polled.txt"},
	} {
		runVirtual(t, row.name, func(t *testing.T) {
			golden.Check(t, row.file, []byte(strings.Join(recordCalls(t, row.isPolled, 3), "\n")+"\n"))
		})
	}
}
