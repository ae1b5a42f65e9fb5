package listener

import "sync"

// maxRequestOverhead is the maximum size in bytes of what a request holds besides its value: its
// words and the server's answer, as limited by package resp.
const maxRequestOverhead = 68 << 10

// sharedDivisor sets the part of the memory bound that pipelined requests and those whose values arrive
// slowly may use together: 1/sharedDivisor.
const sharedDivisor = 2

// minMemory is the minimum bound in bytes for all requests in flight: room for two of the largest
// pipelined requests, and the same again for requests that are not pipelined.
const minMemory = 4 * (maxRequestOverhead + 64<<10)

// memoryLimiter bounds the memory of requests in flight. A request reserves the maximum that it may
// need before its value is read, so that no request waits for memory while it holds some. It
// releases the reservation after its answer. Pipelined requests and those whose values arrive slowly
// share only a part of the memory: ordinary clients send one request at a time.
type memoryLimiter struct {
	limit int // in bytes; 0 means no limit

	mu    sync.Mutex // protects used and freed
	used  int
	freed chan struct{} // closed when bytes are released; nil if nobody waits
}

// newMemoryLimiter returns a limiter with a bound of at least minMemory bytes. If limit is not
// positive, there is no bound.
func newMemoryLimiter(limit int) *memoryLimiter {
	if limit <= 0 {
		return &memoryLimiter{}
	}
	return &memoryLimiter{limit: max(limit, minMemory)}
}

// acquire reserves size bytes and returns nil. If they are not available, it returns a channel that
// is closed when memory is released and the caller may try again.
func (m *memoryLimiter) acquire(size int, isShared bool) (wait <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if isShared {
		limit /= sharedDivisor
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

// release releases size reserved bytes.
func (m *memoryLimiter) release(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= size
	if m.freed != nil && size > 0 {
		close(m.freed)
		m.freed = nil
	}
}
