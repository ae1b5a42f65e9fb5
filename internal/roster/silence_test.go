package roster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/gate"
	"harrierhoist/internal/standin"
	"harrierhoist/policy"
)

const silenceMost = 3 * time.Second // from silence to a whole answer

// asked is a call that came to an agent: when, on which of its connections, and as which call there, from 1.
type asked struct {
	at         time.Time
	conn, call int
	query      string
}

// agent stands in for discovery's agent, by connection: the first call on each is answered with the whole list in the
// version of the connection's number, and later ones by the function.
func agent(t *testing.T, later func(conn int, c net.Conn)) (addr string, calls chan asked) {
	t.Helper()
	l := standin.Listen(t)
	calls = make(chan asked, 1000)
	serve := func(number int, c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for call := 1; ; call++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			calls <- asked{time.Now(), number, call, req.URL.RawQuery}
			if call == 1 {
				answer(c, standin.List(number, true, standin.Host("s-1", "127.0.0.1:9", "in_service")))
			} else {
				later(number, c)
			}
		}
	}
	go func() {
		for number := 1; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(number, c)
		}
	}()
	return l.Addr().String(), calls
}

func answer(c io.Writer, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (a asked) watches(seq int) bool {
	return strings.HasPrefix(a.query, fmt.Sprintf("since=%d&timeout_ms=", seq))
}

// An agent that fell silent in mid-watch was asked again 6.5 s after the watch was opened, with a waiting call. Silence
// may begin in the moment at which a watch is opened: the whole list is had within 3 s of that, on a new connection.
func TestSilentWatchIsAskedAnewAtOnce(t *testing.T) {
	trickle := func(head string) func(int, net.Conn) {
		return func(_ int, c net.Conn) {
			for _, err := io.WriteString(c, head); err == nil; _, err = io.WriteString(c, " ") {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for name, later := range map[string]func(int, net.Conn){
		"says nothing":            func(int, net.Conn) {},
		"trickles a list":         trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{"),
		"trickles without an end": trickle("HTTP/1.1 200 OK\r\n\r\n"),
		"trickles a head":         trickle("HTTP/1.1 200 OK\r\nX:"),
		"stops within a list": func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":9,")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls := agent(t, later)
			if _, err := begin(t, addr, "null"); err != nil {
				t.Fatal(err)
			}
			<-calls
			open, anew, next := <-calls, <-calls, <-calls
			if !open.watches(1) || anew.query != "" || anew.conn != 2 || !next.watches(2) {
				t.Fatalf("asked %+v, then %+v, then %+v", open, anew, next)
			}
			if took := next.at.Sub(open.at); took > silenceMost {
				t.Errorf("the whole list was had after %v", took)
			}
			var wait time.Duration // of the watch
			_, _ = fmt.Sscanf(open.query, "since=1&timeout_ms=%d", &wait)
			if pause := anew.at.Sub(open.at) - wait*time.Millisecond - lateMost; pause > againFirst*3/4 {
				t.Errorf("asked anew after a pause of %v", pause)
			}
		})
	}
}

// holding is a discovery that holds every watch without a word, and every other call as well while it is silent.
func holding(t *testing.T) (addr string, calls chan asked, silent *atomic.Bool) {
	t.Helper()
	l := standin.Listen(t)
	silent, calls = &atomic.Bool{}, make(chan asked, 1000)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls <- asked{at: time.Now(), query: req.URL.RawQuery}
		if silent.Load() || req.URL.RawQuery != "" {
			<-req.Context().Done()
			return
		}
		_, _ = io.WriteString(w, standin.List(7, true, standin.Host("s-1", "127.0.0.1:9", "in_service")))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String(), calls, silent
}

// An agent silent to the call after a silent watch as well is asked again after a drawn pause, never with a waiting
// call; its first answer ends the run, and the next is a watch.
func TestSilenceThatLastsIsAskedAfterPauses(t *testing.T) {
	t.Parallel()
	addr, calls, silent := holding(t)
	if _, err := begin(t, addr, "null"); err != nil {
		t.Fatal(err)
	}
	<-calls
	open := <-calls
	silent.Store(true)
	first, second := <-calls, <-calls
	if !open.watches(7) || first.query != "" || second.query != "" {
		t.Fatalf("asked %+v, %+v, %+v", open, first, second)
	}
	if pause := second.at.Sub(first.at) - askMost; pause < againFirst/2 {
		t.Errorf("asked again after a pause of %v", pause)
	}
	silent.Store(false)
	if third, next := <-calls, <-calls; third.query != "" || !next.watches(7) {
		t.Errorf("asked %+v, %+v", third, next)
	}
}

// Forty watches that fall silent at once, as on a herd day: each is asked anew once without a pause, then with
// growing ones: three calls each in six seconds. Asked on without pauses they made five.
func TestFleetFallenSilentBacksOff(t *testing.T) {
	t.Parallel()
	const gateways, lasting = 40, 6 * time.Second
	addr, calls, silent := holding(t)
	for range gateways {
		if _, err := begin(t, addr, "null"); err != nil {
			t.Fatal(err)
		}
	}
	for watches := 0; watches < gateways; {
		if a := <-calls; a.watches(7) {
			watches++
		}
	}
	silent.Store(true)
	time.Sleep(lasting)
	if each := float64(len(calls)) / gateways; each > 4 || each < 2 {
		t.Errorf("%.1f calls a gateway in %v", each, lasting)
	}
}

// What comes in place of a list is no list: the last one stands, the log says so, and the whole list is asked for
// on a new connection, within the 3 s.
func TestSpoiltAnswerToAWatchIsNoList(t *testing.T) {
	cut := standin.List(9, true, standin.Host("s-2", "127.0.0.1:9", "in_service"))[:60]
	for name, later := range map[string]func(int, net.Conn){
		"an empty body":   func(_ int, c net.Conn) { answer(c, "") },
		"a list cut off":  func(_ int, c net.Conn) { answer(c, cut) },
		"two lists":       func(_ int, c net.Conn) { answer(c, standin.List(9, true)+standin.List(9, true)) },
		"cut with a line": func(_ int, c net.Conn) { answer(c, cut[:1]); _ = c.Close() },
		"cut in mid-message": func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"+cut)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls := agent(t, later)
			seen, logs := observer.New(zap.InfoLevel)
			_, g, err := beginWith(t, pushing(), addr, "null", zap.New(seen))
			if err != nil {
				t.Fatal(err)
			}
			<-calls
			open, anew := <-calls, <-calls
			if !open.watches(1) || anew.query != "" || anew.conn != 2 {
				t.Fatalf("asked %+v, then %+v", open, anew)
			}
			if took := anew.at.Sub(open.at); took > silenceMost {
				t.Errorf("asked again after %v", took)
			}
			e := g.Admit(gate.Task{Lane: 0, Plan: 0, Customer: 5, Units: 1, Width: 1, Patience: 2 * time.Second})
			if c := e.Pick(); c.Verdict != gate.Push || c.Server.Name != "s-1" {
				t.Errorf("verdict %v to %q: the list as last had was given up", c.Verdict, c.Server.Name)
			}
			if n := logs.FilterMessageSnippet("does not answer").Len(); n != 1 {
				t.Errorf("said %d times", n)
			}
		})
	}
}

// Lists may come indented.
func TestIndentedListIsRead(t *testing.T) {
	r := &Roster{halls: []string{"hall-a"}, kinds: []string{"m2"}}
	l, err := r.decode([]byte("\n{\r\n\t\"seq\": 41,\n  \"whole\": true,\n  \"hosts\": [\n    " +
		strings.ReplaceAll(standin.Host("s-1", "1.2.3.4:5", "terminating"), ",", ",\n      ") + "\n  ]\n}\n\n"))
	if err != nil || l.seq != 41 || !l.whole || len(l.servers) != 1 || l.servers[0].Listed.Stage != policy.Draining {
		t.Errorf("got %+v, %v", l, err)
	}
}
