package transport

import (
	"context"
	"sync"
	"time"
)

// Limits of the messages that wait for another voter.
const (
	maxQueuedMessages   = 512                             // for one voter
	maxQueuedBytes      = 32 << 20                        // for one voter; a single message may be larger
	maxBatchMessages    = 64                              // in one body
	callsPerVoter       = 2                               // at a time: one without a response does not delay the others
	batchTimeout        = 500 * time.Millisecond          // of an empty batch
	minBytesPerSecond   = 16 << 20                        // at which a batch has to arrive
	batchTimeoutPerByte = time.Second / minBytesPerSecond // added to batchTimeout
	failurePause        = 20 * time.Millisecond           // before a voter that failed is called again
)

// MessageSender sends voters' messages to each other. It never waits: it keeps a bounded queue for
// each voter and drops what does not fit, as the consensus node sends what matters again. It owns
// its goroutines.
type MessageSender struct {
	client     *Client
	ctx        context.Context // of all deliveries; canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex            // guards queues
	queues map[uint64]*sendQueue // by the voter's number
}

// NewMessageSender makes a sender that sends to the addresses that the network allows.
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
		timeout := timeoutOf(size)
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

// timeoutOf decides how long a batch of so many bytes may take. A message older than an election is
// of no use, but a snapshot must arrive.
func timeoutOf(size int) time.Duration {
	return batchTimeout + time.Duration(size)*batchTimeoutPerByte
}

// sendQueue has the messages that wait for one voter.
type sendQueue struct {
	ready  chan struct{} // has a token while something waits
	cancel context.CancelFunc

	mu       sync.Mutex // guards what follows
	address  string     // host:port, the latest that was given
	messages [][]byte
	bytes    int    // in messages
	dropped  uint64 // messages that did not fit
}

// isFull decides whether a message of so many bytes is dropped. One that is larger than the queue
// is sent alone.
func (q *sendQueue) isFull(size int) bool {
	if len(q.messages) == 0 {
		return false
	}
	return len(q.messages) >= maxQueuedMessages || q.bytes+size > maxQueuedBytes
}

// enqueue adds a message for the voter at an address, or drops it.
func (q *sendQueue) enqueue(address string, message []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
	if q.isFull(len(message)) {
		q.dropped++
		return
	}
	q.messages = append(q.messages, message)
	q.bytes += len(message)
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
	q.bytes -= size
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
