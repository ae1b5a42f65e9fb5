package main

import (
	"fmt"
	"time"
)

func init() { scenes["pipelined"] = pipelined }

const (
	standstill    = 1900 * time.Millisecond // 1.5 to 2 s
	pipelines     = 8
	largeUnits    = 8
	largeWork     = 2900 * time.Millisecond // of a request of 8 units; the mean is 1.4 s, and the times are spread out
	pipelineLimit = 12 * time.Second
)

// pipelined: on connections that carry the requests of many customers, a large request comes as the gateway
// begins to stand still, and a small one shortly before it goes on. The large one, which waits behind no
// other, has to get its final answer in its time.
func pipelined(w *world) (bool, string, error) {
	large := map[string]bool{}
	work := func(id string) time.Duration {
		if large[id] {
			return largeWork
		}
		return usualWork
	}
	var first, second []*request
	var firstWords, secondWords [][]string
	for range pipelines {
		r, words := newRequest("offer-list", "estudio", shortTry, largeUnits)
		large[r.id] = true
		first, firstWords = append(first, r), append(firstWords, words)
		r, words = newRequest("offer-list", "estudio", shortTry, 1)
		second, secondWords = append(second, r), append(secondWords, words)
	}
	if err := w.build(servers, shopSettings(), wings, work); err != nil {
		return false, "", err
	}
	if err := w.warm(2*time.Second, 6); err != nil {
		return false, "", err
	}
	var connections []*client
	for range pipelines {
		c, err := dial(w.gateway.address, w.rec)
		if err != nil {
			return false, "", err
		}
		defer c.conn.Close()
		r, words := newRequest("offer-list", "estudio", shortTry, 1)
		c.ask(r, words)
		if r.answerAt.IsZero() {
			return false, "", fmt.Errorf("a request before the trouble got no answer")
		}
		connections = append(connections, c)
	}
	continued := make(chan struct{})
	go func() {
		defer close(continued)
		if w.trouble {
			w.gateway.standStill(standstill)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	for i, c := range connections {
		if err := c.send(first[i], firstWords[i], 1, 0); err != nil {
			return false, "", err
		}
	}
	time.Sleep(standstill - 150*time.Millisecond)
	for i, c := range connections {
		if err := c.send(second[i], secondWords[i], 1, 0); err != nil {
			return false, "", err
		}
	}
	<-continued
	lost := 0
	worst := time.Duration(0)
	for i, c := range connections {
		c.await(pipelineLimit)
		r := first[i]
		due := r.sentAt.Add(r.deadline)
		late := r.answerAt.Sub(due)
		if r.answerAt.IsZero() || late > lostAfter+socketSlack {
			lost++
			worst = max(worst, late)
			w.rec.now("broken   %s got its answer %v after its time", r.id, late)
		}
	}
	return lost > 0, fmt.Sprintf("%d of %d requests got their final answer up to %v after their time",
		lost, pipelines, worst.Round(time.Millisecond)), nil
}
