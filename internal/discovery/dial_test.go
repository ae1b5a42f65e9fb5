package discovery

import (
	"net"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// Connections that never come up hold back none that would: an agent that takes them again is heard as soon as after silence.
func TestRun_hangingDialIsGivenUp(t *testing.T) {
	runVirtualInEachMode(t, "deaf for six seconds", func(t *testing.T, poll bool) {
		l := listen(t)
		if _, err := startWatcherInMode(t, poll, l.Addr().String(), "null"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		back := time.Now()
		_, calls := scriptedAgent(l, func(a agentCall, c net.Conn) {
			if a.isWatch() {
				holdOpen(c)
				return
			}
			writeAnswer(c, fakes.FormatList(7, true, readyHost("s-1")))
		})
		if next := nextCallWhere(t, calls, agentCall.isWatch); next.at.Sub(back) > listTimeout+maxSilencePause {
			t.Errorf("in force after %v", next.at.Sub(back))
		}
	})
}
