package listener

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// reorderedSettings returns testSettings with the classes and plans reordered, one of each removed
// and one added. The class pay keeps its name and becomes idempotent.
func reorderedSettings() policy.Settings {
	settings := testSettings()
	settings.Classes = []policy.TrafficClass{
		settings.Classes[1], {Name: "new", LatencyObjective: time.Second, Timeout: time.Second},
	}
	settings.Classes[0].Effect = policy.Idempotent
	settings.Plans = []policy.Plan{{Name: "new", Rate: 1, Burst: 1}, settings.Plans[0]}
	return settings
}

// A request that arrives while new settings are applied is parsed and admitted under the same
// settings. Otherwise, a request sent as non-idempotent could be admitted as idempotent.
func TestReconfigure_requestIsParsedAndAdmittedUnderTheSameSettings(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.CloseConn })
	var once sync.Once
	blocked, resume := make(chan struct{}), make(chan struct{})
	f := newFixtureWith(t, testSettings(), func(reply counterReply) {
		once.Do(func() {
			close(blocked)
			<-resume // all later requests wait for the dispatcher's lock, which is held here
		})
		go reply(0, policy.Answered)
	}, 0, server).start()
	first, second := f.dial(), f.dial()
	first.send(submitCommand(""))
	<-blocked
	reconfigured := make(chan error)
	go func() {
		_, err := f.Reconfigure(reorderedSettings())
		reconfigured <- err
	}()
	fakes.Eventually(t, "Reconfigure waiting for its lock", func() bool {
		if f.settingsMu.TryRLock() {
			f.settingsMu.RUnlock()
			return false
		}
		return true
	})
	second.send(fakes.FormatCommand("SVC.SUBMIT", uniqueID(), "crossing", "c=pay,t=wide,d=14000", ""))
	fakes.Eventually(t, "the second request", func() bool { return f.connections.unansweredCommands() == 2 })
	close(resume)
	if err := <-reconfigured; err != nil {
		t.Fatal(err)
	}
	if line := first.readAnswer(); line != "-ERR failed" {
		t.Errorf("first request: answered %q", line)
	}
	if line := second.readAnswer(); line != "-ERR unknown, no number or out of range: c" {
		t.Errorf("request during Reconfigure: answered %q", line)
	}
}

// Two customers share all pools: buffers, readers, writers, workers and server connections. Each
// client gets the server's answers to its own requests, in order. Meanwhile, other clients
// disconnect in the middle of a command, and servers send surplus answers, which must not be used
// for the next request on the same server connection.
func TestAnswers_neverReachAnotherCustomer(t *testing.T) {
	const clients, rounds = 8, 30
	server := fakes.NewServer(t, func(words []string) string {
		own := strings.Join(slices.Concat(words[1:3], words[4:]), " ")
		if strings.HasSuffix(words[2], "7") {
			return fakes.FormatValue(own, 1) + fakes.FormatValue("of another", 1)
		}
		return fakes.FormatValue(own, 1)
	})
	f := newFixture(t, 8<<20, slices.Repeat([]*fakes.Server{server}, 8)...).start()
	var served atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		c, customer, fill := f.dial(), fmt.Sprintf("%016x", 1+i%2), string(rune('a'+i))
		all.Go(func() {
			for round := range rounds {
				for _, want := range c.sendRound(customer, fill, round) {
					if line := c.readAnswer(); line == want {
						served.Add(1)
					} else if line != "-BUSY" && line != "-ERR failed" {
						t.Errorf("answered %.50q, want %.50q", line, want)
					}
				}
				leaving := f.dial() // disconnects in the middle of a value, with one request in flight
				leaving.send(queryCommand() + submitCommand(longestBody)[:9000])
				_, _ = leaving.SetLinger(0), leaving.Close()
			}
		})
	}
	all.Wait()
	if n := served.Load(); n < clients*rounds*3 {
		t.Errorf("only %d of %d requests were served", n, clients*rounds*4)
	}
}

// sendRound sends one to five submits with values of different sizes, and a query. It returns the
// expected answers.
func (c *testClient) sendRound(customer, fill string, round int) (want []string) {
	for _, size := range []int{1, 4<<10 - 1, 4 << 10, 4<<10 + 1, 20 << 10}[:1+round%5] {
		id, value := uniqueID(), strings.Repeat(fill, size)
		c.send(fakes.FormatCommand("SVC.SUBMIT", customer, id, "c=pay,t=wide,d=14000", value))
		want = append(want, customer+" "+id+" "+value)
	}
	id := uniqueID()
	c.send(fakes.FormatCommand("SVC.QUERY", customer, id, "c=look,t=open,d=14000"))
	return append(want, customer+" "+id)
}
