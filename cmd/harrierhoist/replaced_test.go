package main

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// restartedHost is an entry of a list whose process has a later start than that of fakes.FormatHost.
func restartedHost(name, addr string) string {
	return strings.Replace(fakes.FormatHost(name, addr, "in_service"), `"born_ms":0`, `"born_ms":1000`, 1)
}

// publishReplaced has discovery tell that the gateway's server is another process, and waits until the
// gateway knows.
func (g *gatewayUnderTest) publishReplaced() {
	g.publishAndAwait(restartedHost("s-1", g.server.Addr))
}

// Guards against requests that go to an earlier process, whose connections are still open.
func TestReplacedServer_getsTheRequestsAtItsAddress(t *testing.T) {
	gateway := startGateway(t, 1024, answering("old"))
	client := gateway.connect()
	client.query(queryList, "old")
	replacement := gateway.server.Replace(t, answering("new"))
	gateway.publishReplaced()
	for range 10 {
		client.query(queryList, "new")
	}
	if got := replacement.PendingCommands(); got != 10 {
		t.Errorf("%d commands at the new process, want 10", got)
	}
}

// Guards against a second run at a process that does not know what the one before it has run.
func TestReplacedServer_repeatsOnlyWhatMayRunAgain(t *testing.T) {
	const list = "t=wide,d=4800,units=2,spread=1,first=0"
	for name, row := range map[string]struct {
		command, answer string
	}{
		"idempotent": {queryCommand("c=look," + list), "new"},
		"keyed": {fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(),
			"c=hold,k=5c0f6e1a2b3d4c59,"+list, "x"), "-ERR failed"},
		"non-idempotent": {submitOf(1)("c=look," + list), "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replaced := make(chan struct{})
			gateway := startGateway(t, 1024, func([]string) string {
				<-replaced
				return fakes.CloseConn
			})
			client := gateway.connect()
			client.send(row.command)
			gateway.server.NextCommand(t)
			replacement := gateway.server.Replace(t, answering("new"))
			gateway.publishReplaced()
			close(replaced)
			client.want(row.answer)
			time.Sleep(100 * time.Millisecond)
			if got := replacement.PendingCommands(); got > 0 && row.answer != "new" {
				t.Errorf("ran %d times at the new process", got)
			}
		})
	}
}
