// Package front serves clients: it accepts, reads tasks, has each carried, and answers in the order of the
// tasks on a connection.
package front

import (
	"errors"
	"math"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/fleet"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/resp"
	"harrierhoist/policy"
)

const (
	keepTaking = 450 * time.Millisecond // after SIGTERM clients come for 0.4 s, and every limit has 50 ms more
	wordsMost  = 4                      // of a command, besides a value
	talkMost   = 3 * time.Second        // the longest deadline counted: who takes longer over a command or answer has gone
	freshMost  = 250 * time.Millisecond // who has just connected is about to send; after this it is idle like others
	partMost   = time.Second            // a client whose words were no command has so long to read that
)

// Front owns the connections of clients.
type Front struct {
	gate  *gate.Gate
	fleet *fleet.Fleet
	log   *zap.Logger
	lanes map[string]lane
	plans map[string]int
	onOne int
	ready atomic.Bool
	work  chan work // to carriers that are free

	places  chan struct{} // one a connection; one more may have come and wait
	crowded atomic.Bool   // it does wait
	mu      sync.Mutex
	clients map[*client]struct{}
	closing atomic.Bool
	served  chan struct{}  // closed once nothing more is accepted
	gone    sync.WaitGroup // clients
}

type lane struct {
	number int
	pure   bool
}

// New makes a front that holds at most so many connections, with at most so many tasks at once on each.
func New(site *policy.Deployment, g *gate.Gate, f *fleet.Fleet, onOne, most int, log *zap.Logger) *Front {
	fr := &Front{gate: g, fleet: f, log: log, lanes: map[string]lane{}, plans: map[string]int{}, onOne: onOne,
		places: make(chan struct{}, max(most, 1)), clients: map[*client]struct{}{},
		served: make(chan struct{}), work: make(chan work)}
	for i, l := range site.Lanes {
		fr.lanes[l.Name] = lane{i, l.Effect == policy.Pure}
	}
	for i, p := range site.Plans {
		fr.plans[p.Name] = i
	}
	return fr
}

// Ready lets PING be answered well from here on.
func (f *Front) Ready() { f.ready.Store(true) }

// Serve accepts clients until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	defer close(f.served)
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.log.Warn("a client could not be accepted", zap.Error(err))
			time.Sleep(time.Millisecond) // lack of descriptors passes, and must not spin
			continue
		}
		f.place()
		c := &client{front: f, conn: resp.NewConn(conn), turns: make(chan struct{}, f.onOne),
			out: map[*gate.Errand]struct{}{}, used: time.Now(), fresh: true}
		f.mu.Lock()
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		f.gone.Add(1)
		go c.read()
	}
}

// place takes a place for a connection that has come; where none is free, the client idle longest loses its own.
// It is not asked before: each connection that closes may cross a task on its way.
func (f *Front) place() {
	select {
	case f.places <- struct{}{}:
		return
	default:
	}
	f.crowded.Store(true) // whoever becomes idle leaves
	defer f.crowded.Store(false)
	for {
		f.evict()
		select {
		case f.places <- struct{}{}:
			return
		case <-time.After(freshMost): // who had just connected and stays mum is idle now
		}
	}
}

// evict ends the connection that has been idle longest.
func (f *Front) evict() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *client
	since := time.Now()
	for c := range f.clients {
		if used, idle := c.idle(); idle && used.Before(since) {
			oldest, since = c, used
		}
	}
	if oldest != nil {
		oldest.leave()
	}
}

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

// client is one connection.
type client struct {
	front *Front
	conn  *resp.Conn
	turns chan struct{}      // one a task in hand: bounds them
	order textproto.Pipeline // answers go in the order of their tasks

	mu    sync.Mutex
	out   map[*gate.Errand]struct{}
	busy  int       // commands in hand
	used  time.Time // when it came, or was last answered
	fresh bool      // nothing was answered yet
	over  bool      // the connection has ended
}

// read reads commands until the client goes, which it sees also while tasks are out. It owns the connection.
func (c *client) read() {
	defer c.end()
	for {
		if c.conn.Await() != nil || !c.begin() {
			return
		}
		c.turns <- struct{}{}
		_ = c.conn.SetReadDeadline(time.Now().Add(talkMost))
		cmd, err := c.conn.ReadCommand(wordsMost)
		_ = c.conn.SetReadDeadline(time.Time{})
		var bad resp.BadMessage
		if err != nil && !errors.As(err, &bad) {
			return
		}
		turn := c.order.Next()
		if err != nil {
			c.answer(turn, func() error { return c.conn.WriteLine("-ERR " + bad.Error()) })
			c.conn.Part(partMost)
			return
		}
		if t, e, line := c.parse(cmd); line != "" {
			cmd.Body.Free()
			go c.answer(turn, func() error { return c.conn.WriteLine(line) })
		} else {
			c.front.hand(work{c, turn, c.admit(t), e})
		}
	}
}

// admit hands a task over and remembers it, to tell of the client's going.
func (c *client) admit(t gate.Task) *gate.Errand {
	e := c.front.gate.Admit(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out[e] = struct{}{}
	return e
}

// work is a task for a carrier.
type work struct {
	client *client
	turn   uint
	errand *gate.Errand
	what   *fleet.Parcel
}

// hand gives a task to a carrier that is free, or else to a new one. Carriers stay: the stack of a goroutine
// grows to what a task needs once, not with each task. There are as many as there were ever tasks at once.
func (f *Front) hand(w work) {
	select {
	case f.work <- w:
	default:
		go func() {
			w.carry()
			for w := range f.work {
				w.carry()
			}
		}()
	}
}

// carry takes a task through its stages to its answer.
func (w work) carry() {
	c := w.client
	write := c.do(w.errand, w.what)
	w.what.Body.Free()
	c.mu.Lock()
	delete(c.out, w.errand)
	c.mu.Unlock()
	c.answer(w.turn, write)
}

// do carries a task and gives what writes its answer.
func (c *client) do(e *gate.Errand, what *fleet.Parcel) func() error {
	for {
		switch choice := e.Pick(); choice.Verdict {
		case gate.Push:
			result, value := c.front.fleet.Push(choice.Wanted, choice.Server, what, choice.Until)
			e.Report(result)
			if value != nil {
				return func() error {
					defer value.Free()
					return c.conn.WriteValue(value)
				}
			}
		case gate.Reject:
			return func() error { return c.conn.WriteLine(busy(choice.Away)) }
		case gate.Terminate:
			return func() error { return c.conn.WriteLine("-ERR failed") }
		case gate.Left:
			return func() error { return net.ErrClosed }
		}
	}
}

// busy words a rejection.
func busy(away time.Duration) string {
	if away <= 0 {
		return "-BUSY"
	}
	return "-BUSY " + strconv.FormatInt(int64(math.Ceil(float64(away)/float64(time.Millisecond))), 10)
}

// answer writes an answer when its turn has come. In a front that closes, or that has no place for the next
// client, the last one ends the connection.
func (c *client) answer(turn uint, write func() error) {
	c.order.StartResponse(turn)
	_ = c.conn.SetWriteDeadline(time.Now().Add(talkMost))
	err := write()
	c.order.EndResponse(turn)
	<-c.turns
	c.mu.Lock()
	c.busy--
	c.used, c.fresh = time.Now(), false
	c.mu.Unlock()
	if err != nil {
		_ = c.conn.Close()
	} else if c.front.crowded.Load() || c.front.closing.Load() {
		c.leave()
	}
}

// idle tells since when the connection has been idle, if it is: closed then, it costs its client nothing but a
// new one. Who has just connected has sent a task, or is about to; closed on, it would take that for lost.
func (c *client) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.isIdle()
}

func (c *client) isIdle() bool {
	return c.busy == 0 && !c.over && (!c.fresh || time.Since(c.used) >= freshMost)
}

// leave ends the connection if it is idle. What has come and was not read yet is to be read and answered; as the
// reader takes one byte of a command before it says begin, the rest still stands in the system until then. What
// crosses the end is not taken: the client can tell, and sends it again elsewhere.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isIdle() && c.conn.Quiet() {
		c.over = true
		c.conn.Break()
	}
}

// begin counts a command whose first byte has come, unless the connection was given up meanwhile.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.over {
		c.busy++
	}
	return !c.over
}

// end tells the gate which tasks have lost their client, and gives the place back.
func (c *client) end() {
	c.mu.Lock()
	c.over = true
	var left []*gate.Errand
	for e := range c.out {
		left = append(left, e)
	}
	c.mu.Unlock()
	for _, e := range left {
		e.Gone()
	}
	_ = c.conn.Close()
	f := c.front
	f.mu.Lock()
	delete(f.clients, c)
	f.mu.Unlock()
	<-f.places
	f.gone.Done()
}

const late = "-ERR deadline passed"

// parse reads a command: a task, or a line that answers it at once.
func (c *client) parse(cmd *resp.Command) (gate.Task, *fleet.Parcel, string) {
	var t gate.Task
	verb := strings.ToUpper(cmd.Words[0])
	switch verb {
	case "PING":
		if c.front.ready.Load() {
			return t, nil, "+PONG"
		}
		return t, nil, "-ERR not ready"
	case "SVC.QUERY", "SVC.SUBMIT":
	default:
		return t, nil, "-ERR unknown command"
	}
	if len(cmd.Words) != wordsMost {
		return t, nil, "-ERR wrong number of words"
	}
	var err error
	if t.Customer, err = strconv.ParseUint(cmd.Words[1], 16, 64); err != nil {
		return t, nil, "-ERR customer is no number"
	}
	e := &fleet.Parcel{Verb: cmd.Words[0], Customer: cmd.Words[1], ID: cmd.Words[2], Body: cmd.Body}
	line := c.front.terms(&t, e, cmd.Words[3], verb == "SVC.QUERY")
	// The patience counts from the sending. What waited in the system, for a place or while we stood still, is
	// off it; without that, an answer would come to a client that has gone.
	if t.Patience -= c.conn.Age(); line == "" && t.Patience <= 0 {
		line = late
	}
	return t, e, line
}

// terms reads the list of names and values; unknown names are passed on unread.
func (f *Front) terms(t *gate.Task, e *fleet.Parcel, list string, query bool) string {
	t.Lane, t.Plan, t.Units, t.Width = -1, -1, 1, 1
	for at := 0; at < len(list); {
		pair, _, _ := strings.Cut(list[at:], ",")
		name, value, _ := strings.Cut(pair, "=")
		var err error
		switch name {
		case "c":
			l, known := f.lanes[value]
			if !known || l.pure != query {
				return "-ERR unknown class"
			}
			t.Lane = l.number
		case "t":
			n, known := f.plans[value]
			if !known {
				return "-ERR unknown plan"
			}
			t.Plan = n
		case "d":
			var ms float64
			if ms, err = strconv.ParseFloat(value, 64); err == nil && !(ms > 0 && ms < math.MaxInt32) {
				return late
			}
			t.Patience = time.Duration(ms * float64(time.Millisecond))
			e.Before, e.After = list[:at+len("d=")], list[at+len(pair):]
		case "r":
			t.Repeat = value == "1"
		case "units":
			if t.Units, err = strconv.ParseFloat(value, 64); err == nil && !(t.Units > 0 && t.Units < math.MaxInt32) {
				return "-ERR units out of range"
			}
		case "spread":
			t.Width, err = strconv.Atoi(value)
		case "first":
			t.First, err = strconv.Atoi(value)
		}
		if err != nil {
			return "-ERR no number: " + name
		}
		at += len(pair) + 1
	}
	if t.Lane < 0 || t.Plan < 0 || t.Patience <= 0 {
		return "-ERR class, plan or deadline is missing"
	}
	return ""
}
