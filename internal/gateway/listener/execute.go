package listener

import (
	"math"
	"net"
	"strconv"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// workerPool executes jobs on goroutines that it reuses, so that each stack grows only once to the
// size that a request needs. It holds as many goroutines as the largest number of jobs that were
// ever running concurrently.
type workerPool struct{ idle chan job }

func newWorkerPool() *workerPool { return &workerPool{idle: make(chan job)} }

// run passes a job to an idle worker, or starts a new one.
func (p *workerPool) run(j job) {
	select {
	case p.idle <- j:
	default:
		go p.work(j)
	}
}

// work executes its first job and then further ones. It never returns.
func (p *workerPool) work(first job) {
	first.run()
	for j := range p.idle {
		j.run()
	}
}

// job is the execution of an admitted request.
type job struct {
	client     *client
	pipelineID uint // orders the answer among those on the connection
	request    *dispatch.Request
	message    *upstream.Command
	memory     int // reserved memory in bytes
}

// run executes the request, writes its answer and releases its resources.
func (j job) run() {
	l := j.client.listener
	result := j.execute()
	j.message.Body.Free()
	l.requestIDs.end(j.message.ID, result.mayHaveRun)
	j.client.complete(j.request)
	j.client.answer(j.pipelineID, result.write)
	l.memory.release(j.memory)
	if result.attempts == 0 {
		j.client.returnTokenWithoutAttempt()
	} else {
		j.client.returnTokens(1)
	}
}

// execution is the result of the attempts at a request.
type execution struct {
	attempts   int
	mayHaveRun bool         // whether the request may have run in one of them
	write      func() error // writes the answer
}

// execute makes the attempts that the dispatcher decides on.
func (j job) execute() (result execution) {
	conn := j.client.conn
	for {
		switch decision := j.request.Next(); decision.Action {
		case dispatch.Forward:
			value := j.attempt(decision, &result)
			if value != nil {
				result.write = func() error {
					defer value.Free()
					return conn.WriteValue(value)
				}
				return result
			}
		case dispatch.Reject:
			result.write = func() error { return conn.WriteLine(rejectionLine(decision.RetryAfter)) }
			return result
		case dispatch.Terminate:
			result.write = func() error { return conn.WriteLine(replyFailed) }
			return result
		case dispatch.Disconnected:
			result.write = func() error { return net.ErrClosed }
			return result
		}
	}
}

// attempt makes one attempt and reports its result. It returns the value of an answer, or nil.
func (j job) attempt(decision dispatch.Decision, result *execution) *resp.Bulk {
	decision.BeginSend = j.sendIfConnected(decision.BeginSend)
	attempted, value := j.client.listener.upstream.Attempt(decision, j.message)
	result.attempts++
	result.mayHaveRun = result.mayHaveRun || attempted.Outcome.MayHaveRun()
	j.request.ReportResult(attempted)
	return value
}

// sendIfConnected returns a function that begins an attempt if the client is known to be connected.
// After a pause of the process, the timers of the decision module may run before the reader notices
// a disconnect. If the presence of the client is unknown, the decision module waits for it.
func (j job) sendIfConnected(beginSend func() bool) func() bool {
	return func() bool {
		switch j.client.conn.presence() {
		case policy.ClientConnected:
			return beginSend()
		case policy.ClientDisconnected:
			j.request.Disconnect()
		case policy.ClientUnknown, policy.ClientUnverifiable:
		}
		return false
	}
}

// decimalBase is the base of numbers in replies.
const decimalBase = 10

// rejectionLine returns the reply that rejects a request. The reply holds the time after which the
// client may retry, in milliseconds rounded up, unless retryAfter is 0.
func rejectionLine(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return replyBusy
	}
	milliseconds := math.Ceil(float64(retryAfter) / float64(time.Millisecond))
	return replyBusy + " " + strconv.FormatInt(int64(milliseconds), decimalBase)
}
