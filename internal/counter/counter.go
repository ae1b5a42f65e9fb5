// Package counter calls the counter that all gateways share: lines of text, one behind another on a few kept
// connections, answered in order. It knows nothing of what is counted, and sets no time limit on answers.
// Once it has moved, new calls go to the new address; those that are out at the old one are answered there.
package counter

import (
	"bufio"
	"errors"
	"math"
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"harrierhoist/policy"
)

const (
	linesMost  = 8                      // connections: one that is slow or silent holds up only some names
	queueMost  = 256                    // calls that wait for a connection to come up; more are turned away
	nameLife   = time.Millisecond       // the least life of a name in the protocol
	writeLimit = 250 * time.Millisecond // a few bytes that take longer to write go nowhere
)

// Counter is the few connections.
type Counter struct{ lines [linesMost]*line }

type call struct {
	text string
	told func(float64, policy.Outcome)
	at   time.Time // when it was written
}

// line is a share of the names: the calls for them, in order, and the connection that new ones go on.
type line struct {
	within  time.Duration
	log     *zap.Logger
	waiting chan *call

	mu   sync.Mutex // also of the links
	addr string
	link *link // nil: none is up
}

// link is one connection and the calls on it. Whoever closes it sets over.
type link struct {
	conn *textproto.Conn
	sock net.Conn
	out  []*call // written and not answered, oldest first
	over bool
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

// Move sends the calls from here on to another address.
func (c *Counter) Move(addr string) {
	for _, l := range c.lines {
		l.move(addr)
	}
}

// Add adds to a number and tells the total, in the order of the calls for that number: they share a
// connection.
func (c *Counter) Add(name uint64, units float64, keep time.Duration, told func(float64, policy.Outcome)) {
	text := "incr " + strconv.FormatUint(name, 10) + " " + strconv.FormatFloat(units, 'f', -1, 64) + " " +
		strconv.FormatInt(max(keep, nameLife).Milliseconds(), 10)
	made := &call{text: text, told: told}
	select {
	case c.lines[name%linesMost].waiting <- made:
	default:
		go told(0, policy.NoConnect)
	}
}

// wait sets until when the oldest answer may come: a connection with none for as long as one may take to come up
// is taken for dead. Answers come however late, so what was out on it may have been added.
func (l *line) wait(k *link) {
	until := time.Time{}
	if len(k.out) > 0 {
		until = k.out[0].at.Add(l.within)
	}
	_ = k.sock.SetReadDeadline(until)
}

// write writes calls as they come, on a connection that it brings up when there is none. Those that come
// together go out together.
func (l *line) write() {
	for c := range l.waiting {
		k := l.up()
		if k == nil {
			l.refuse(c)
			continue
		}
		l.put(k, c)
		for len(l.waiting) > 0 {
			l.put(k, <-l.waiting)
		}
		if k.conn.W.Flush() != nil {
			l.down(k, "write fails")
		}
	}
}

// put writes a call.
func (l *line) put(k *link, c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.link != k { // it went down, or the counter moved, a moment ago
		c.told(0, policy.NoConnect)
		return
	}
	c.at = time.Now()
	if k.out = append(k.out, c); len(k.out) == 1 {
		l.wait(k)
	}
	_ = k.sock.SetWriteDeadline(c.at.Add(writeLimit))
	_, _ = k.conn.W.WriteString(c.text + "\r\n") // an error stays until the flush
}

// refuse tells a call, and those that waited with it, that there is no connection.
func (l *line) refuse(c *call) {
	for {
		c.told(0, policy.NoConnect)
		select {
		case c = <-l.waiting:
		default:
			return
		}
	}
}

// up gives the connection, after bringing one up if need be; nil where none can be had.
func (l *line) up() *link {
	l.mu.Lock()
	k, addr := l.link, l.addr
	l.mu.Unlock()
	if k != nil {
		return k
	}
	sock, err := net.DialTimeout("tcp", addr, l.within)
	if err != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != addr { // moved meanwhile: the next call goes there
		_ = sock.Close()
		return nil
	}
	l.link = &link{conn: textproto.NewConn(sock), sock: sock}
	go l.read(l.link)
	return l.link
}

// move leaves the connection to the calls that are out on it; the last answer closes it.
func (l *line) move(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr == addr {
		return
	}
	k := l.link
	l.addr, l.link = addr, nil
	if k != nil && len(k.out) == 0 {
		k.over = true
		_ = k.conn.Close()
	}
}

// down closes a connection, once. What was written on it may have been added.
func (l *line) down(k *link, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.over {
		return
	}
	k.over = true
	_ = k.conn.Close()
	if l.link == k {
		l.link = nil
	}
	if len(k.out) > 0 {
		l.log.Info("a connection to the counter is lost", zap.String("why", why), zap.Int("calls", len(k.out)))
	}
	for _, c := range k.out {
		c.told(0, policy.TimedOut)
	}
}

// read matches answers with calls, in order. A line is as long as the reader's one buffer at most: an answer
// without an end ends the connection and takes no memory.
func (l *line) read(k *link) {
	for {
		text, err := k.conn.R.ReadSlice('\n')
		why := "a spoilt answer"
		switch {
		case err == nil:
			why = l.match(k, string(text))
		case errors.Is(err, os.ErrDeadlineExceeded):
			why = "silent"
		case err != bufio.ErrBufferFull:
			why = err.Error()
		}
		if why != "" {
			l.down(k, why)
			return
		}
	}
}

// match tells the oldest call on a connection its answer, and says why the connection is to end, if it is. A
// spoilt answer leaves its call among those that may have been added: it was.
func (l *line) match(k *link, text string) (end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.out) == 0 {
		return "an answer to no call"
	}
	total, how, good := answer(text)
	if !good {
		return "a spoilt answer"
	}
	c := k.out[0]
	k.out = k.out[1:]
	l.wait(k)
	c.told(total, how)
	if l.link != k && len(k.out) == 0 {
		return "the counter has moved"
	}
	return ""
}

// answer reads a line: what is turned away or no such call has added nothing. Any other line is spoilt.
func answer(line string) (total float64, how policy.Outcome, good bool) {
	text, ended := strings.CutSuffix(line, "\r\n")
	if figure, ok := strings.CutPrefix(text, "ok "); ok {
		v, err := strconv.ParseFloat(figure, 64)
		return v, policy.Answered, ended && err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return 0, policy.Full, ended && (text == "busy" || text == "error")
}
