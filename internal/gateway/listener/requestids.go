package listener

import (
	"sync"
	"time"
)

// requestIDs holds the IDs of the requests in flight, which are unique, and of completed requests that
// must not run again. It is safe for concurrent use.
type requestIDs struct {
	mu        sync.Mutex      // protects the other fields
	open      map[string]bool // IDs of requests in flight, and whether a repeat may be forbidden
	reserved  int             // number of open IDs for which it may be
	completed idHistory
}

// idStatus is whether a request may begin under its ID.
type idStatus uint8

const (
	idIsNew         idStatus = iota // the request may begin, and its ID is open
	idIsUsed                        // a request with this ID is in flight or must not run again
	idHistoryIsFull                 // the ID could not be kept as long as it must be
)

func newRequestIDs(maxMemory int) *requestIDs {
	return &requestIDs{open: map[string]bool{}, completed: newIDHistory(maxMemory)}
}

// keepFor keeps IDs for at least a time after the end of their requests. A shorter time than before has
// no effect.
func (r *requestIDs) keepFor(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed.minAge = max(r.completed.minAge, span)
}

// begin opens an ID. forbidsRepeats says whether the request must not run again once it may have run:
// end must then find space for its ID.
func (r *requestIDs) begin(now time.Time, id string, forbidsRepeats bool) idStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isUsedLocked(id) {
		return idIsUsed
	}
	if forbidsRepeats {
		if !r.completed.makeSpace(now, r.reserved+1) {
			return idHistoryIsFull
		}
		r.reserved++
	}
	r.open[id] = forbidsRepeats
	return idIsNew
}

// isUsed reports whether a request with this ID is in flight or must not run again.
func (r *requestIDs) isUsed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUsedLocked(id)
}

// isUsedLocked is isUsed. The caller must hold mu.
func (r *requestIDs) isUsedLocked(id string) bool {
	_, isOpen := r.open[id]
	return isOpen || r.completed.contains(id)
}

// end closes the ID of a completed request, and keeps it if the request may have run and must not run
// again.
func (r *requestIDs) end(id string, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	forbidsRepeats := r.open[id]
	delete(r.open, id)
	if !forbidsRepeats {
		return
	}
	r.reserved--
	if mayHaveRun {
		r.completed.add(id)
	}
}
