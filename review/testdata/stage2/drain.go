package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenes["drain"] = drain }

const (
	drainGrace   = time.Second
	drainServers = 19                      // 14 to 19 servers
	drainRounds  = 6                       // each drains two of them: the fleet shrinks to 37%
	drainClients = 240                     // as many as send in 1.7 s, at 140 requests a second
	drainEvery   = 3400 * time.Millisecond // gateways stand still every 2 to 3.4 s
)

// drain: two servers after two others begin to drain, each time while the gateway stands still. No command may begin
// at one of them later than the grace after the agent wrote the change to the gateway.
func drain(w *world) (bool, string, error) {
	if err := w.build(drainServers, shopSettings(), wings, usual); err != nil {
		return false, "", err
	}
	if err := w.warm(3*time.Second, 8); err != nil {
		return false, "", err
	}
	var connections []*client
	for range drainClients {
		c, err := dial(w.gateway.address, w.rec)
		if err != nil {
			return false, "", err
		}
		defer c.conn.Close()
		connections = append(connections, c)
	}
	if err := w.askAll(connections, 0); err != nil {
		return false, "", err
	}
	for round := range drainRounds {
		next := time.Now().Add(drainEvery)
		var continued sync.WaitGroup
		if w.trouble {
			continued.Go(func() { w.gateway.standStill(standstill) })
		}
		time.Sleep(50 * time.Millisecond)
		w.agent.drain(w.servers[round*2].name, w.servers[round*2+1].name)
		// The clients send while the gateway stands still, each a request.
		err := w.askAll(connections, 1700*time.Millisecond)
		continued.Wait()
		if err != nil {
			return false, "", err
		}
		time.Sleep(time.Until(next))
	}
	broken := 0
	worst := time.Duration(0)
	for _, s := range w.servers {
		told, known := w.agent.toldAt(s.name)
		if !known {
			continue
		}
		for _, b := range s.commands() {
			if after := b.at.Sub(told); after > drainGrace+socketSlack {
				broken++
				worst = max(worst, after)
				w.rec.now("broken   %s came to %s %v after its drain was told", b.id, s.name, after)
			}
		}
	}
	return broken > 0, fmt.Sprintf("%d commands came to draining servers, up to %v after their drain was told",
		broken, worst.Round(time.Millisecond)), nil
}

// askAll sends a request on each connection, spread over a time, and waits for the answers.
func (w *world) askAll(connections []*client, span time.Duration) error {
	for _, c := range connections {
		time.Sleep(span / time.Duration(len(connections)))
		r, words := newRequest("offer-list", "estudio", shortTry, 1)
		if err := c.send(r, words, 1, 0); err != nil {
			return err
		}
	}
	for _, c := range connections {
		c.await(8 * time.Second)
	}
	return nil
}
