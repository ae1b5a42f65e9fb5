package listener

import "sync"

// openRequestIDs holds the IDs of the requests in flight, which are unique. It is safe for
// concurrent use.
type openRequestIDs struct {
	mu  sync.Mutex // protects ids
	ids map[string]struct{}
}

func newOpenRequestIDs() *openRequestIDs { return &openRequestIDs{ids: map[string]struct{}{}} }

// add adds the ID of a request. It returns false if another request with that ID is in flight.
func (o *openRequestIDs) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, isOpen := o.ids[id]
	o.ids[id] = struct{}{}
	return !isOpen
}

// remove removes the ID of a completed request.
func (o *openRequestIDs) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}
