package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/config"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

func listed(name, dial string, stage policy.EndpointState) dispatch.Server {
	return dispatch.Server{Name: name, Address: dial, Endpoint: policy.Endpoint{State: stage}}
}

func TestGolden_eachFormOfAListIsReadAsBefore(t *testing.T) {
	full := dispatch.Server{Name: "s-1", Address: "10.1.0.18:6379", Endpoint: policy.Endpoint{State: policy.Ready, Capacity: 0.75,
		StartedAt: 1796126169357500 * time.Microsecond, Rack: 3, Zone: 1, Hardware: 2}}
	const all = `{"host":"s-1","dial":"10.1.0.18:6379","site":"hall-b","class":"m3","block":3,"health":"in_service","share":0.75,` +
		`"born_ms":1796126169357.5}`
	d := &decoder{zones: []string{"hall-a", "hall-b"}, hardware: []string{"m1", "m2", "m3"}}
	for _, c := range []struct {
		name, body string
		seq        int64
		whole      bool
		servers    []dispatch.Server
		none       bool
	}{
		{"a whole list, all keys", `{"seq":41,"whole":true,"hosts":[` + all + `]}`, 41, true, []dispatch.Server{full}, false},
		{"changes", `{"seq":42,"whole":false,"hosts":[` + all + `]}`, 42, false, []dispatch.Server{full}, false},
		{"no entries", `{"seq":1,"whole":true,"hosts":[]}`, 1, true, nil, true},
		{"null for entries", `{"seq":1,"whole":false,"hosts":null}`, 1, false, nil, true},
		{"a version below 0", `{"seq":-9,"whole":false,"hosts":[]}`, -9, false, nil, true},
		{"a version of 63 bits", `{"seq":9223372036854775807,"whole":true,"hosts":[]}`, 9223372036854775807, true, nil, true},
		{"indented, keys in another order", "\n{ \"hosts\" : [\r\n\t" + strings.ReplaceAll(all, ",", " ,\n ") +
			" ],\n \"whole\": true, \"seq\": 3 }\n\n", 3, true, []dispatch.Server{full}, false},
		{"keys in capitals", strings.NewReplacer(`"host"`, `"HOST"`, `"dial"`, `"Dial"`, `"born_ms"`, `"BORN_MS"`, `"site"`, `"Site"`).
			Replace(`{"SEQ":3,"Whole":true,"HOSTS":[` + all + `]}`), 3, true, []dispatch.Server{full}, false},
		{"unknown keys", `{"seq":3,"whole":true,"hosts":[` + strings.Replace(all, "{", `{"more":[{"host":"x"}],`, 1) + `],"more":{}}`,
			3, true, []dispatch.Server{full}, false},
		{"few keys", `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"x","health":"in_service"}]}`,
			3, true, []dispatch.Server{listed("s-1", "x", policy.Ready)}, false},
		{"a site and a class that are unknown", `{"seq":3,"whole":true,"hosts":[{"host":"s-1","dial":"x","site":"hall-z",` +
			`"class":"m9","health":"in_service"}]}`, 3, true, []dispatch.Server{listed("s-1", "x", policy.Ready)}, false},
		{"each state", `{"seq":3,"whole":true,"hosts":[{"host":"a","dial":"x","health":"in_service"},` +
			`{"host":"b","dial":"x","health":"terminating"},{"host":"c","dial":"x","health":"terminated"},` +
			`{"host":"d","dial":"x","health":"In_Service"},{"host":"e","dial":"x","health":""},{"host":"f","dial":""}]}`, 3, true,
			[]dispatch.Server{listed("a", "x", policy.Ready), listed("b", "x", policy.Draining), listed("c", "x", policy.Removed),
				listed("d", "x", policy.Removed), listed("e", "x", policy.Removed), listed("f", "", policy.Removed)}, false},
		{"none left", `{"seq":3,"whole":true,"hosts":[{"host":"c","dial":"x","health":"terminated"}]}`, 3, true,
			[]dispatch.Server{listed("c", "x", policy.Removed)}, true},
		{"one name twice", `{"seq":3,"whole":false,"hosts":[{"host":"a","dial":"x","health":"in_service"},` +
			`{"host":"a","dial":"y","health":"terminating"}]}`, 3, false,
			[]dispatch.Server{listed("a", "x", policy.Ready), listed("a", "y", policy.Draining)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			received, err := d.decodeAnswer([]byte(c.body))
			if err != nil {
				t.Fatal(err)
			}
			if received.version != c.seq || received.isFull != c.whole || received.isEmpty() != c.none || !reflect.DeepEqual(received.servers, c.servers) {
				t.Errorf("got  %+v\nwant %d %v %+v", received, c.seq, c.whole, c.servers)
			}
			if known, err := d.decodeKnown([]byte(c.body)); err != nil || !reflect.DeepEqual(known.servers, c.servers) {
				t.Errorf("as last had: %+v, %v", known, err)
			}
		})
	}
}

func TestGolden_malformedKnownListIsRefusedAsBefore(t *testing.T) {
	const (
		list  = "configuration: known: an answer that is no list: json: cannot unmarshal "
		hosts = "struct { Host string; Dial string; Site string; Class string; Health string; Block int; Share float64; " +
			"BornMs float64 \"json:\\\"born_ms\\\"\" }"
	)
	for _, c := range []struct{ name, known, want string }{
		{"a host that is a number", `{"hosts":[{"host":7}]}`, list + "number into Go struct field .Host of type string"},
		{"an entry that is a number", `{"hosts":[7]}`, list + "number into Go value of type " + hosts},
		{"hosts by name", `{"hosts":{"a":7}}`, list + "object into Go value of type []" + hosts},
		{"an array", `[]`, "configuration: known: json: cannot unmarshal array into Go value of type struct { Hosts json.RawMessage }"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dispatcher, err := dispatch.New(forwardingSettings(), 1, dispatch.Dependencies{}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			_, err = New(&config.Gateway{KnownEndpoints: []byte(c.known)}, dispatcher, zap.NewNop())
			if err == nil || err.Error() != c.want {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
		})
	}
}

// The first call and a watch, byte for byte.
func TestGolden_callsAreWordedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := listenAt(t, "golden:1")
		heads := make(chan string, 2)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
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
				writeAnswer(c, fakes.FormatList(41, true, readyHost("s-1")))
			}
			holdOpen(c)
		}()
		if _, _, err := startSeededWatcher(t, forwardingSettings(), l.Addr().String(), "null", zap.NewNop(), 5); err != nil {
			t.Fatal(err)
		}
		const rest = " HTTP/1.1\r\nHost: golden:1\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n"
		for _, want := range []string{"GET /api/targets" + rest, "GET /api/targets?since=41&timeout_ms=1348" + rest} {
			if got := <-heads; got != want {
				t.Errorf("called %q", got)
			}
		}
	})
}

// recorded is what a watcher of a seed calls in a time of its own clock: when, in ms from its start, on which connection,
// as which call there, and for what. Discovery answers by the number of the call: with its list, a watch with nothing new,
// not at all, or with the end of the connection; 503 is not among them, as the pauses after it aren't of the seed.
func recorded(t *testing.T, poll bool, seed int64) (lines []string) {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Second) }) // calls that are being answered end
	var mu sync.Mutex
	begun := time.Now()
	addr, _ := scriptedAgent(listen(t), func(a agentCall, c net.Conn) {
		mu.Lock()
		lines = append(lines, fmt.Sprintf("%.3f %d %d %s", a.at.Sub(begun).Seconds(), a.connection, a.call, cmp.Or(a.query, "full list")))
		mu.Unlock()
		switch {
		case a.all%9 == 5 || a.all > 30 && a.all%3 == 0:
			holdOpen(c)
		case a.all%13 == 7 && !poll:
			_ = c.Close()
		case a.all == 16:
			writeAnswer(c, fakes.FormatList(16, true))
		case a.query == "":
			writeAnswer(c, fakes.FormatList(a.all, true, readyHost("s-1")))
		case a.all%4 == 0:
			writeAnswer(c, fakes.FormatList(a.all, false, readyHost("s-2")))
		default:
			time.Sleep(700 * time.Millisecond)
			var version int
			_, _ = fmt.Sscanf(a.query, "since=%d", &version)
			writeAnswer(c, fakes.FormatList(version, false))
		}
	})
	settings := forwardingSettings()
	settings.PollList = poll
	if _, _, err := startSeededWatcher(t, settings, addr, "null", zap.NewNop(), seed); err != nil {
		t.Fatal(err)
	}
	time.Sleep(40 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(lines)
}

func TestGolden_timesOfCallsAreDrawnAsBefore(t *testing.T) {
	for _, c := range []struct {
		name string
		poll bool
		file string
	}{
		{"pushed", false, "calls_pushed.txt"},
		{"asked for", true, "calls_polled.txt"},
	} {
		runVirtual(t, c.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", c.file))
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(recorded(t, c.poll, 3), "\n") + "\n"; got != string(want) {
				t.Errorf("called\n%s", got)
			}
		})
	}
}
