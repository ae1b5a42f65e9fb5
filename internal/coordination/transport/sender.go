package transport

import (
	"context"
	"sync"
	"time"
)

// Limits of the messages that wait for another voter.
const (
	maxQueuedMessages   = 512                      // a second's worth at a busy leader
	maxQueuedBytes      = 32 << 20                 // half of what one body may hold
	maxBatchMessages    = 64                       // in one body
	callsPerVoter       = 2                        // at a time: one that gets no response holds up no others
	batchTimeout        = 500 * time.Millisecond   // a message older than an election is of no use
	batchTimeoutPerByte = time.Second / (16 << 20) // more for a snapshot
	failurePause        = 20 * time.Millisecond    // a voter that is down is not called without pause
)

// MessageSender sends voters' messages to each other. It never waits: it keeps a bounded queue for
// each voter and drops what does not fit, as the consensus node sends anew what matters. It owns
// its goroutines.
type MessageSender struct {
	client     *Client
	ctx        context.Context // of all deliveries; ends in Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex // guards queues
	queues map[uint64]*sendQueue
}

// NewMessageSender makes a sender that sends as far as the network allows.
func NewMessageSender(network Network) *MessageSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &MessageSender{
		client: NewClient(network, callsPerVoter), ctx: ctx, cancel: cancel, queues: map[uint64]*sendQueue{},
	}
}

// Send sends a message to the voter of a number at an address, or drops it. The message must not be
// changed later.
func (ms *MessageSender) Send(number uint64, address string, message []byte) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.ctx.Err() != nil {
		return
	}
	queue := ms.queues[number]
	if queue == nil {
		ctx, cancel := context.WithCancel(ms.ctx)
		queue = &sendQueue{ready: make(chan struct{}, 1), cancel: cancel}
		ms.queues[number] = queue
		for range callsPerVoter {
			ms.goroutines.Go(func() { ms.deliver(ctx, number, queue) })
		}
	}
	queue.enqueue(address, message)
}

// RemoveVoter drops what waits for a voter that is no member any more.
func (ms *MessageSender) RemoveVoter(number uint64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if queue := ms.queues[number]; queue != nil {
		queue.cancel()
		delete(ms.queues, number)
	}
}

// Close drops what waits and returns once all deliveries have ended.
func (ms *MessageSender) Close() {
	ms.mu.Lock()
	ms.cancel()
	ms.mu.Unlock()
	ms.goroutines.Wait()
	ms.client.Close()
}

// deliver sends what is queued, batch by batch, until the context ends. A batch that fails is
// dropped.
func (ms *MessageSender) deliver(ctx context.Context, number uint64, queue *sendQueue) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.ready:
		}
		address, messages, size := queue.dequeueBatch()
		if len(messages) == 0 {
			continue
		}
		timeout := batchTimeout + time.Duration(size)*batchTimeoutPerByte
		if ms.client.sendMessages(ctx, timeout, address, MessageBatch{To: number, Messages: messages}) == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(failurePause):
		}
	}
}

// sendQueue has the messages that wait for one voter.
type sendQueue struct {
	ready  chan struct{} // has a token while something waits
	cancel context.CancelFunc

	mu       sync.Mutex // guards what follows
	address  string     // host:port, the latest that was given
	messages [][]byte
	bytes    int
	dropped  uint64 // messages that had no room
}

func (q *sendQueue) enqueue(address string, message []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
	if len(q.messages) >= maxQueuedMessages || q.bytes+len(message) > maxQueuedBytes && len(q.messages) > 0 {
		q.dropped++
		return
	}
	q.messages = append(q.messages, message)
	q.bytes = q.bytes + len(message)
	q.signal()
}

// dequeueBatch takes the messages of the next body, and their size in bytes.
func (q *sendQueue) dequeueBatch() (address string, messages [][]byte, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.messages), maxBatchMessages)
	messages = append(messages, q.messages[:n]...)
	for _, message := range messages {
		size += len(message)
	}
	q.messages = append(q.messages[:0:0], q.messages[n:]...)
	q.bytes = q.bytes - size
	if len(q.messages) > 0 {
		q.signal()
	}
	return q.address, messages, size
}

// signal wakes one delivery. The caller holds the lock.
func (q *sendQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
