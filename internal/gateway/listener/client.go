package listener

import (
	"errors"
	"maps"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/gateway/upstream"
)

const (
	// commandTimeout is how long a client may take to send a command; see silentTimeout.
	commandTimeout = time.Second
	// malformedCloseTimeout is how long a client has to read the answer to a malformed command.
	malformedCloseTimeout = time.Second
	// rejectedCommandPause is the pause before the next command of a client is read, after one that
	// was answered at once: such commands could otherwise take all processor time.
	rejectedCommandPause = 10 * time.Millisecond
	// maxInFlightPerConn is the largest number of requests in flight on a connection.
	maxInFlightPerConn = 16
	// maxRejectedPerConn is the largest number of commands that are read behind these late in a
	// drain, and rejected.
	maxRejectedPerConn = 64
)

// client reads the commands of one connection and has them answered in order.
type client struct {
	listener       *Listener
	conn           *connection
	inFlightTokens chan struct{}      // one for each command that may yet be in flight
	rejectedTokens chan struct{}      // one for each command that may yet be rejected behind them
	pipeline       textproto.Pipeline // puts the answers in the order of the commands

	mu       sync.Mutex                     // protects requests
	requests map[*dispatch.Request]struct{} // admitted, and not completed
}

func newClient(l *Listener, conn *resp.Conn) *client {
	c := &client{
		listener:       l,
		conn:           newConnection(conn, l.drain),
		inFlightTokens: make(chan struct{}, maxInFlightPerConn),
		rejectedTokens: make(chan struct{}, maxRejectedPerConn),
		requests:       map[*dispatch.Request]struct{}{},
	}
	c.conn.giveUp = c.giveUp
	for range maxInFlightPerConn {
		c.inFlightTokens <- struct{}{}
	}
	for range maxRejectedPerConn {
		c.rejectedTokens <- struct{}{}
	}
	return c
}

// serve reads commands until the client disconnects, which it notices also while requests are in
// flight. It owns the connection.
func (c *client) serve() {
	defer c.disconnect()
	for c.conn.awaitCommand() && c.awaitToken() {
		if !c.serveCommand() {
			return
		}
	}
}

// awaitToken waits until one more command may be in flight. Once a drain forwards no more, some are
// read beyond that: they would be lost behind requests that hang. It returns false if the client
// disconnects.
func (c *client) awaitToken() bool {
	select {
	case <-c.inFlightTokens:
		return true
	default:
	}
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		var rejectedTokens chan struct{}
		if c.listener.drain.isForwardOver() {
			rejectedTokens = c.rejectedTokens
		}
		select {
		case <-c.inFlightTokens:
			return true
		case <-rejectedTokens:
			return true
		case <-ticker.C:
			if c.conn.IsPeerClosed() {
				return false
			}
		}
	}
}

// returnToken gives a token back: to those in flight first, as it is not known which a command had.
func (c *client) returnToken() {
	select {
	case c.inFlightTokens <- struct{}{}:
	default:
		c.rejectedTokens <- struct{}{}
	}
}

// giveUp has the requests in flight answered as failed.
func (c *client) giveUp() {
	for _, request := range c.openRequests() {
		request.GiveUp()
	}
}

// serveCommand reads one command and starts its execution. It returns false if nothing more is to
// be read.
func (c *client) serveCommand() bool {
	command, err := c.readCommand()
	outcome := c.readOutcomeOf(err)
	if outcome == readFailed {
		return false
	}
	c.conn.countReadAhead()
	turn := c.pipeline.Next()
	if outcome != readComplete {
		c.answerUnreadable(turn, outcome, err)
		return false
	}
	age, isClosed := c.conn.PeerState()
	if isClosed && !command.isSingleWord() {
		c.discard(command)
		return false
	}
	request, message, reply := c.admitCommand(command, age)
	if reply == "" {
		c.listener.workers.run(job{c, turn, request, message, command.memory})
		return true
	}
	c.discard(command)
	go c.answer(turn, func() error { return c.conn.WriteLine(reply) })
	if reply != replyPong && !c.listener.drain.isForwardOver() {
		time.Sleep(rejectedCommandPause)
	}
	return true
}

// admitCommand parses a command and admits the request under the same settings, or returns a line
// that answers it at once.
func (c *client) admitCommand(
	command *pendingCommand, age time.Duration,
) (request *dispatch.Request, message *upstream.Command, reply string) {
	if !command.isSingleWord() && c.conn.rejectsCommand() {
		return nil, nil, rejectionLine(0)
	}
	c.listener.settingsMu.RLock()
	defer c.listener.settingsMu.RUnlock()
	spec, message, reply := c.listener.parse(command, age)
	if reply != "" {
		return nil, nil, reply
	}
	return c.admit(spec), message, ""
}

// admit passes a request to the dispatcher, and remembers it so as to report a disconnect.
func (c *client) admit(spec dispatch.RequestSpec) *dispatch.Request {
	request := c.listener.dispatcher.Admit(spec)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[request] = struct{}{}
	return request
}

// complete forgets a request that needs no report of a disconnect any more.
func (c *client) complete(request *dispatch.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, request)
}

// answer writes an answer when its turn has come. During a drain the last answer closes the
// connection.
func (c *client) answer(turn uint, write func() error) {
	c.pipeline.StartResponse(turn)
	// SetWriteDeadline fails on a closed connection only, where the write fails as well.
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	var err error
	if c.listener.drain.active.Load() {
		err = c.conn.writeLast(write)
	} else {
		err = write()
	}
	if err != nil {
		_ = c.conn.Close() // before the next turn: an answer behind a part of this one would be read as its rest
	}
	c.conn.endCommand()
	c.pipeline.EndResponse(turn)
	c.returnToken()
}

// answerUnreadable answers a command that could not be read, in its turn, and closes the
// connection. A partial command has no answer of its own: those before it are written.
func (c *client) answerUnreadable(turn uint, outcome readOutcome, err error) {
	var malformed resp.ProtocolError
	_ = errors.As(err, &malformed) // holds unless the command is partial
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.answer(turn, func() error {
			if outcome == readPartial {
				return nil
			}
			return c.conn.WriteLine("-ERR " + malformed.Error())
		})
	}()
	if c.conn.waitConnected(done, nil) {
		c.conn.CloseAfterError(malformedCloseTimeout)
	}
}

// disconnect reports to the dispatcher which requests have lost their client, and gives the slot
// back.
func (c *client) disconnect() {
	c.conn.markClosed()
	for _, request := range c.openRequests() {
		request.Disconnect()
	}
	_ = c.conn.Close() // it may be closed already
	c.listener.connections.remove(c.conn)
}

func (c *client) openRequests() []*dispatch.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.requests))
}
