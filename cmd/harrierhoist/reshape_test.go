package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/standin"
)

// moved is the configuration of a deployment of another shape: a lane and a plan gone, one of each new, another order,
// a limit on pushes out in place of a rate, a meter, no time to come back.
func moved(w *world, discovery, counter string) string {
	text := fmt.Sprintf(told, w.addr, discovery, counter, 1024, "null")
	at := strings.Index(text, `"RequestClasses"`)
	text = text[:at] + `"RequestClasses":[
{"Name":"read","AimMs":4000,"DeadlineMs":8000,"Effect":"read_like","Worth":1},
{"Name":"hold","AimMs":5000,"DeadlineMs":9000,"Effect":"idempotency_key","Group":"zone","WindowMs":2500,"Worth":5},
{"Name":"look","AimMs":5000,"DeadlineMs":9000,"Effect":"read_like","Worth":1}],"TiersOfService":[
{"Name":"open","Concurrency":50},{"Name":"wide","UnitsPerS":2000,"PeakUnits":5000}]}}`
	text = strings.Replace(text, `"RetryAfter":true`, `"RetryAfter":false,"SecondCopies":true`, 1)
	return strings.Replace(text, `"Settles":true`, `"Settles":false,"MeterMs":1000`, 1)
}

// tally counts how often each task came to the servers and how often it was answered.
type tally struct {
	mu               sync.Mutex
	pushed, answered map[string]int
}

func (l *tally) count(of map[string]int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of[id]++
}

func TestNewSettingsAreTakenUnderLoadBothWays(t *testing.T) {
	l := &tally{pushed: map[string]int{}, answered: map[string]int{}}
	var late atomic.Int64 // commands at the server that drains, once its grace is over
	var drained atomic.Bool
	serve := func(words []string) string {
		l.count(l.pushed, words[2])
		time.Sleep(2 * time.Millisecond)
		return standin.Value("hello", 2)
	}
	w := begin(t, 1024, serve)
	second := standin.NewServer(t, func(words []string) string {
		if drained.Load() {
			late.Add(1)
		}
		return serve(words)
	})
	both := []string{standin.Host("s-1", w.server.Addr, "in_service"), standin.Host("s-2", second.Addr, "in_service")}
	w.discovery.Tell(true, both...)

	old := fmt.Sprintf(told, w.addr, w.discovery.Addr, w.counter.Addr, 1024, "null")
	there := moved(w, w.discovery.Addr, w.counter.Addr)

	// The load: tasks of lanes that stay and of one that comes and goes. Each is answered once, whatever with.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		c := w.dial()
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				task := id()
				text := standin.Command("SVC.QUERY", fmt.Sprintf("%016x", 100+i), task, "c=look,t=wide,d=4800,units=1")
				if (n+i)%3 == 0 {
					text = standin.Command("SVC.SUBMIT", fmt.Sprintf("%016x", 100+i), task, "c=pay,t=wide,d=4800,units=1", "body")
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
				l.count(l.answered, task)
			}
		}()
	}

	c := w.dial()
	for round := range 3 {
		w.reload(there, "a new configuration")
		c.send(look("c=read,t=open,d=4800,units=1"))
		c.want("hello")
		c.send(pay("body"))
		c.want("-ERR unknown.*: c")
		w.reload(strings.Replace(there, `"Concurrency":50`, `"Concurrency":-1`, 1), "TiersOfService.0.Concurrency must be from 0 to")
		c.send(look("c=read,t=open,d=4800,units=1")) // in force as before
		c.want("hello")
		if round == 1 {
			w.discovery.Tell(false, standin.Host("s-2", second.Addr, "terminating"))
			time.Sleep(1100 * time.Millisecond)
			drained.Store(true)
		}
		w.reload(old, "a new configuration")
		c.send(pay("body"))
		c.want("hello")
		c.send(look("c=read,t=open,d=4800,units=1"))
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
		if n != 1 || l.pushed[task] > 1 {
			t.Errorf("task %s: answered %d times, pushed %d times", task, n, l.pushed[task])
		}
	}
	for task := range l.pushed {
		if l.pushed[task] != 1 {
			t.Errorf("task %s pushed %d times", task, l.pushed[task])
		}
	}
}

// What only a restart can change is named, and the rest of the file is taken.
func TestWhatTakesARestartIsNamedAndTheRestTaken(t *testing.T) {
	w := begin(t, 1024, hello)
	config := strings.Replace(moved(w, w.discovery.Addr, w.counter.Addr), "8c1f30d27a5be964", "8c1f30d27a5be965", 1)
	config = strings.Replace(config, `"Dcs":["hall-a"]`, `"Dcs":["hall-a","hall-b"]`, 1)
	w.reload(config, "a new configuration")
	if !strings.Contains(w.log.String(), `"keys":["seed","settings.Dcs"]`) {
		t.Errorf("not named: %s", w.log)
	}
	c := w.dial()
	c.send(look("c=read,t=open,d=4800,units=1"))
	c.want("hello")
}

// A gateway that was started without a counter gets one with the new settings.
func TestACounterComesWithNewSettings(t *testing.T) {
	w := begin(t, 1024, hello)
	without := strings.Replace(fmt.Sprintf(told, w.addr, w.discovery.Addr, "", 1024, "null"), `"HasCounter":true`, `"HasCounter":false`, 1)
	for _, config := range []string{without, fmt.Sprintf(told, w.addr, w.discovery.Addr, w.counter.Addr, 1024, "null")} {
		w.reload(config, "a new configuration")
		c := w.dial()
		c.send(look("c=look,t=wide,d=4800,units=1"))
		c.want("hello")
		if config == without && len(w.counter.Calls) > 0 {
			t.Error("a counter that the settings do not have was called")
		}
	}
	w.counter.Call(t)
}
