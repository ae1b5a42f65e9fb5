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

// Discovery fails in one way after the other and learns of a drain meanwhile; back, it leaves one
// more call unanswered. Clients are served all the time, and 5 s after it was back nothing is sent
// to the draining server any more.
func TestDrain_isAppliedSoonAfterAnyFailuresOfDiscovery(t *testing.T) {
	hang := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	reject := func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusServiceUnavailable)
	}
	cutOff := func(response http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(response, `{"seq":9,"whole":true,"hosts":[`)
	}
	failures := []http.HandlerFunc{hang, reject, cutOff, reject}
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			gateway := startGateway(t, 1024, answerHello)
			other := fakes.NewServer(t, answering("other"))
			gateway.reload(strings.Replace(gateway.configuration(), `"Discovery":"push"`,
				fmt.Sprintf(`"Discovery":%q`, mode), 1), "gateway: configuration reloaded")
			calls, recovered := make(chan http.HandlerFunc, len(failures)), make(chan time.Time, 1)
			for _, failure := range failures {
				calls <- failure
			}
			gateway.discovery.Fail(func(response http.ResponseWriter, request *http.Request) {
				select {
				case failure := <-calls:
					failure(response, request)
				default:
					gateway.discovery.Fail(nil)
					gateway.discovery.Publish(false, fakes.FormatHost("s-1", gateway.server.Addr, "terminating"),
						fakes.FormatHost("s-2", other.Addr, "in_service"))
					recovered <- time.Now()
					hang(response, request)
				}
			})
			c := gateway.connect()
			for len(recovered) == 0 {
				c.query(queryList, "hello|other") // other: as the list is applied
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Until((<-recovered).Add(5 * time.Second)))
			for range 9 {
				c.query(queryList, "other")
			}
		})
	}
}
