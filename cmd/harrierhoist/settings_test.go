package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// reshapedConfiguration has settings of another shape: a traffic class and a plan gone, a new one
// of each, another order, a limit on attempts in flight in place of a rate, a usage meter, no
// Retry-After.
func reshapedConfiguration(gateway *gatewayUnderTest) string {
	text, _, _ := strings.Cut(gateway.configuration(), `"RequestClasses"`)
	text += `"RequestClasses":[
{"Name":"read","AimMs":4000,"DeadlineMs":8000,"Effect":"read_like","Worth":1},
{"Name":"hold","AimMs":5000,"DeadlineMs":9000,"Effect":"idempotency_key","Group":"zone","WindowMs":2500,"Worth":5},
{"Name":"look","AimMs":5000,"DeadlineMs":9000,"Effect":"read_like","Worth":1}],"TiersOfService":[
{"Name":"open","Concurrency":50},{"Name":"wide","UnitsPerS":2000,"PeakUnits":5000}]}}`
	text = strings.Replace(text, `"RetryAfter":true`, `"RetryAfter":false,"SecondCopies":true`, 1)
	return strings.Replace(text, `"Settles":true`, `"Settles":false,"MeterMs":1000`, 1)
}

// requestCounts counts how often each request came to the servers and how often it was answered.
type requestCounts struct {
	mu                 sync.Mutex
	attempts, answered map[string]int
}

func (c *requestCounts) add(counts map[string]int, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts[id]++
}

// sendRequests sends requests of one customer, of a traffic class that stays and of one that comes
// and goes, until it is stopped. Each is answered once, whatever with.
func (c *requestCounts) sendRequests(client *client, customer int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id, customerID := nextRequestID(), fmt.Sprintf("%016x", 100+customer)
		text := fakes.FormatCommand("SVC.QUERY", customerID, id, "c=look,t=wide,d=4800,units=1")
		if (n+customer)%3 == 0 {
			text = fakes.FormatCommand("SVC.SUBMIT", customerID, id, "c=pay,t=wide,d=4800,units=1", "body")
		}
		_, err := client.Write([]byte(text))
		answer := ""
		if err == nil {
			answer, err = client.readAnswer()
		}
		if err != nil {
			client.Error(err)
			return
		}
		if answer != "hello" && !strings.HasPrefix(answer, "-BUSY") &&
			!strings.HasPrefix(answer, "-ERR unknown, no number or out of range: c") {
			client.Errorf("answered %q", answer)
		}
		c.add(c.answered, id)
	}
}

// check wants each request answered once, and attempted once at the most; one that is answered need
// not have been attempted.
func (c *requestCounts) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answered) < 100 {
		t.Errorf("%d requests answered", len(c.answered))
	}
	for id, n := range c.answered {
		if n != 1 || c.attempts[id] > 1 {
			t.Errorf("request %s: answered %d times, %d attempts", id, n, c.attempts[id])
		}
	}
	for id, n := range c.attempts {
		if n != 1 {
			t.Errorf("request %s: %d attempts", id, n)
		}
	}
}

func TestReload_settingsChangeUnderLoadBothWays(t *testing.T) {
	counts := &requestCounts{attempts: map[string]int{}, answered: map[string]int{}}
	serve := func(words []string) string {
		counts.add(counts.attempts, words[2])
		time.Sleep(2 * time.Millisecond)
		return fakes.FormatValue("hello", 2)
	}
	gateway := startGateway(t, 1024, serve)
	var late atomic.Int64 // commands at the draining server, after its grace period
	var drained atomic.Bool
	second := fakes.NewServer(t, func(words []string) string {
		if drained.Load() {
			late.Add(1)
		}
		return serve(words)
	})
	gateway.discovery.Publish(true, gateway.host(), fakes.FormatHost("s-2", second.Addr, "in_service"))

	stop := make(chan struct{})
	var senders sync.WaitGroup
	for customer := range 6 {
		client := gateway.connect()
		senders.Go(func() { counts.sendRequests(client, customer, stop) })
	}
	original, reshaped := gateway.configuration(), reshapedConfiguration(gateway)
	client := gateway.connect()
	for round := range 3 {
		gateway.reload(reshaped, reloadLine)
		client.query("c=read,t=open,d=4800,units=1", "hello")
		client.send(submitCommand("body"))
		client.want("-ERR unknown.*: c")
		gateway.reload(strings.Replace(reshaped, `"Concurrency":50`, `"Concurrency":-1`, 1),
			"TiersOfService.0.Concurrency must be from 0 to")
		client.query("c=read,t=open,d=4800,units=1", "hello") // in force as before
		if round == 1 {
			gateway.discovery.Publish(false, fakes.FormatHost("s-2", second.Addr, "terminating"))
			time.Sleep(1100 * time.Millisecond) // the grace period, and some more
			drained.Store(true)
		}
		gateway.reload(original, reloadLine)
		client.send(submitCommand("body"))
		client.want("hello")
		client.query("c=read,t=open,d=4800,units=1", "-ERR unknown.*")
	}
	close(stop)
	senders.Wait()
	counts.check(t)
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests at a draining server", n)
	}
}

// What only a restart can change is named, and the rest of the file is applied.
func TestReload_namesWhatNeedsARestartAndAppliesTheRest(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	gateway.reload(strings.NewReplacer("8c1f30d27a5be964", "8c1f30d27a5be965", `"Dcs":["hall-a"]`,
		`"Dcs":["hall-a","hall-b"]`).
		Replace(reshapedConfiguration(gateway)), reloadLine)
	if !strings.Contains(gateway.log.String(), `"keys":["seed","settings.Dcs"]`) {
		t.Errorf("not named: %s", gateway.log)
	}
	gateway.connect().query("c=read,t=open,d=4800,units=1", "hello")
}

// A gateway that was started without a counter gets one with new settings.
func TestReload_addsACounter(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	without := strings.Replace(configuration(gateway.addr, gateway.discovery.Addr, "", "null"), `"HasCounter":true`,
		`"HasCounter":false`, 1)
	gateway.reload(without, reloadLine)
	gateway.connect().query("c=look,t=wide,d=4800,units=1", "hello")
	if len(gateway.counter.Calls) > 0 {
		t.Error("a counter that the settings do not have was called")
	}
	gateway.reload(gateway.configuration(), reloadLine)
	gateway.connect().query("c=look,t=wide,d=4800,units=1", "hello")
	gateway.counter.NextCall(t)
}
