package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { scenes["shutdown"] = shutdown }

const (
	shortDeadline   = 200 * time.Millisecond // of the only lane: deadlines are short
	shortWork       = 30 * time.Millisecond
	shutdownClients = 12
	shutdownSend    = 460 * time.Millisecond               // after SIGTERM the clients send many commands at once
	shutdownBatch   = 200                                  // hundreds
	killAfter       = shortDeadline + 700*time.Millisecond // SIGKILL comes no sooner
	crossing        = 100 * time.Millisecond               // a close so shortly after a request may have crossed it
	shutdownSettle  = 5 * time.Second                      // time for all answers without the disruption
)

// shutdown: the gateway is told to end, and each client sends many commands at once on the connection that it
// has, well before SIGKILL may come. A request that came whole is lost if the gateway then ends the connection
// itself with no answer to it.
func shutdown(w *world) (bool, string, error) {
	settings := shopSettings()
	class := settings["RequestClasses"].([]object)[0]
	class["AimMs"] = 150.0
	class["DeadlineMs"] = float64(shortDeadline.Milliseconds())
	if err := w.build(servers, settings, wings, func(string) time.Duration { return shortWork }); err != nil {
		return false, "", err
	}
	var connections []*client
	for range shutdownClients {
		c, err := dial(w.gateway.address, w.rec)
		if err != nil {
			return false, "", err
		}
		defer c.conn.Close()
		connections = append(connections, c)
	}
	time.Sleep(time.Second) // no signal comes in the first second
	termAt := time.Now()
	hang := time.AfterFunc(shutdownSend-20*time.Millisecond, func() {
		for i, s := range w.servers {
			s.hangs.Store(i%2 == 0) // a quarter to a half of the servers hang just then
		}
	})
	defer hang.Stop()
	if w.trouble {
		w.rec.now("SIGTERM  gateway")
		w.mayEnd = true
		w.gateway.signal(syscall.SIGTERM)
	}
	batches := make([][]*request, shutdownClients)
	var all sync.WaitGroup
	for i, c := range connections {
		all.Go(func() { batches[i] = w.useUntil(c, termAt.Add(shutdownSend)) })
	}
	killAt := termAt.Add(shutdownSettle)
	if w.trouble {
		killAt = termAt.Add(killAfter)
	}
	select {
	case <-w.gateway.done:
		w.rec.now("ended    the gateway by itself")
	case <-time.After(time.Until(killAt)):
		w.rec.now("SIGKILL  may come now")
	}
	killAt = time.Now()
	if w.trouble {
		w.gateway.kill()
	}
	all.Wait()
	lost, sent := 0, 0
	for _, r := range slices.Concat(batches...) {
		sent++
		waited := r.endedAt.Sub(r.sentAt)
		if r.answerAt.IsZero() && r.endedAt.Before(killAt) && waited > crossing {
			lost++
			w.rec.now("broken   %s, sent %v after SIGTERM: the gateway ended its connection %v later with no answer",
				r.id, r.sentAt.Sub(termAt).Round(time.Millisecond), waited.Round(time.Millisecond))
		}
	}
	if sent < shutdownClients*shutdownBatch/2 {
		return false, "", fmt.Errorf("only %d requests were sent", sent)
	}
	return lost > 0, fmt.Sprintf("%d of %d requests got no answer before the gateway ended their connection", lost, sent), nil
}

// useUntil sends a request now and then until a time, and then many at once, which it returns.
func (w *world) useUntil(c *client, end time.Time) []*request {
	for time.Until(end) > 60*time.Millisecond {
		r, words := newRequest("offer-list", "estudio", shortDeadline, 1)
		c.ask(r, words)
		if r.answerAt.IsZero() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	var text []byte
	var batch []*request
	for range shutdownBatch {
		r, words := newRequest("offer-list", "estudio", shortDeadline, 1)
		batch = append(batch, r)
		text = append(text, encode(words...)...)
	}
	if _, err := c.conn.Write(text); err != nil {
		return nil
	}
	at := time.Now()
	for _, r := range batch {
		r.sentAt = at
		w.rec.at(at, "sent     %s, d=%d", r.id, r.deadline.Milliseconds())
		c.expect(r)
	}
	c.await(shutdownSettle)
	return batch
}
