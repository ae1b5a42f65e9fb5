package transport

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Limits of what waits for another voter.
const (
	maxQueuedMessages   = 512                      // messages: a second's worth at a busy leader
	maxQueuedBytes      = 32 << 20                 // bytes: half of what one body may hold
	maxBatchMessages    = 64                       // messages in one body
	callsPerVoter       = 2                        // calls at a time to one voter: one that gets no answer holds up no others
	batchTimeout        = 500 * time.Millisecond   // a message older than an election is of no use
	batchTimeoutPerByte = time.Second / (16 << 20) // and a snapshot's bytes take their time
	failurePause        = 20 * time.Millisecond    // a voter that is down is not called without end
)

// MessageSender sends voters' messages to each other: it never waits, keeps a bounded queue for each voter and drops what
// does not fit, as what matters is sent anew. It owns its goroutines.
type MessageSender struct {
	client     *Client
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	mu         sync.Mutex
	queues     map[uint64]*sendQueue
}

type sendQueue struct {
	mu       sync.Mutex
	address  string
	messages [][]byte
	bytes    int
	ready    chan struct{} // has a token while something waits
	cancel   context.CancelFunc
	dropped  uint64
}

// NewMessageSender makes one that sends as far as links may go.
func NewMessageSender(network Network) *MessageSender {
	ctx, end := context.WithCancel(context.Background())
	return &MessageSender{client: NewClient(network, callsPerVoter), ctx: ctx, cancel: end, queues: map[uint64]*sendQueue{}}
}

// Send has a message sent to the voter of a number at an address, or dropped. The message is the postbox's from then
// on.
func (ms *MessageSender) Send(number uint64, address string, message []byte) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.ctx.Err() != nil {
		return
	}
	q := ms.queues[number]
	if q == nil {
		ctx, end := context.WithCancel(ms.ctx)
		q = &sendQueue{ready: make(chan struct{}, 1), cancel: end}
		ms.queues[number] = q
		for range callsPerVoter {
			ms.goroutines.Go(func() { ms.deliver(ctx, number, q) })
		}
	}
	q.enqueue(address, message)
}

// RemoveVoter drops what waits for a voter that is none any more.
func (ms *MessageSender) RemoveVoter(number uint64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if q := ms.queues[number]; q != nil {
		q.cancel()
		delete(ms.queues, number)
	}
}

// Dropped tells how many messages to a voter had no room.
func (ms *MessageSender) Dropped(number uint64) uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if q := ms.queues[number]; q != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.dropped
	}
	return 0
}

// Close drops what waits and ends.
func (ms *MessageSender) Close() {
	ms.mu.Lock()
	ms.cancel()
	ms.mu.Unlock()
	ms.goroutines.Wait()
	ms.client.Close()
}

func (q *sendQueue) enqueue(address string, message []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
	if len(q.messages) >= maxQueuedMessages || q.bytes+len(message) > maxQueuedBytes && len(q.messages) > 0 {
		q.dropped++
		return
	}
	q.messages, q.bytes = append(q.messages, message), q.bytes+len(message)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// dequeueBatch gives the messages of the next body.
func (q *sendQueue) dequeueBatch() (address string, batch [][]byte, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.messages), maxBatchMessages)
	batch = append(batch, q.messages[:n]...)
	for _, m := range batch {
		bytes += len(m)
	}
	q.messages, q.bytes = append(q.messages[:0:0], q.messages[n:]...), q.bytes-bytes
	if len(q.messages) > 0 {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
	return q.address, batch, bytes
}

func (ms *MessageSender) deliver(ctx context.Context, number uint64, q *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.ready:
		}
		address, batch, bytes := q.dequeueBatch()
		if len(batch) == 0 {
			continue
		}
		timeout := batchTimeout + time.Duration(bytes)*batchTimeoutPerByte
		if ms.client.call(ctx, timeout, http.MethodPost, address, pathMessages, MessageBatch{number, batch}, nil) == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(failurePause):
		}
	}
}
