package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { scenes["copies"] = copies }

const (
	pauseSpan   = 31 * time.Second // servers stand still now and then for 15 to 32 s
	pauseSpans  = 2                // a day has two troubles or three
	calmSpan    = 4 * time.Second  // between them
	pausing     = 6                // of 14 servers: up to 48% do
	copyClients = 90               // with a request each and a short pause: about 450 requests a second
)

// copies: some answers are followed by a second copy some milliseconds later, and some servers stand still
// now and then, at times of their own. Every answer has to be the one of its request.
func copies(w *world) (bool, string, error) {
	random := rand.New(rand.NewPCG(6, 6))
	if err := w.build(servers, shopSettings(), wings, usual); err != nil {
		return false, "", err
	}
	if err := w.warm(2*time.Second, 6); err != nil {
		return false, "", err
	}
	end := time.Now().Add(pauseSpans*(pauseSpan+calmSpan) - calmSpan)
	if w.trouble {
		for i, s := range w.servers {
			s.copies.Store(true)
			if i < pausing {
				go s.pauseNowAndThen(rand.New(rand.NewPCG(6, random.Uint64())))
			}
		}
	}
	var mu sync.Mutex
	foreign, answered := 0, 0
	var all sync.WaitGroup
	for i := range copyClients {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			c, err := dial(w.gateway.address, w.rec)
			if err != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			for time.Now().Before(end) {
				r, words := newRequest("offer-list", "estudio", shortTry, 1)
				c.ask(r, words)
				if r.answerAt.IsZero() {
					_ = c.conn.Close()
					if c, err = dial(w.gateway.address, w.rec); err != nil {
						return
					}
					continue
				}
				mu.Lock()
				if strings.HasPrefix(r.answer, "+") {
					answered++
					if r.answer != "+value of "+r.id {
						foreign++
						w.rec.now("broken   %s was answered %q", r.id, r.answer)
					}
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	all.Wait()
	if answered < 500 {
		return false, "", fmt.Errorf("only %d requests were served", answered)
	}
	return foreign > 0, fmt.Sprintf("%d of %d served requests got the answer of another request", foreign, answered), nil
}
