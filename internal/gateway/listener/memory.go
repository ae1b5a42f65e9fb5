package listener

import "sync"

// maxRequestOverhead is how many bytes a request may hold besides its value: its words, and a
// server's answer, as resp bounds them.
const maxRequestOverhead = 68 << 10

// pipelinedDivisor gives the part of the memory that pipelined requests share.
const pipelinedDivisor = 2

// minMemory is the least bound on the bytes of all requests in flight: two of the largest, and as
// much again for those that are not pipelined.
const minMemory = 4 * (maxRequestOverhead + 64<<10)

// memoryLimiter bounds the bytes that requests in flight may hold. A request reserves the most that
// it may hold, before its value is read, so that none waits for memory while it holds some. It
// releases all with its answer. Pipelined requests share one part: clients send one request at a
// time, floods send many.
type memoryLimiter struct {
	limit int // in bytes; 0: no bound

	mu    sync.Mutex // protects used and freed
	used  int
	freed chan struct{} // closed when bytes are released; nil: nobody waits
}

// newMemoryLimiter returns a limiter with a bound of at least minMemory bytes; without a bound if
// limit is 0.
func newMemoryLimiter(limit int) *memoryLimiter {
	if limit <= 0 {
		return &memoryLimiter{}
	}
	return &memoryLimiter{limit: max(limit, minMemory)}
}

// acquire reserves size bytes and returns nil, or a channel that is closed when it is worth trying
// again.
func (m *memoryLimiter) acquire(size int, isPipelined bool) (wait <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if isPipelined {
		limit /= pipelinedDivisor
	}
	if m.limit == 0 || m.used+size <= limit {
		m.used += size
		return nil
	}
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// release gives back size bytes.
func (m *memoryLimiter) release(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= size
	if m.freed != nil && size > 0 {
		close(m.freed)
		m.freed = nil
	}
}
