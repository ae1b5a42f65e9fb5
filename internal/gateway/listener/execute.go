package listener

import (
	"math"
	"net"
	"strconv"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/upstream"
)

// workerPool executes jobs on goroutines that are kept: the stack of each grows only once to what a
// request needs. There are as many as there were ever jobs at once.
type workerPool struct{ idle chan job }

func newWorkerPool() *workerPool { return &workerPool{idle: make(chan job)} }

// run passes a job to an idle worker, or else to a new one.
func (p *workerPool) run(j job) {
	select {
	case p.idle <- j:
	default:
		go p.work(j)
	}
}

// work executes a job, and then others for as long as the process runs.
func (p *workerPool) work(first job) {
	first.run()
	for j := range p.idle {
		j.run()
	}
}

// job is an admitted request with what its execution needs.
type job struct {
	client  *client
	turn    uint // of the answer among those of the connection
	request *dispatch.Request
	message *upstream.Command
	memory  int // reserved, in bytes
}

// run takes a request through its attempts to its answer.
func (j job) run() {
	l := j.client.listener
	write := j.execute()
	j.message.Body.Free()
	l.requestIDs.remove(j.message.ID)
	j.client.complete(j.request)
	j.client.answer(j.turn, write)
	l.memory.release(j.memory)
}

// execute makes attempts as the dispatcher decides, and returns what writes the request's answer.
func (j job) execute() (write func() error) {
	conn := j.client.conn
	for {
		switch decision := j.request.Next(); decision.Action {
		case dispatch.Forward:
			result, value := j.client.listener.upstream.Attempt(decision, j.message)
			j.request.ReportResult(result)
			if value != nil {
				return func() error {
					defer value.Free()
					return conn.WriteValue(value)
				}
			}
		case dispatch.Reject:
			return func() error { return conn.WriteLine(rejectionLine(decision.RetryAfter)) }
		case dispatch.Terminate:
			return func() error { return conn.WriteLine(replyFailed) }
		case dispatch.Disconnected:
			return func() error { return net.ErrClosed }
		}
	}
}

// decimal is the base of the numbers in replies.
const decimal = 10

// rejectionLine formats a rejection, with the time after which the client may ask again in
// milliseconds, rounded up. Without that time if it is 0.
func rejectionLine(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return replyBusy
	}
	milliseconds := math.Ceil(float64(retryAfter) / float64(time.Millisecond))
	return replyBusy + " " + strconv.FormatInt(int64(milliseconds), decimal)
}
