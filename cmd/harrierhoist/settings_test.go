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

// reshapedConfiguration is the configuration of a deployment of another shape: a lane and a plan gone, one of each new, another order,
// a limit on pushes out in place of a rate, a meter, no time to come back.
func reshapedConfiguration(gateway *gatewayUnderTest, discovery, counter string) string {
	text := fmt.Sprintf(configurationTemplate, gateway.addr, discovery, counter, 1024, "null")
	at := strings.Index(text, `"RequestClasses"`)
	text = text[:at] + `"RequestClasses":[
{"Name":"read","AimMs":4000,"DeadlineMs":8000,"Effect":"read_like","Worth":1},
{"Name":"hold","AimMs":5000,"DeadlineMs":9000,"Effect":"idempotency_key","Group":"zone","WindowMs":2500,"Worth":5},
{"Name":"look","AimMs":5000,"DeadlineMs":9000,"Effect":"read_like","Worth":1}],"TiersOfService":[
{"Name":"open","Concurrency":50},{"Name":"wide","UnitsPerS":2000,"PeakUnits":5000}]}}`
	text = strings.Replace(text, `"RetryAfter":true`, `"RetryAfter":false,"SecondCopies":true`, 1)
	return strings.Replace(text, `"Settles":true`, `"Settles":false,"MeterMs":1000`, 1)
}

// requestCounts counts how often each task came to the servers and how often it was answered.
type requestCounts struct {
	mu                 sync.Mutex
	attempts, answered map[string]int
}

func (l *requestCounts) add(of map[string]int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of[id]++
}

func TestReload_settingsChangeUnderLoadBothWays(t *testing.T) {
	l := &requestCounts{attempts: map[string]int{}, answered: map[string]int{}}
	var late atomic.Int64 // commands at the server that drains, once its grace is over
	var drained atomic.Bool
	serve := func(words []string) string {
		l.add(l.attempts, words[2])
		time.Sleep(2 * time.Millisecond)
		return fakes.FormatValue("hello", 2)
	}
	gateway := startGateway(t, 1024, serve)
	second := fakes.NewServer(t, func(words []string) string {
		if drained.Load() {
			late.Add(1)
		}
		return serve(words)
	})
	both := []string{fakes.FormatHost("s-1", gateway.server.Addr, "in_service"), fakes.FormatHost("s-2", second.Addr, "in_service")}
	gateway.discovery.Publish(true, both...)

	old := fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, 1024, "null")
	there := reshapedConfiguration(gateway, gateway.discovery.Addr, gateway.counter.Addr)

	// The load: tasks of lanes that stay and of one that comes and goes. Each is answered once, whatever with.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		c := gateway.connect()
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				task := nextRequestID()
				text := fakes.FormatCommand("SVC.QUERY", fmt.Sprintf("%016x", 100+i), task, "c=look,t=wide,d=4800,units=1")
				if (n+i)%3 == 0 {
					text = fakes.FormatCommand("SVC.SUBMIT", fmt.Sprintf("%016x", 100+i), task, "c=pay,t=wide,d=4800,units=1", "body")
				}
				if _, err := c.Write([]byte(text)); err != nil {
					t.Error(err)
					return
				}
				line, err := c.in.ReadString('\n')
				if strings.HasPrefix(line, "$") {
					_, err = c.in.ReadString('\n')
				} else if !strings.HasPrefix(line, "-BUSY") && !strings.HasPrefix(line, "-ERR unknown, no number or out of range: c") {
					t.Errorf("answered %q", line)
				}
				if err != nil {
					t.Error(err)
					return
				}
				l.add(l.answered, task)
			}
		}()
	}

	c := gateway.connect()
	for round := range 3 {
		gateway.reload(there, "gateway: configuration reloaded")
		c.send(queryCommand("c=read,t=open,d=4800,units=1"))
		c.want("hello")
		c.send(submitCommand("body"))
		c.want("-ERR unknown.*: c")
		gateway.reload(strings.Replace(there, `"Concurrency":50`, `"Concurrency":-1`, 1), "TiersOfService.0.Concurrency must be from 0 to")
		c.send(queryCommand("c=read,t=open,d=4800,units=1")) // in force as before
		c.want("hello")
		if round == 1 {
			gateway.discovery.Publish(false, fakes.FormatHost("s-2", second.Addr, "terminating"))
			time.Sleep(1100 * time.Millisecond)
			drained.Store(true)
		}
		gateway.reload(old, "gateway: configuration reloaded")
		c.send(submitCommand("body"))
		c.want("hello")
		c.send(queryCommand("c=read,t=open,d=4800,units=1"))
		c.want("-ERR unknown.*")
	}
	close(stop)
	clients.Wait()

	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.answered) < 100 || late.Load() > 0 {
		t.Errorf("%d tasks answered, %d pushed to a server that drains", len(l.answered), late.Load())
	}
	for task, n := range l.answered {
		if n != 1 || l.attempts[task] > 1 {
			t.Errorf("task %s: answered %d times, pushed %d times", task, n, l.attempts[task])
		}
	}
	for task := range l.attempts {
		if l.attempts[task] != 1 {
			t.Errorf("task %s pushed %d times", task, l.attempts[task])
		}
	}
}

// What only a restart can change is named, and the rest of the file is taken.
func TestReload_namesWhatNeedsARestartAndAppliesTheRest(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	config := strings.Replace(reshapedConfiguration(gateway, gateway.discovery.Addr, gateway.counter.Addr), "8c1f30d27a5be964", "8c1f30d27a5be965", 1)
	config = strings.Replace(config, `"Dcs":["hall-a"]`, `"Dcs":["hall-a","hall-b"]`, 1)
	gateway.reload(config, "gateway: configuration reloaded")
	if !strings.Contains(gateway.log.String(), `"keys":["seed","settings.Dcs"]`) {
		t.Errorf("not named: %s", gateway.log)
	}
	c := gateway.connect()
	c.send(queryCommand("c=read,t=open,d=4800,units=1"))
	c.want("hello")
}

// A gateway that was started without a counter gets one with the new settings.
func TestReload_addsACounter(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	without := strings.Replace(fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, "", 1024, "null"), `"HasCounter":true`, `"HasCounter":false`, 1)
	for _, config := range []string{without, fmt.Sprintf(configurationTemplate, gateway.addr, gateway.discovery.Addr, gateway.counter.Addr, 1024, "null")} {
		gateway.reload(config, "gateway: configuration reloaded")
		c := gateway.connect()
		c.send(queryCommand("c=look,t=wide,d=4800,units=1"))
		c.want("hello")
		if config == without && len(gateway.counter.Calls) > 0 {
			t.Error("a counter that the settings do not have was called")
		}
	}
	gateway.counter.NextCall(t)
}
