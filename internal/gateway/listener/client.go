package listener

import (
	"errors"
	"maps"
	"net/textproto"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

const (
	// commandTimeout is how long a client may take to send a command after its first byte. The time
	// before the first byte is bounded by silentTimeout and idleTimeout.
	commandTimeout = time.Second
	// malformedCloseTimeout is how long a client may take to read the answer to a malformed
	// command.
	malformedCloseTimeout = time.Second
)

// client reads the commands of one connection and writes the answers in the order of the commands.
type client struct {
	listener       *Listener
	conn           *connection
	inFlightTokens chan struct{}      // one token for each further command that may be in flight
	pipeline       textproto.Pipeline // orders the answers
	lastReplies    *replyBatch        // batch that takes further replies; nil if the latest answer is of another kind
	nextWritten    atomic.Uint64      // pipeline ID of the next answer to be written

	mu       sync.Mutex                     // protects requests
	requests map[*dispatch.Request]struct{} // requests that are admitted and not completed
}

func newClient(l *Listener, conn *resp.Conn) *client {
	c := &client{
		listener:       l,
		conn:           newConnection(conn, l.drain),
		inFlightTokens: make(chan struct{}, maxInFlightPerConn),
		requests:       map[*dispatch.Request]struct{}{},
	}
	c.conn.abortRequests = c.abortRequests
	for range maxInFlightPerConn {
		c.inFlightTokens <- struct{}{}
	}
	return c
}

// serve reads commands until the client disconnects or no further command is to be read, and then
// closes the connection. It detects a disconnect even while requests are in flight.
func (c *client) serve() {
	defer c.disconnect()
	for c.conn.awaitCommand() && c.awaitToken() {
		if !c.serveCommand() {
			return
		}
	}
}

// abortRequests makes all requests in flight complete as failed.
func (c *client) abortRequests() {
	for _, request := range c.openRequests() {
		request.Abort()
	}
}

// serveCommand reads one command and starts its execution. It returns false if no further command
// is to be read.
func (c *client) serveCommand() bool {
	command, err := c.readCommand()
	outcome := c.classifyReadError(err)
	if outcome == readFailed {
		return false
	}
	c.conn.countReadAhead()
	if outcome == readMalformed && !c.pauseBeforeClose() {
		return false
	}
	if outcome != readComplete {
		c.answerUnreadable(c.nextAnswer(), outcome, err)
		return false
	}
	peer := c.conn.checkPeer()
	if peer.IsClosed && !command.mayBePing() {
		c.discard(command)
		return false
	}
	if command.isRequest() && c.conn.rejectIfLate() {
		c.discard(command)
		c.reply(c.listener.rejectUnread(command))
		runtime.Gosched() // no pause: what waits behind the request must be answered before SIGKILL
		return true
	}
	admitted, reply := c.admitCommand(command, peer.ReceivedAgo)
	if reply == "" {
		c.listener.workers.run(admitted)
		return true
	}
	c.discard(command)
	c.reply(reply)
	return c.pauseAfterReply()
}

// admitCommand parses a command and admits the request under the same settings. If the command is
// not a valid request, it returns the line that answers it.
func (c *client) admitCommand(command *pendingCommand, age time.Duration) (admitted job, reply string) {
	c.listener.settingsMu.RLock()
	defer c.listener.settingsMu.RUnlock()
	spec, message, reply := c.listener.parse(command, age)
	if reply != "" {
		return job{}, reply
	}
	pipelineID := c.nextAnswer()
	spec.Presence = func() policy.Presence { return c.presence(pipelineID) }
	return job{c, pipelineID, c.admit(spec), message, command.memory}, ""
}

// admit passes a request to the dispatcher and records it, so that a disconnect is reported for it.
func (c *client) admit(spec dispatch.RequestSpec) *dispatch.Request {
	request := c.listener.dispatcher.Admit(spec)
	c.conn.beginRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[request] = struct{}{}
	return request
}

// complete removes a request for which a disconnect need not be reported any more.
func (c *client) complete(request *dispatch.Request) {
	c.conn.endRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, request)
}

// isNextWritten reports whether all answers before the one with the given pipeline ID are written.
func (c *client) isNextWritten(pipelineID uint) bool {
	return c.nextWritten.Load() == uint64(pipelineID)
}

// nextAnswer returns the pipeline ID of the next answer. Only the reading goroutine may call it.
func (c *client) nextAnswer() uint {
	c.lastReplies = nil
	return c.pipeline.Next()
}

// answer writes the answer of a command after all earlier answers. During a drain, the last answer
// closes the connection. The caller returns the command's token.
func (c *client) answer(pipelineID uint, write func() error) {
	c.pipeline.StartResponse(pipelineID)
	c.writeAnswers(pipelineID, 1, write)
}

// writeAnswers writes the answers of as many commands. It must be their turn in the pipeline.
func (c *client) writeAnswers(pipelineID uint, commands int, write func() error) {
	// SetWriteDeadline fails only on a closed connection, and the write then fails as well.
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if c.listener.drain.active.Load() {
		err = c.conn.writeLast(commands, write)
	} else {
		err = write()
	}
	if err != nil {
		_ = c.conn.Close() // close first: the client would read the next answer as the rest of this one
	}
	c.conn.endCommands(commands)
	c.nextWritten.Store(uint64(pipelineID) + 1)
	c.pipeline.EndResponse(pipelineID)
}

// answerUnreadable closes the connection after a command that could not be read. It first waits for
// the earlier answers, and answers the command itself if it is malformed; a partial command has no
// answer.
func (c *client) answerUnreadable(pipelineID uint, outcome readOutcome, err error) {
	var malformed resp.ProtocolError
	_ = errors.As(err, &malformed) // malformed stays zero if the command is partial
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.answer(pipelineID, func() error {
			if outcome == readPartial {
				return nil
			}
			return c.conn.WriteLine("-ERR " + malformed.Error())
		})
	}()
	if c.conn.waitConnected(done) {
		c.conn.CloseAfterError(malformedCloseTimeout)
	}
}

// disconnect reports the disconnect of the client to the dispatcher for all open requests, closes
// the connection and releases its slot.
func (c *client) disconnect() {
	c.conn.markEnded()
	for _, request := range c.openRequests() {
		request.Disconnect()
	}
	_ = c.conn.Close() // may be closed already
	c.listener.connections.remove(c.conn)
}

func (c *client) openRequests() []*dispatch.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.requests))
}
