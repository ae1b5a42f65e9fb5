package listener

import (
	"math"
	"net"
	"strconv"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/upstream"
)

// admit hands a task over and remembers it, to tell of the client's going.
func (c *client) admit(t dispatch.RequestSpec) *dispatch.Request {
	e := c.listener.dispatcher.Admit(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[e] = struct{}{}
	return e
}

// job is a task for a carrier.
type job struct {
	client  *client
	turn    uint
	request *dispatch.Request
	message *upstream.Command
	memory  int // of the room
}

// startWork gives a task to a carrier that is free, or else to a new one. Carriers stay: the stack of a goroutine
// grows to what a task needs once, not with each task. There are as many as there were ever tasks at once.
func (f *Listener) startWork(w job) {
	select {
	case f.idleWorkers <- w:
	default:
		go func() {
			w.run()
			for w := range f.idleWorkers {
				w.run()
			}
		}()
	}
}

// run takes a task through its stages to its answer.
func (w job) run() {
	c := w.client
	write := c.execute(w.request, w.message)
	w.message.Body.Free()
	c.listener.closeID(w.message.ID)
	c.mu.Lock()
	delete(c.requests, w.request)
	c.mu.Unlock()
	c.answer(w.turn, write)
	c.listener.memory.release(w.memory)
}

// execute carries a task and gives what writes its answer.
func (c *client) execute(e *dispatch.Request, what *upstream.Command) func() error {
	for {
		switch choice := e.Next(); choice.Action {
		case dispatch.Forward:
			result, value := c.listener.upstream.Attempt(choice, what)
			e.ReportResult(result)
			if value != nil {
				return func() error {
					defer value.Free()
					return c.conn.WriteValue(value)
				}
			}
		case dispatch.Reject:
			return func() error { return c.conn.WriteLine(rejectionLine(choice.RetryAfter)) }
		case dispatch.Terminate:
			return func() error { return c.conn.WriteLine("-ERR failed") }
		case dispatch.Disconnected:
			return func() error { return net.ErrClosed }
		}
	}
}

// rejectionLine words a rejection.
func rejectionLine(away time.Duration) string {
	if away <= 0 {
		return "-BUSY"
	}
	return "-BUSY " + strconv.FormatInt(int64(math.Ceil(float64(away)/float64(time.Millisecond))), 10)
}
