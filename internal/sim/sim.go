// Package sim hosts gateways on the simulator's wire: any number of instances that share nothing. It
// translates records into the module's types and the module's calls into records, and decides nothing.
package sim

import (
	"fmt"
	"io"
	"time"

	"harrierhoist/internal/boot"
	"harrierhoist/internal/wire"
	"harrierhoist/policy"
)

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	fleet := map[uint32]*instance{}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply, bad := answer(fleet, batch)
		if bad != nil {
			bad.Batch = reader.Count()
			return bad
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", reader.Count(), err)
		}
	}
}

// answer plays one batch. Actions stand in the order of the events, under the instance that each event is
// for.
func answer(fleet map[uint32]*instance, batch *wire.Batch) ([]byte, *wire.BadFrame) {
	reply := wire.NewReply(batch.Serial)
	now := boot.Span(batch.ClockMs)
	var id uint32
	named := false
	for _, ev := range batch.Events {
		if ev.Code == wire.EvTo {
			id, named = ev.To, true
			continue
		}
		if !named {
			return nil, &wire.BadFrame{Byte: ev.At, What: fmt.Sprintf("event %d before any 'to'", ev.Code)}
		}
		if ev.Code == wire.EvSpawn {
			in, err := spawn(id, ev.Value.(wire.Spawn))
			if err != nil {
				return nil, &wire.BadFrame{Byte: ev.At, What: err.Error()}
			}
			fleet[id] = in
			continue
		}
		in := fleet[id]
		if in == nil {
			what := fmt.Sprintf("event %d for gateway %d, which is not running", ev.Code, id)
			return nil, &wire.BadFrame{Byte: ev.At, What: what}
		}
		if ev.Code == wire.EvRetire {
			delete(fleet, id)
			continue
		}
		in.reply = reply
		in.guarded(now, ev)
	}
	return reply.Bytes(), nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// instance is one gateway and the host that it calls.
type instance struct {
	id      uint32
	gateway *policy.Gateway
	reply   *wire.Reply
	faulted bool
}

func spawn(id uint32, s wire.Spawn) (*instance, error) {
	pairs, err := boot.ParsePairs(string(s.BootInfo))
	if err != nil {
		return nil, err
	}
	site, err := boot.Deployment(pairs)
	if err != nil {
		return nil, err
	}
	in := &instance{id: id}
	in.gateway, err = policy.New(site, int64(s.Salt), in)
	if err != nil {
		return nil, err
	}
	return in, nil
}

// guarded delivers an event; a panic in the decisions becomes one internal_error, and the instance stays
// silent then.
func (in *instance) guarded(now time.Duration, ev wire.Event) {
	if in.faulted {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			in.faulted = true
			in.reply.By(in.id)
			in.reply.InternalError(fmt.Sprint(r))
		}
	}()
	in.deliver(now, ev)
}

func (in *instance) deliver(now time.Duration, ev wire.Event) {
	g := in.gateway
	switch ev.Code {
	case wire.EvView:
		v := ev.Value.(wire.View)
		g.List(now, listKind(v.Kind), listed(v.Hosts))
	case wire.EvSubmit:
		s := ev.Value.(wire.Submit)
		g.Take(now, policy.Task{ID: s.ID, Lane: int(s.Cls), Plan: int(s.Terms), Customer: s.Customer,
			First: int(s.SetStart), Width: int(s.Width), Units: float64(s.CostUnits), Expires: boot.Span(s.ExpiresMs),
			Repeat: s.Opts&2 != 0})
	case wire.EvResponse:
		r := ev.Value.(wire.Response)
		g.Ended(now, policy.Push{Task: r.ID, Number: int(r.Hop), Server: r.Server, Outcome: outcome(r.How),
			Took: boot.Span(r.SpentMs), Done: r.NoMore, Billed: float64(r.Billed),
			Use: use(r.UsePct), Report: r.HealthInfo})
	case wire.EvFirst:
		f := ev.Value.(wire.First)
		g.Begun(now, f.ID, int(f.Hop))
	case wire.EvLapsed:
		g.Lapsed(now, ev.ID)
	case wire.EvTimer:
		g.Woke(now, ev.Ctx)
	case wire.EvLedgerReply:
		c := ev.Value.(wire.LedgerReply)
		g.Counted(now, policy.Tally{Name: c.Name, Total: float64(c.Level), Took: boot.Span(c.SpentMs),
			Outcome: outcome(c.How)})
	case wire.EvProbeResult:
		p := ev.Value.(wire.ProbeResult)
		g.Probed(now, p.Server, outcome(p.How), boot.Span(p.SpentMs), p.HealthInfo)
	case wire.EvInbox:
		m := ev.Value.(wire.Inbox)
		g.Heard(now, int(m.From), m.Bytes)
	}
}

func outcome(how uint8) policy.Outcome {
	switch how {
	case 0:
		return policy.Answered
	case 11:
		return policy.Full
	case 110:
		return policy.TimedOut
	case 111:
		return policy.NoConnect
	case 104:
		return policy.Reset
	case 125:
		return policy.Cancelled
	case 114:
		return policy.Moot
	}
	return policy.Errored // 5, and whatever else may have run
}

// use turns 1 + a customer's use in percent of its rate, or its limit, into 1 + the part; 0 stays not told.
func use(pct uint16) float64 {
	if pct == 0 {
		return 0
	}
	return 1 + float64(pct-1)/100
}

func listKind(kind uint8) policy.ListKind {
	switch kind {
	case 0:
		return policy.ListChanges
	case 1:
		return policy.ListWhole
	case 2:
		return policy.ListCached
	}
	return policy.ListFailed
}

func listed(hosts []wire.Entry) []policy.Listed {
	out := make([]policy.Listed, 0, len(hosts))
	for _, h := range hosts {
		stage := policy.Gone
		switch h.StageState {
		case 2:
			stage = policy.Ready
		case 3:
			stage = policy.Draining
		}
		out = append(out, policy.Listed{Server: h.Server, Stage: stage, Power: float64(h.PowerHint),
			Since: boot.Span(h.OnlineSinceMs), Cell: int(h.Cohort), Hall: int(h.FailureDomain), Kind: int(h.Hw)})
	}
	return out
}

// The calls of policy.Host.

func (in *instance) act() *wire.Reply {
	in.reply.By(in.id)
	return in.reply
}

// Push sends a task to a server.
func (in *instance) Push(task, server uint32, until time.Duration) {
	in.act().Send(task, millis(until), server)
}

// Cancel ends the wait on a push.
func (in *instance) Cancel(task uint32, number int) { in.act().Cancel(task, uint16(number)) }

// Reject is a final answer that makes trying again harmless.
func (in *instance) Reject(task uint32, away time.Duration) { in.act().Busy(task, millis(away)) }

// Terminate is a final answer that promises nothing.
func (in *instance) Terminate(task uint32) { in.act().DropRequest(task) }

// Count calls the counter.
func (in *instance) Count(name uint64, keep time.Duration, units float64) {
	in.act().AddAndGet(name, millis(keep), float32(units))
}

// Probe asks a server for its load.
func (in *instance) Probe(server uint32) { in.act().AskLoad(server) }

// Tell sends words to a peer.
func (in *instance) Tell(gateway int, words []byte) {
	to := uint16(wire.ToAll)
	if gateway >= 0 {
		to = uint16(gateway)
	}
	in.act().Tell(to, words)
}

// Watch subscribes to the list.
func (in *instance) Watch() { in.act().Tail(true) }

// Wake asks for a timer.
func (in *instance) Wake(token uint64, after time.Duration) { in.act().Schedule(token, millis(after)) }

// Forget does nothing: timers of the simulator cannot be taken back.
func (in *instance) Forget(uint64) {}

// Log leaves a line in the report.
func (in *instance) Log(line string) { in.act().Log(line) }
