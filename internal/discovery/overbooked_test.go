package discovery

import (
	"io"
	"net"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/testing/fakes"
)

// overbookedAgent is a discovery that takes a call every 0.3 s and turns away what would wait for its turn longer than its
// time-out: 2 s, or what a watch says. A call that is given up keeps its turn.
type overbookedAgent struct {
	mu       sync.Mutex
	nextTurn time.Time     // when the next turn is
	changed  chan struct{} // closed with version 2, in which s-2 is in the place of s-1
}

func (o *overbookedAgent) handle(a agentCall, c net.Conn) {
	query, _ := url.ParseQuery(a.query)
	limit := 2 * time.Second
	if ms, err := strconv.Atoi(query.Get("timeout_ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	begun := time.Now()
	o.mu.Lock()
	if o.nextTurn.Before(begun) {
		o.nextTurn = begun
	}
	turn := o.nextTurn.Sub(begun)
	if turn > limit {
		o.mu.Unlock()
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	o.nextTurn = o.nextTurn.Add(300 * time.Millisecond)
	o.mu.Unlock()
	time.Sleep(turn)
	if query.Get("since") == "1" {
		select {
		case <-o.changed:
		case <-time.After(time.Until(begun.Add(limit))):
			writeAnswer(c, fakes.FormatList(1, false))
			return
		}
	}
	select {
	case <-o.changed:
		writeAnswer(c, fakes.FormatList(2, true, readyHost("s-2")))
	default:
		writeAnswer(c, fakes.FormatList(1, true, readyHost("s-1")))
	}
}

// Where lists are asked for, six gateways that start together overbook discovery for a while. With calls given up after a
// second, and watches of 1.2 to 1.5 s, they kept it so: some had no list for 20 s.
func TestRun_overbookedDiscoveryIsReadByAll(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2300 * time.Millisecond, 9 * time.Second} {
		runVirtual(t, "a change after "+after.String(), func(t *testing.T) {
			t.Cleanup(func() { time.Sleep(10 * time.Second) }) // who waits for a turn ends
			o := &overbookedAgent{changed: make(chan struct{})}
			addr, _ := scriptedAgent(listen(t), o.handle)
			settings := forwardingSettings()
			settings.PollList = true
			var gates []*dispatch.Dispatcher
			for seed := range int64(6) {
				_, dispatcher, err := startSeededWatcher(t, settings, addr, fakes.FormatList(1, true, readyHost("s-1")), zap.NewNop(), seed+1)
				if err != nil {
					t.Fatal(err)
				}
				gates = append(gates, dispatcher)
			}
			time.Sleep(after)
			close(o.changed)
			time.Sleep(6 * time.Second)
			synctest.Wait()
			for i, dispatcher := range gates {
				if name := chosenServer(dispatcher); name != "s-2" {
					t.Errorf("gateway %d: in force after 6 s: %q", i, name)
				}
			}
		})
	}
}
