// Package fleet keeps connections to servers: it pushes tasks to them, gives pushes up and probes. Where to is
// said by others. One push goes on a connection at a time, so that none waits behind a longer one.
package fleet

import (
	"context"
	"errors"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"harrierhoist/internal/gate"
	"harrierhoist/internal/resp"
	"harrierhoist/policy"
)

const (
	// The part of the servers' idle limit after which we drop a connection. The limit is theirs and may be kept
	// early; half leaves room for that and for a slow machine.
	idlePart = 2
	// So long a connection rests after an answer if others can be had: what a server sends right behind it, which
	// would be taken for the next answer, is here by then, and the connection is not quiet.
	restLeast = 2 * time.Millisecond
	// percent is the unit in which servers tell a customer's use of its rate.
	percent = 100
)

// Fleet owns the connections to servers.
type Fleet struct {
	connectWithin, idleMost time.Duration
	reports                 []string // the figures of a load report

	most  int
	mu    sync.Mutex
	open  int // connections that are up, or coming up
	rests rests
	kept  map[spot][]*kept // idle ones, the latest used last
}

// spot is where a connection goes: a new server at an old address gets none of the earlier one's.
type spot struct{ name, dial string }

func at(s gate.Server) spot { return spot{s.Name, s.Dial} }

// kept is a connection and when it was last used.
type kept struct {
	*resp.Conn
	used time.Time // zero: not yet
}

// New makes a fleet that holds at most so many connections.
func New(connectWithin, idleLimit time.Duration, reports []string, most int) *Fleet {
	return &Fleet{connectWithin: connectWithin, idleMost: idleLimit / idlePart, reports: reports, most: most,
		kept: map[spot][]*kept{}}
}

// Kept is how long a connection that nobody uses is kept.
func (f *Fleet) Kept() time.Duration { return f.idleMost }

// Parcel is what a push carries: the command as the client worded it, but for the time that we will wait.
type Parcel struct {
	Verb, Customer, ID string
	Before, After      string // the list of names and values, up to the patience's figure and from behind it
	Body               *resp.Bulk
}

func (p *Parcel) command(until time.Time) *resp.Command {
	left := max(time.Until(until).Milliseconds(), 1)
	list := p.Before + strconv.FormatInt(left, 10) + p.After
	return &resp.Command{Words: []string{p.Verb, p.Customer, p.ID, list}, Body: p.Body}
}

// Push sends a task to a server and waits for how that ends; a value comes only with Answered and is the
// caller's to free. The context gives the push up, which closes its connection.
func (f *Fleet) Push(ctx context.Context, to gate.Server, p *Parcel, until time.Time) (gate.Result, *resp.Bulk) {
	began := time.Now()
	if ctx.Err() != nil {
		return gate.Result{Outcome: policy.Moot}, nil
	}
	c, err := f.take(ctx, at(to), until)
	if err != nil {
		return gate.Result{Outcome: unsent(ctx)}, nil
	}
	stop := context.AfterFunc(ctx, c.Abort)
	rest := time.Since(c.used)
	reply, how := f.exchange(ctx, c, p.command(until), until)
	wanted := stop()
	if !c.used.IsZero() && wanted {
		f.mu.Lock()
		f.rests.add(time.Now(), rest, how == ended || how == unwritten)
		f.mu.Unlock()
	}
	if how == answered {
		out, value, good := f.result(reply)
		if good && wanted {
			f.keep(at(to), c)
		} else {
			f.drop(c) // of no use after a spoilt answer; given up as it came, a good one counts all the same
		}
		return out, value
	}
	f.drop(c)
	out := gate.Result{Outcome: policy.Reset}
	switch {
	case how == unwritten:
		out.Outcome = unsent(ctx)
	case !wanted:
		out.Outcome = policy.Cancelled
	case how == silent:
		out.Outcome = policy.TimedOut
	}
	if !wanted || how == silent {
		// No answer: the machine may be gone without a word. Connections to it that were last used before are
		// dropped, as they would be silent too; if it was one long task, they are made again.
		f.sweep(at(to), began)
	}
	return out, nil
}

// exchanged is how far an exchange came.
type exchanged uint8

const (
	unwritten exchanged = iota // the command's last byte was not written
	silent                     // no answer by the deadline
	ended                      // the connection ended before an answer
	spoilt                     // an answer began and is none, or did not go on
	answered
)

// exchange sends a command and waits for the reply. Once that has begun, the rest must follow in the time that a
// connection may take to come up: servers write an answer in one go.
func (f *Fleet) exchange(ctx context.Context, c *kept, cmd *resp.Command, until time.Time) (*resp.Reply, exchanged) {
	limit := func(t time.Time) {
		_ = c.SetDeadline(t)
		if ctx.Err() != nil { // given up meanwhile, which the limit has undone
			c.Abort()
		}
	}
	limit(until)
	if c.WriteCommand(cmd) != nil {
		return nil, unwritten
	}
	if err := c.Await(); errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, silent
	} else if err != nil {
		return nil, ended
	}
	if soon := time.Now().Add(f.connectWithin); soon.Before(until) {
		limit(soon)
	}
	reply, err := c.ReadReply()
	if err != nil {
		return nil, spoilt
	}
	return reply, answered
}

// unsent is the outcome of a push that never reached a server whole.
func unsent(ctx context.Context) policy.Outcome {
	if ctx.Err() != nil {
		return policy.Moot
	}
	return policy.NoConnect
}

// result reads a reply. Good are the forms that servers show: an array of the value, use and load; ERR failed or
// BUSY with notes at most. Anything else is spoilt: the task may have run, whatever the line says.
func (f *Fleet) result(r *resp.Reply) (out gate.Result, value *resp.Bulk, good bool) {
	notes := r.Notes
	switch words := strings.Fields(r.Line); {
	case r.Kind == '*' && r.Value != nil && len(notes) == notesMany:
		out.Outcome = policy.Answered
	case r.Kind == '-' && len(words) >= 2 && words[0] == "ERR" && words[1] == "failed":
		out.Outcome, notes = policy.Errored, words[2:]
	case r.Kind == '-' && len(words) >= 1 && words[0] == "BUSY" && !slices.ContainsFunc(words[1:], noNote):
		out.Outcome, notes = policy.Full, words[1:]
	default:
		r.Value.Free()
		return gate.Result{Outcome: policy.Reset}, nil, false
	}
	for _, note := range notes {
		f.read(&out, note)
	}
	return out, r.Value, true
}

// notesMany is how many notes follow a value: use and load, either perhaps null.
const notesMany = 2

func noNote(word string) bool { return !strings.Contains(word, "=") }

// read takes the figures from a note such as used=37,cost=4.
func (f *Fleet) read(out *gate.Result, note string) {
	report := make([]float32, 0, len(f.reports))
	figures := map[string]float64{}
	for pair := range strings.SplitSeq(note, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && !math.IsInf(v, 1) {
			figures[name] = v
		}
	}
	if cost, told := figures["cost"]; told {
		out.Billed = cost
	}
	if used, told := figures["used"]; told {
		out.Use = 1 + used/percent
	}
	for _, name := range f.reports {
		if v, told := figures[name]; told {
			report = append(report, float32(v))
		}
	}
	if len(report) > 0 {
		out.Report = report
	}
}

// Probe asks a server for its load, or only whether it is there where servers tell no load.
func (f *Fleet) Probe(to gate.Server, told func(gate.Result)) {
	until := time.Now().Add(f.connectWithin)
	c, err := f.take(context.Background(), at(to), until)
	if err != nil {
		told(gate.Result{Outcome: policy.NoConnect})
		return
	}
	words := []string{"PING"}
	if len(f.reports) > 0 {
		words = []string{"INFO", "load"}
	}
	reply, how := f.exchange(context.Background(), c, &resp.Command{Words: words}, until)
	if how != answered {
		f.drop(c)
		told(gate.Result{Outcome: policy.TimedOut})
		return
	}
	f.keep(at(to), c)
	out := gate.Result{Outcome: policy.Errored}
	if reply.Kind != '-' {
		out.Outcome = policy.Answered
	}
	if reply.Value != nil {
		f.read(&out, reply.Value.String())
		reply.Value.Free()
	}
	told(out)
}

// take gives an idle connection that stands and is not stale, or a new one.
func (f *Fleet) take(ctx context.Context, to spot, until time.Time) (*kept, error) {
	for {
		c := f.idle(to)
		if c == nil {
			break
		}
		f.mu.Lock()
		rest := time.Since(c.used)
		stale := rest >= f.idleMost || f.rests.stale(rest)
		f.mu.Unlock()
		if !stale && c.Quiet() {
			return c, nil
		}
		f.drop(c)
	}
	if !f.reserve() {
		return nil, errors.New("no connection to spare")
	}
	dialer := net.Dialer{Timeout: f.connectWithin, Deadline: until}
	conn, err := dialer.DialContext(ctx, "tcp", to.dial)
	if err != nil {
		f.release()
		return nil, err
	}
	return &kept{Conn: resp.NewConn(conn)}, nil
}

// idle takes the idle connection used last, of those that have rested if there are any.
func (f *Fleet) idle(to spot) *kept {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.kept[to]
	if len(list) == 0 {
		return nil
	}
	i := len(list) - 1
	for i > 0 && time.Since(list[i].used) < restLeast {
		i--
	}
	c := list[i]
	f.kept[to] = slices.Delete(list, i, i+1)
	return c
}

// reserve makes room for one connection more, if need be by dropping one that stood idle longest.
func (f *Fleet) reserve() bool {
	f.mu.Lock()
	if f.open < f.most {
		f.open++
		f.mu.Unlock()
		return true
	}
	var oldest spot
	var c *kept
	for to, list := range f.kept {
		if len(list) > 0 && (c == nil || list[0].used.Before(c.used)) {
			oldest, c = to, list[0]
		}
	}
	if c == nil {
		f.mu.Unlock()
		return false
	}
	f.kept[oldest] = f.kept[oldest][1:]
	f.mu.Unlock()
	_ = c.Close() // the new one takes its place
	return true
}

func (f *Fleet) release() {
	f.mu.Lock()
	f.open--
	f.mu.Unlock()
}

// drop closes a connection that is not idle.
func (f *Fleet) drop(c *kept) {
	_ = c.Close()
	f.release()
}

// keep makes a connection idle, unless something stands behind the reply: it would be taken for the next one's.
func (f *Fleet) keep(to spot, c *kept) {
	if !c.Drained() {
		f.drop(c)
		return
	}
	c.used = time.Now()
	f.mu.Lock()
	f.kept[to] = append(f.kept[to], c)
	f.mu.Unlock()
}

// Sweep drops connections in time that nobody uses, until the context ends.
func (f *Fleet) Sweep(ctx context.Context) {
	every := time.NewTicker(max(f.idleMost/4, time.Second))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		f.mu.Lock()
		all := slices.Collect(maps.Keys(f.kept))
		f.mu.Unlock()
		for _, to := range all {
			f.sweep(to, time.Now().Add(-f.idleMost))
		}
	}
}

// sweep drops a server's idle connections that were last used before a time.
func (f *Fleet) sweep(to spot, before time.Time) {
	f.mu.Lock()
	list := f.kept[to]
	n := 0
	for n < len(list) && list[n].used.Before(before) {
		n++
	}
	old := list[:n]
	if f.kept[to] = list[n:]; n == len(list) {
		delete(f.kept, to)
	}
	f.open -= n
	f.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
