package front

import (
	"net"
	"time"
)

// Drain keeps taking for a while, then takes no new connections, closes those that are idle, and waits until
// everything held is answered.
func (f *Front) Drain(l net.Listener) {
	time.Sleep(keepTaking)
	_ = l.Close()
	f.closing.Store(true)
	f.clear()
	<-f.served
	time.AfterFunc(freshMost, f.clear) // those that had just connected and sent nothing
	f.gone.Wait()
}

// clear closes the connections that are idle.
func (f *Front) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		c.leave()
	}
}
