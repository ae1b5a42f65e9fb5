package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Discovery fails in one way after the other and learns of a drain meanwhile; back, it leaves one more call without a word.
// Clients are served all the time, and 5 s after it was back nothing goes to the draining server any more.
func TestDrain_isAppliedSoonAfterAnyFailuresOfDiscovery(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	turnAway := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	cut := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"seq":9,"whole":true,"hosts":[`)
	}
	run := []http.HandlerFunc{hang, turnAway, cut, turnAway}
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			gateway := startGateway(t, 1024, answerHello)
			other := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("other", 1) })
			gateway.reload(strings.Replace(fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, 1024, "null"),
				`"Discovery":"push"`, fmt.Sprintf(`"Discovery":%q`, mode), 1), "gateway: configuration reloaded")
			calls, back := make(chan http.HandlerFunc, len(run)), make(chan time.Time, 1)
			for _, ill := range run {
				calls <- ill
			}
			gateway.discovery.Fail(func(out http.ResponseWriter, r *http.Request) {
				select {
				case ill := <-calls:
					ill(out, r)
				default:
					gateway.discovery.Fail(nil)
					gateway.discovery.Publish(false, fakes.FormatHost("s-1", gateway.server.Addr, "terminating"), fakes.FormatHost("s-2", other.Addr, "in_service"))
					back <- time.Now()
					hang(out, r)
				}
			})
			c := gateway.connect()
			for len(back) == 0 {
				c.send(queryCommand("c=look,t=wide,d=4800"))
				c.want("hello|other") // other: in the moment of its return
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Until((<-back).Add(5 * time.Second)))
			for range 9 {
				c.send(queryCommand("c=look,t=wide,d=4800"))
				c.want("other")
			}
		})
	}
}
