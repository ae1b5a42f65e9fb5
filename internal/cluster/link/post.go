package link

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Limits of what waits for another voter.
const (
	queueMost   = 512                      // messages: a second's worth at a busy leader
	queueBytes  = 32 << 20                 // bytes: half of what one body may hold
	batchMost   = 64                       // messages in one body
	lanes       = 2                        // calls at a time to one voter: one that gets no answer holds up no others
	postWithin  = 500 * time.Millisecond   // a message older than an election is of no use
	postPerByte = time.Second / (16 << 20) // and a snapshot's bytes take their time
	pauseAfter  = 20 * time.Millisecond    // a voter that is down is not called without end
)

// Postbox sends voters' messages to each other: it never waits, keeps a bounded queue for each voter and drops what
// does not fit, as what matters is sent anew. It owns its goroutines.
type Postbox struct {
	client *Client
	ctx    context.Context
	end    context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	queues map[uint64]*queue
}

type queue struct {
	mu      sync.Mutex
	address string
	waiting [][]byte
	bytes   int
	news    chan struct{} // has a token while something waits
	end     context.CancelFunc
	dropped uint64
}

// NewPostbox makes one that sends as far as links may go.
func NewPostbox(plain Plain) *Postbox {
	ctx, end := context.WithCancel(context.Background())
	return &Postbox{client: NewClient(plain, lanes), ctx: ctx, end: end, queues: map[uint64]*queue{}}
}

// Send has a message sent to the voter of a number at an address, or dropped. The message is the postbox's from then
// on.
func (p *Postbox) Send(number uint64, address string, message []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	q := p.queues[number]
	if q == nil {
		ctx, end := context.WithCancel(p.ctx)
		q = &queue{news: make(chan struct{}, 1), end: end}
		p.queues[number] = q
		for range lanes {
			p.done.Go(func() { p.run(ctx, number, q) })
		}
	}
	q.put(address, message)
}

// Forget drops what waits for a voter that is none any more.
func (p *Postbox) Forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.queues[number]; q != nil {
		q.end()
		delete(p.queues, number)
	}
}

// Dropped tells how many messages to a voter had no room.
func (p *Postbox) Dropped(number uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.queues[number]; q != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.dropped
	}
	return 0
}

// Close drops what waits and ends.
func (p *Postbox) Close() {
	p.mu.Lock()
	p.end()
	p.mu.Unlock()
	p.done.Wait()
	p.client.Close()
}

func (q *queue) put(address string, message []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
	if len(q.waiting) >= queueMost || q.bytes+len(message) > queueBytes && len(q.waiting) > 0 {
		q.dropped++
		return
	}
	q.waiting, q.bytes = append(q.waiting, message), q.bytes+len(message)
	select {
	case q.news <- struct{}{}:
	default:
	}
}

// take gives the messages of the next body.
func (q *queue) take() (address string, batch [][]byte, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.waiting), batchMost)
	batch = append(batch, q.waiting[:n]...)
	for _, m := range batch {
		bytes += len(m)
	}
	q.waiting, q.bytes = append(q.waiting[:0:0], q.waiting[n:]...), q.bytes-bytes
	if len(q.waiting) > 0 {
		select {
		case q.news <- struct{}{}:
		default:
		}
	}
	return q.address, batch, bytes
}

func (p *Postbox) run(ctx context.Context, number uint64, q *queue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.news:
		}
		address, batch, bytes := q.take()
		if len(batch) == 0 {
			continue
		}
		within := postWithin + time.Duration(bytes)*postPerByte
		if p.client.call(ctx, within, http.MethodPost, address, pathMessages, Post{number, batch}, nil) == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseAfter):
		}
	}
}
