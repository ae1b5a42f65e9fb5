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

// reorderedSettings has the lanes and plans of site in another order, one of each gone and one new, and a lane that keeps its
// name and gets another effect.
func reorderedSettings() policy.Settings {
	given := testSettings()
	given.Classes = []policy.TrafficClass{given.Classes[1], {Name: "new", LatencyObjective: time.Second, Timeout: time.Second}}
	given.Classes[0].Effect = policy.Idempotent
	given.Plans = []policy.Plan{{Name: "new", Rate: 1, Burst: 1}, given.Plans[0]}
	return given
}

// A task that comes while new settings are taken is read and admitted by the same ones: pay, which is not to be
// repeated, becomes a lane whose tasks are, and no task that was sent as the one is admitted as the other.
func TestReconfigure_requestIsAdmittedByTheSettingsItWasParsedBy(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return fakes.CloseConn })
	var once sync.Once
	blocked, goOn := make(chan struct{}), make(chan struct{})
	s := newFixtureWith(t, testSettings(), func(told countCallback) {
		once.Do(func() {
			close(blocked)
			<-goOn // the gate's lock is held: whatever comes waits for it
		})
		go told(0, policy.Answered)
	}, 0, server).start()
	first, crossing := s.dial(), s.dial()
	first.send(submitCommand(""))
	<-blocked
	taken := make(chan error)
	go func() {
		_, err := s.Reconfigure(reorderedSettings())
		taken <- err
	}()
	fakes.Eventually(t, "new settings on their way", func() bool {
		if s.settingsLock.TryRLock() {
			s.settingsLock.RUnlock()
			return false
		}
		return true
	})
	crossing.send(fakes.FormatCommand("SVC.SUBMIT", uniqueID(), "crossing", "c=pay,t=wide,d=14000", ""))
	fakes.Eventually(t, "the crossing task", func() bool { return s.inHand() == 2 })
	close(goOn)
	if err := <-taken; err != nil {
		t.Fatal(err)
	}
	if line := first.readAnswer(); line != "-ERR failed" {
		t.Errorf("the first: answered %q", line)
	}
	if line := crossing.readAnswer(); line != "-ERR unknown, no number or out of range: c" {
		t.Errorf("the crossing one: answered %q", line)
	}
}

// Two customers cross on every pool: buffers, readers, writers, carriers, connections to servers. Each gets what a server
// made of its own request, in its order, while clients beside them break off in the middle, and servers send an answer
// more than they owe, which the next request on that connection would take for its own.
func TestAnswers_neverReachAnotherCustomer(t *testing.T) {
	const clients, rounds = 8, 30
	server := fakes.NewServer(t, func(words []string) string {
		own := strings.Join(slices.Concat(words[1:3], words[4:]), " ")
		if strings.HasSuffix(words[2], "7") {
			return fakes.FormatValue(own, 1) + fakes.FormatValue("of another", 1)
		}
		return fakes.FormatValue(own, 1)
	})
	s := newFixture(t, 8<<20, slices.Repeat([]*fakes.Server{server}, 8)...).start()
	var good atomic.Int64
	var all sync.WaitGroup
	for i := range clients {
		c, customer, fill := s.dial(), fmt.Sprintf("%016x", 1+i%2), string(rune('a'+i))
		all.Go(func() {
			for round := range rounds {
				var want []string
				for _, size := range []int{1, 4<<10 - 1, 4 << 10, 4<<10 + 1, 20 << 10}[:1+round%5] { // one behind another
					id, value := uniqueID(), strings.Repeat(fill, size)
					c.send(fakes.FormatCommand("SVC.SUBMIT", customer, id, "c=pay,t=wide,d=14000", value))
					want = append(want, customer+" "+id+" "+value)
				}
				id := uniqueID()
				c.send(fakes.FormatCommand("SVC.QUERY", customer, id, "c=look,t=open,d=14000"))
				for _, own := range append(want, customer+" "+id) {
					if line := c.readAnswer(); line == own {
						good.Add(1)
					} else if line != "-BUSY" && line != "-ERR failed" {
						t.Errorf("%.50q in place of %.50q", line, own)
					}
				}
				leaves := s.dial() // in the middle of a value, with one out
				leaves.send(queryCommand() + submitCommand(longestBody)[:9000])
				_, _ = leaves.SetLinger(0), leaves.Close()
			}
		})
	}
	all.Wait()
	if n := good.Load(); n < clients*rounds*3 {
		t.Errorf("only %d of %d answered with a value", n, clients*rounds*4)
	}
}
