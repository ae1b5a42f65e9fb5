// Package counter calls the counter that all gateways share: lines of text, one behind another on a few kept
// connections, answered in order. It knows nothing of what is counted, and sets no time limit on answers.
package counter

import (
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/policy"
)

const (
	linesMost  = 4                      // connections: a part of the counter that is slow holds up only some
	queueMost  = 256                    // calls that wait for a connection to come up; more are turned away
	silentMost = time.Second            // a connection with no answer for so long is taken for dead
	nameLife   = time.Millisecond       // the least life of a name in the protocol
	writeLimit = 250 * time.Millisecond // a few bytes that take longer to write go nowhere
)

// Counter is the few connections.
type Counter struct{ lines [linesMost]*line }

// The states of a call.
const (
	queued int32 = iota
	written
	withdrawn
)

type call struct {
	text  string
	told  func(float64, policy.Outcome)
	state atomic.Int32
	at    time.Time // when it was written
}

// line is one connection and the calls on it.
type line struct {
	addr    string
	within  time.Duration
	log     *zap.Logger
	waiting chan *call

	mu   sync.Mutex
	conn *textproto.Conn // nil: none is up
	sock net.Conn
	out  []*call // written and not answered, oldest first
}

// New makes a counter at an address; connections come up with the first calls, within a time.
func New(addr string, within time.Duration, log *zap.Logger) *Counter {
	c := &Counter{}
	for i := range c.lines {
		c.lines[i] = &line{addr: addr, within: within, log: log, waiting: make(chan *call, queueMost)}
		go c.lines[i].write()
	}
	return c
}

// Add adds to a number and tells the total, in the order of the calls for that number: they share a
// connection. Withdraw tells whether the call never went out, and never will.
func (c *Counter) Add(name uint64, units float64, keep time.Duration, told func(float64, policy.Outcome)) (withdraw func() bool) {
	text := "incr " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(units, 'f', -1, 64) + " " +
		strconv.FormatInt(max(keep, nameLife).Milliseconds(), 10)
	made := &call{text: text, told: told}
	select {
	case c.lines[name%linesMost].waiting <- made:
	default:
		go told(0, policy.NoConnect)
	}
	return func() bool { return made.state.CompareAndSwap(queued, withdrawn) }
}

// write writes calls as they come, on a connection that it brings up when there is none. Those that come
// together go out together.
func (l *line) write() {
	for c := range l.waiting {
		conn := l.up()
		if conn == nil {
			l.refuse(c)
			continue
		}
		l.put(conn, c)
		for len(l.waiting) > 0 {
			l.put(conn, <-l.waiting)
		}
		if conn.W.Flush() != nil {
			l.down(conn, "write fails")
		}
	}
}

// put writes a call that was not withdrawn.
func (l *line) put(conn *textproto.Conn, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.state.CompareAndSwap(queued, written) {
		return
	}
	if l.conn != conn { // it went down a moment ago
		c.told(0, policy.NoConnect)
		return
	}
	c.at = time.Now()
	l.out = append(l.out, c)
	_ = l.sock.SetWriteDeadline(c.at.Add(writeLimit))
	_, _ = conn.W.WriteString(c.text + "\r\n") // an error stays until the flush
}

// refuse tells a call, and those that waited with it, that there is no connection.
func (l *line) refuse(c *call) {
	for {
		if c.state.CompareAndSwap(queued, withdrawn) {
			c.told(0, policy.NoConnect)
		}
		select {
		case c = <-l.waiting:
		default:
			return
		}
	}
}

// up gives the connection, after bringing one up if need be; nil where none can be had.
func (l *line) up() *textproto.Conn {
	l.mu.Lock()
	conn := l.conn
	silent := conn != nil && len(l.out) > 0 && time.Since(l.out[0].at) > silentMost
	l.mu.Unlock()
	if silent {
		l.down(conn, "silent")
	} else if conn != nil {
		return conn
	}
	sock, err := net.DialTimeout("tcp", l.addr, l.within)
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.sock = textproto.NewConn(sock), sock
	go l.read(l.conn)
	return l.conn
}

// down closes a connection, once. What was written on it may have been added. It is told under the lock: calls
// on the next connection must not be answered before.
func (l *line) down(conn *textproto.Conn, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	_ = conn.Close()
	if len(l.out) > 0 {
		l.log.Info("a connection to the counter is lost", zap.String("why", why), zap.Int("calls", len(l.out)))
	}
	for _, c := range l.out {
		c.told(0, policy.TimedOut)
	}
	l.conn, l.sock, l.out = nil, nil, nil
}

// read matches answers with calls, in order.
func (l *line) read(conn *textproto.Conn) {
	why := "an answer to no call"
	for {
		text, err := conn.ReadLine()
		if err != nil {
			why = err.Error()
			break
		}
		if !l.match(conn, text) {
			break
		}
	}
	l.down(conn, why)
}

// match tells the oldest call on a connection its answer; false if there is none.
func (l *line) match(conn *textproto.Conn, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn || len(l.out) == 0 {
		return false
	}
	c := l.out[0]
	l.out = l.out[1:]
	c.told(answer(text))
	return true
}

// answer reads a line: what is turned away or no such call has added nothing.
func answer(text string) (float64, policy.Outcome) {
	if total, ok := strings.CutPrefix(text, "ok "); ok {
		if v, err := strconv.ParseFloat(total, 64); err == nil && v == v {
			return v, policy.Answered
		}
	}
	return 0, policy.Full
}
