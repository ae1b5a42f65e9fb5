package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenes["pieces"] = pieces }

const (
	stallSpan    = 30 * time.Second // gateways stand still now and then for 16 to 39 s
	pieceClients = 16
	pieceCount   = 3
	piecePause   = 200 * time.Millisecond // between two pieces: a request is written within 0.4 s
	readTime     = 50 * time.Millisecond  // the gateway has surely read a piece after this
)

// pieces: some clients write their requests in pieces, and the gateway stands still now and then. A request
// counts if it is not the first on its connection, if the gateway had its first piece well before it began to
// stand still, and if its last byte was written. Each of these has to get an answer.
func pieces(w *world) (bool, string, error) {
	random := rand.New(rand.NewPCG(7, 7))
	if err := w.build(servers, shopSettings(), wings, usual); err != nil {
		return false, "", err
	}
	if err := w.warm(2*time.Second, 6); err != nil {
		return false, "", err
	}
	end := time.Now().Add(stallSpan)
	var all sync.WaitGroup
	if w.trouble {
		all.Add(1)
		go func() {
			defer all.Done()
			w.gateway.standStillNowAndThen(random, end)
		}()
	}
	result := &pieceResult{world: w}
	for i := range pieceClients {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 53 * time.Millisecond)
			for time.Now().Before(end) {
				c, err := dial(w.gateway.address, w.rec)
				if err != nil {
					return
				}
				result.converse(c, end)
				_ = c.conn.Close()
			}
		}()
	}
	all.Wait()
	if result.written < 50 {
		return false, "", fmt.Errorf("only %d requests were written", result.written)
	}
	return result.lost > 0, fmt.Sprintf("%d of %d requests that were written whole got no answer", result.lost, result.written), nil
}

// pieceResult counts the requests that were written whole, and those of them that were lost.
type pieceResult struct {
	*world
	mu            sync.Mutex
	written, lost int
}

// converse sends a request at once and then others in pieces, until one gets no answer or the end.
func (p *pieceResult) converse(c *client, end time.Time) {
	r, words := newRequest("offer-list", "estudio", longTry, 1)
	c.ask(r, words)
	for !r.answerAt.IsZero() && time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		r, words = newRequest("offer-list", "estudio", longTry, 1)
		if c.send(r, words, pieceCount, piecePause) != nil {
			return
		}
		c.await(r.deadline + lostAfter + socketSlack)
		p.mu.Lock()
		p.written++
		if r.answerAt.IsZero() && p.gateway.stoodStillBetween(r.firstAt.Add(readTime), r.sentAt) {
			p.lost++
			p.rec.now("broken   %s was written whole and got no answer: %v", r.id, r.ended)
		}
		p.mu.Unlock()
	}
}
