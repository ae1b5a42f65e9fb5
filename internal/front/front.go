// Package front serves clients: it accepts, reads tasks, has each carried, and answers in the order of the
// tasks on a connection.
package front

import (
	"context"
	"errors"
	"math"
	"net"
	"net/textproto"
	"slices"
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
	talkMost   = 3 * time.Second        // the longest deadline counted: who takes longer over an answer has gone
	wordsTime  = time.Second            // who takes longer over a command is no client; with mumMost under 3 s
	easyPart   = 0.6                    // of the places: more are for floods. Clients keep to a third of the sockets
	mumMost    = 1500 * time.Millisecond
	keepLeast  = 2 * time.Second        // clients ask again within this, if they do
	idleMost   = 10 * time.Second       // a client that asks no more has gone, or opens another connection
	lookEvery  = 250 * time.Millisecond // at idle connections
	freshMost  = 100 * time.Millisecond // who has just connected is about to send; after this it is idle like others
	crowdLook  = 20 * time.Millisecond  // how often a place is looked for
	partMost   = time.Second            // a client whose words were no command has so long to read that
	rudePause  = 10 * time.Millisecond  // between commands of a client after one that could not be used
	atOnceMost = 16                     // tasks in hand of one connection: clients send one, floods hundreds
	customers  = 1 << 33                // their numbers are below
)

// Front owns the connections of clients.
type Front struct {
	gate  *gate.Gate
	fleet *fleet.Fleet
	log   *zap.Logger
	shape atomic.Pointer[shape]
	ready atomic.Bool
	work  chan work // to carriers that are free

	places  chan struct{} // one a connection; one more may have come and wait
	mu      sync.Mutex
	clients map[*client]struct{}
	ids     map[string]struct{} // of open tasks
	closing atomic.Bool
	served  chan struct{}  // closed once nothing more is accepted
	gone    sync.WaitGroup // clients
}

// shape is what tasks are read by. Another takes its place whole: a task is read by one of them.
type shape struct {
	lanes    map[string]lane
	plans    map[string]int
	gateways int
	units    float64 // the most of a task; 0: not told
}

type lane struct {
	number int
	policy.Lane
}

// New makes a front that holds at most so many connections.
func New(site *policy.Deployment, g *gate.Gate, f *fleet.Fleet, most int, log *zap.Logger) *Front {
	fr := &Front{gate: g, fleet: f, log: log, ids: map[string]struct{}{},
		places: make(chan struct{}, max(most, 1)), clients: map[*client]struct{}{},
		served: make(chan struct{}), work: make(chan work)}
	fr.Reshape(site)
	return fr
}

// Reshape has tasks read by other settings from here on, those that the gate gave as in force. Lanes and plans that
// are closed are not known to clients any more.
func (f *Front) Reshape(site *policy.Deployment) {
	s := &shape{lanes: map[string]lane{}, plans: map[string]int{}, gateways: site.Gateways, units: site.MostUnits}
	for i, l := range site.Lanes {
		if !l.Closed {
			s.lanes[l.Name] = lane{i, l}
		}
	}
	for i, p := range site.Plans {
		if !p.Closed {
			s.plans[p.Name] = i
		}
	}
	f.shape.Store(s)
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
		if easy := int(easyPart * float64(cap(f.places))); len(f.places) > easy {
			f.evict(easy)
		}
		c := &client{front: f, conn: resp.NewConn(conn), turns: make(chan struct{}, atOnceMost),
			out: map[*gate.Errand]struct{}{}, used: time.Now(), fresh: true}
		f.mu.Lock()
		f.clients[c] = struct{}{}
		f.mu.Unlock()
		f.gone.Add(1)
		go c.read()
	}
}

// place takes a place for a connection that has come; where none is free, another loses its own. It is not asked
// before: each connection that closes may cross a task on its way.
func (f *Front) place() {
	select {
	case f.places <- struct{}{}:
		return
	default:
	}
	for {
		f.evict(0)
		select {
		case f.places <- struct{}{}:
			return
		case <-time.After(crowdLook): // who had just connected and stays mum is idle by and by
		}
	}
}

// evict ends one idle connection, if there are more than so many besides those that have just come: one that never
// asked anything if there is any, else the one that has been idle longest. Only while most places are held by those
// that have just come and say nothing yet, which is a flood, a client that was answered a moment ago keeps its own:
// they are idle like others in no time.
func (f *Front) evict(easy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	type idler struct {
		*client
		since time.Time
		mum   bool
	}
	var all []idler
	young := 0
	for c := range f.clients {
		since, mum, idle := c.idle()
		if mum && !idle {
			young++
		}
		if idle {
			all = append(all, idler{c, since, mum})
		}
	}
	if len(f.clients)-young <= easy {
		return
	}
	slices.SortFunc(all, func(a, b idler) int {
		if a.mum != b.mum {
			return map[bool]int{true: -1, false: 1}[a.mum]
		}
		return a.since.Compare(b.since)
	})
	for _, c := range all {
		if young > cap(f.places)/2 && !c.mum && time.Since(c.since) < keepLeast {
			return
		}
		if c.leave() {
			return
		}
	}
}

// Sweep ends connections in time that say nothing, or ask nothing more, until the context ends.
func (f *Front) Sweep(ctx context.Context) {
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		f.mu.Lock()
		for c := range f.clients {
			since, mum, idle := c.idle()
			if quiet := time.Since(since); idle && (quiet > idleMost || mum && quiet > mumMost) {
				c.leave()
			}
		}
		f.mu.Unlock()
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
		_ = c.conn.SetReadDeadline(time.Now().Add(wordsTime))
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
			if line != pong {
				time.Sleep(rudePause) // else one that goes on and on takes all of our time
			}
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
	c.front.shut(w.what.ID)
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

// answer writes an answer when its turn has come. In a front that closes, the last one ends the connection.
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
	} else if c.front.closing.Load() {
		c.leave()
	}
}

// idle tells since when the connection has been idle, if it is, and whether it never asked anything: closed then,
// it costs its client nothing but a new one. Who has just connected has sent a task, or is about to; closed on, it
// would take that for lost.
func (c *client) idle() (since time.Time, mum, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.fresh && c.busy == 0, c.isIdle()
}

func (c *client) isIdle() bool {
	return c.busy == 0 && !c.over && (!c.fresh || time.Since(c.used) >= freshMost)
}

// leave ends the connection if it is idle, and tells whether it did. What has come and was not read yet is to be
// read and answered; as the reader takes one byte of a command before it says begin, the rest still stands in the
// system until then. What crosses the end is not taken: the client can tell, and sends it again elsewhere.
func (c *client) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isIdle() || !c.conn.Quiet() {
		return false
	}
	c.over = true
	c.conn.Break()
	return true
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

const (
	late = "-ERR deadline passed"
	pong = "+PONG"
)

// open notes a task's id; false if a task with that id is open.
func (f *Front) open(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, taken := f.ids[id]
	f.ids[id] = struct{}{}
	return !taken
}

func (f *Front) shut(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ids, id)
}

// parse reads a command: a task, whose id is open from here on, or a line that answers it at once.
func (c *client) parse(cmd *resp.Command) (gate.Task, *fleet.Parcel, string) {
	var t gate.Task
	verb := cmd.Words[0]
	switch {
	case strings.EqualFold(verb, "PING"):
		if c.front.ready.Load() {
			return t, nil, pong
		}
		return t, nil, "-ERR not ready"
	case verb != "SVC.QUERY" && verb != "SVC.SUBMIT":
		return t, nil, "-ERR unknown command"
	}
	query := verb == "SVC.QUERY"
	if len(cmd.Words) != wordsMost || query != (cmd.Body == nil) {
		return t, nil, "-ERR wrong number of words"
	}
	var err error
	if t.Customer, err = strconv.ParseUint(cmd.Words[1], 16, 64); err != nil || len(cmd.Words[1]) != 16 || t.Customer >= customers {
		return t, nil, "-ERR no customer"
	}
	e := &fleet.Parcel{Verb: verb, Customer: cmd.Words[1], ID: cmd.Words[2], Body: cmd.Body}
	if line := c.front.shape.Load().terms(&t, e, cmd.Words[3], query); line != "" {
		return t, nil, line
	}
	// The patience counts from the sending. What waited in the system, for a place or while we stood still, is
	// off it; without that, an answer would come to a client that has gone.
	if t.Patience -= c.conn.Age(); t.Patience <= 0 {
		return t, nil, late
	}
	if e.ID == "" || !c.front.open(e.ID) {
		return t, nil, "-ERR no id of its own"
	}
	return t, e, ""
}

// terms reads the list of names and values, each name once; unknown names are passed on unread. What is out of
// range is refused here: the module takes what it is handed.
func (f *shape) terms(t *gate.Task, e *fleet.Parcel, list string, query bool) string {
	t.Plan, t.Units, t.Width = -1, 1, 1
	var l *lane
	key := false
	var seen []string
	for at := 0; at < len(list); {
		pair, _, _ := strings.Cut(list[at:], ",")
		name, value, _ := strings.Cut(pair, "=")
		if name == "" || value == "" || slices.Contains(seen, name) {
			return "-ERR an empty or doubled name"
		}
		seen = append(seen, name)
		good := true
		switch name {
		case "c":
			known, ok := f.lanes[value]
			l, good = &known, ok && (known.Effect == policy.Pure) == query
		case "t":
			t.Plan, good = f.plans[value]
		case "d":
			var ms float64
			ms, good = figure(value)
			if good && !(ms > 0 && ms < math.MaxInt32) {
				return late
			}
			t.Patience = time.Duration(ms * float64(time.Millisecond))
			e.Before, e.After = list[:at+len("d=")], list[at+len(pair):]
		case "k":
			key = true
		case "r":
			t.Repeat, good = value == "1", value == "0" || value == "1"
		case "units":
			t.Units, good = figure(value)
			good = good && t.Units > 0 && (f.units <= 0 || t.Units <= f.units)
		case "spread":
			t.Width, good = within(value, 1, f.gateways)
		case "first":
			t.First, good = within(value, 0, f.gateways-1)
		}
		if !good {
			return "-ERR unknown, no number or out of range: " + name
		}
		at += len(pair) + 1
	}
	if l == nil || t.Plan < 0 || t.Patience <= 0 || l.Effect == policy.Receipted && !key {
		return "-ERR class, plan, deadline or key is missing"
	}
	t.Lane, t.Patience = l.number, min(t.Patience, l.Patience)
	return ""
}

// figure reads a plain decimal number.
func figure(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && strings.Trim(text, "0123456789.") == ""
}

// within reads a whole number in a range.
func within(text string, least, most int) (int, bool) {
	v, err := strconv.Atoi(text)
	return v, err == nil && v >= least && v <= most
}
