// Command stage2 (bin/review-stage2) plays the cases 6 to 10 of the review: it starts a gateway with the command of the deploy
// file, and stand-ins of servers, discovery, the counter and clients on loopback addresses.
//
// It is started from the root of the repository: stage2 CASE RECORD. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// longestRun is how long a case may run.
const longestRun = 115 * time.Second

// world is what a case runs in.
type world struct {
	rec        *record
	folder     string // for the configuration and the log; removed at the end
	trouble    bool
	servers    []*server
	agent      *agent
	counter    *counter
	gateway    *gateway
	submitBody string // the usual clients submit this; "": they query
	mayEnd     bool   // the gateway was told to end
}

// scene is a case. It returns whether the rule was broken, and what was seen.
type scene func(w *world) (broken bool, seen string, err error)

var scenes = map[string]scene{}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		os.Exit(2)
	}
	// The gateway ends with the thread that started it, if this process is killed.
	runtime.LockOSThread()
	os.Exit(play(scenes[os.Args[1]], os.Args[2]))
}

func play(s scene, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{rec: rec, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	end := sync.OnceFunc(func() {
		if w.gateway != nil {
			w.gateway.kill()
		}
		rec.close()
		_ = os.RemoveAll(folder)
	})
	defer end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		end()
		os.Exit(2)
	}()
	broken, seen, err := s(w)
	if err == nil && !w.mayEnd && !w.gateway.isRunning() {
		err = fmt.Errorf("the gateway has ended")
	}
	switch {
	case err != nil:
		rec.now("verdict  could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.now("verdict  broken: %s", seen)
		fmt.Println("broken:", seen)
		return 1
	default:
		rec.now("verdict  held: %s", seen)
		fmt.Println("held:", seen)
		return 0
	}
}

// build starts the servers, the agent, the counter and a gateway with the given settings.
func (w *world) build(count int, settings object, sites []string, workFor func(id string) time.Duration) error {
	for i := range count {
		s, err := startServer(fmt.Sprintf("s-%08x", 0x5be2a000+i*77), sites[i%len(sites)], i/4, w.rec, workFor)
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	var err error
	if w.agent, err = startAgent(w.rec, w.servers); err != nil {
		return err
	}
	if w.counter, err = startCounter(); err != nil {
		return err
	}
	w.gateway, err = startGateway(w.folder, "n0", w.agent.listener.Addr().String(), w.counter.listener.Addr().String(),
		settings, w.rec)
	return err
}

// warm has clients send requests one after another for a time, so that the gateway knows its servers.
func (w *world) warm(span time.Duration, clients int) error {
	done := make(chan error, clients)
	for range clients {
		go func() {
			c, err := dial(w.gateway.address, w.rec)
			if err != nil {
				done <- err
				return
			}
			defer c.conn.Close()
			for end := time.Now().Add(span); time.Now().Before(end); {
				r, words := newRequest("offer-list", "estudio", shortTry, 1)
				if w.submitBody != "" {
					words[0] = "SVC.SUBMIT"
					words = append(words, w.submitBody)
				}
				c.ask(r, words)
				if r.answerAt.IsZero() {
					done <- fmt.Errorf("a request before the trouble got no answer: %w", r.ended)
					return
				}
			}
			done <- nil
		}()
	}
	for range clients {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}
