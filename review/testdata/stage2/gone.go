package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenes["gone"] = gone }

const (
	goneClients  = 10
	goneCommands = 300                   // hundreds of commands at once
	goneBody     = 24 << 10              // a value holds 64 KiB at most
	goneAfter    = 50 * time.Millisecond // time for which a client writes before it goes
	goneGrace    = 100 * time.Millisecond
)

// gone: some clients send many long requests at once and go. No attempt of theirs may begin later than 0.1 s
// after that.
func gone(w *world) (bool, string, error) {
	settings := shopSettings()
	settings["RequestClasses"].([]object)[0]["Effect"] = "non_idempotent"
	if err := w.build(servers, settings, wings, usual); err != nil {
		return false, "", err
	}
	body := strings.Repeat("x", goneBody)
	w.submitBody = "offer"
	if err := w.warm(3*time.Second, 12); err != nil {
		return false, "", err
	}
	closedAt := map[string]time.Time{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for range goneClients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := dial(w.gateway.address, w.rec)
			if err != nil {
				return
			}
			var text []byte
			ids := make([]string, 0, goneCommands)
			for range goneCommands {
				r, words := newRequest("offer-list", "estudio", longTry, 1)
				words[0] = "SVC.SUBMIT"
				ids = append(ids, r.id)
				text = append(text, encode(append(words, body)...)...)
			}
			_ = c.conn.SetWriteDeadline(time.Now().Add(goneAfter))
			n, _ := c.conn.Write(text)
			at := time.Now()
			if w.trouble {
				_ = c.conn.Close()
			} else {
				c.drainAnswers(6 * time.Second) // it stays, and closes at the end
				at = time.Now()
			}
			w.rec.at(at, "closed   by its client after %d bytes of %d commands", n, goneCommands)
			mu.Lock()
			for _, id := range ids {
				closedAt[id] = at
			}
			mu.Unlock()
		}()
	}
	all.Wait()
	time.Sleep(4 * time.Second)
	broken := 0
	worst := time.Duration(0)
	for _, s := range w.servers {
		for _, b := range s.commands() {
			at, known := closedAt[b.id]
			if after := b.at.Sub(at); known && after > goneGrace+socketSlack {
				broken++
				worst = max(worst, after)
				w.rec.now("broken   %s came to %s %v after its client was gone", b.id, s.name, after)
			}
		}
	}
	return broken > 0, fmt.Sprintf("%d commands came to servers up to %v after their client was gone",
		broken, worst.Round(time.Millisecond)), nil
}
