package voter

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/core"
	"harrierhoist/internal/cluster/disk"
)

// desk owns the core, the disk's writes and all calls that wait. One goroutine works at it.
type desk struct {
	v       *Voter
	core    *core.Core
	disk    *disk.Disk
	send    func(to cluster.Member, message []byte)
	log     *zap.Logger
	waits   map[uint64]chan core.Outcome // proposals and changes
	reads   *core.Reads
	leader  uint64        // as last said in the log
	led     uint64        // the term that it leads in; 0: none
	since   time.Duration // it leads
	refused map[string]bool
	limit   int64 // bytes of log after which it is made anew
}

func newDesk(v *Voter, c *core.Core, d *disk.Disk, send func(cluster.Member, []byte), log *zap.Logger) *desk {
	return &desk{v: v, core: c, disk: d, send: send, log: log, waits: map[uint64]chan core.Outcome{},
		reads: core.NewReads(c), refused: map[string]bool{}, limit: logMost}
}

// run works until the voter is to end or its disk fails it. A voter that can't write is as good as dead to the others,
// and must be: what it would go on to say might not be there after the next start.
func (k *desk) run() {
	defer close(k.v.over)
	clock, pass := time.NewTicker(tick), time.NewTicker(passEvery)
	defer clock.Stop()
	defer pass.Stop()
	for {
		over, err := k.turn(clock.C, pass.C)
		if err != nil {
			k.log.Error("this voter has stopped", zap.Error(err))
		}
		if over || err != nil {
			k.v.stop()
			return
		}
	}
}

// turn does what the core has ready, and then waits for the next event.
func (k *desk) turn(clock, pass <-chan time.Time) (over bool, err error) {
	defer func() {
		// The library's word for what must never be, such as entries that others know this disk had and that are gone.
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", core.ErrSpoilt, p)
		}
	}()
	if err := k.work(); err != nil {
		return true, err
	}
	select {
	case <-k.v.end:
		return true, nil
	case do := <-k.v.calls:
		do(k)
		k.more()
	case <-clock:
		k.more() // what came while the process slept or wrote counts before the time that passed
		k.core.Tick()
		k.reads.Tick(time.Since(began))
	case <-pass:
		k.pass()
	}
	return false, nil
}

// more takes the calls that wait already.
func (k *desk) more() {
	for range batch {
		select {
		case do := <-k.v.calls:
			do(k)
		default:
			return
		}
	}
}

// work does what the core has ready: write, send, answer.
func (k *desk) work() error {
	for {
		r, ok, err := k.core.Ready()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		for _, m := range r.Early {
			k.send(m.To, m.Body)
		}
		if r.Record != nil {
			if err := k.disk.Save(r.Record); err != nil {
				return err
			}
		}
		for _, m := range r.Messages {
			k.send(m.To, m.Body)
		}
		done, err := k.core.Done(r)
		if err != nil {
			return err
		}
		k.done(done)
	}
	if err := k.shorten(); err != nil {
		return err
	}
	k.stand()
	return nil
}

// shorten makes the log anew once it is long.
func (k *desk) shorten() error {
	if k.disk.Size() < k.limit {
		return nil
	}
	if err := k.core.Compact(entryKeep); err != nil {
		return err
	}
	base, err := k.core.Base()
	if err != nil {
		return err
	}
	if err := k.disk.Rewrite(base); err != nil {
		return err
	}
	k.limit = max(logMost, 2*k.disk.Size()) // a large state is not written again at every turn
	return nil
}

// stand notes who leads.
func (k *desk) stand() {
	s := k.core.Status()
	led := uint64(0)
	if k.core.Leads() {
		led = s.Term
	}
	k.v.mu.Lock()
	k.v.status = s
	k.v.gather.Lead(led)
	k.v.mu.Unlock()
	if led != k.led {
		k.led, k.since = led, time.Since(began)
		for seq, done := range k.waits {
			done <- core.Outcome{Err: cluster.ErrUnknown}
			delete(k.waits, seq)
		}
	}
	if s.Leader != k.leader && s.Leader != 0 {
		k.leader = s.Leader
		k.log.Info("a voter leads", zap.Uint64("number", s.Leader), zap.Uint64("term", s.Term))
	}
}

func (k *desk) propose(propose func(*desk) (uint64, error), done chan core.Outcome) {
	seq, err := propose(k)
	if err != nil {
		done <- core.Outcome{Err: err}
		return
	}
	k.waits[seq] = done
}

// done gives callers what became of their calls.
func (k *desk) done(d core.Done) {
	for _, o := range d.Results {
		if done, ok := k.waits[o.Seq]; ok {
			done <- o
			delete(k.waits, o.Seq)
		}
	}
	k.reads.Done(d, time.Since(began))
}

// step takes a message. What is refused is said once for each reason, as it comes again with each message.
func (k *desk) step(message []byte) error {
	digests, err := k.core.Step(message)
	if errors.Is(err, core.ErrRefused) && !k.refused[err.Error()] && len(k.refused) < refusedMost {
		k.refused[err.Error()] = true
		k.log.Warn("message of another voter", zap.Error(err))
	}
	k.v.mu.Lock()
	defer k.v.mu.Unlock()
	k.v.gather.TakeOver(digests)
	return err
}

// refusedMost is how many reasons to refuse a message are said: a faulty sender must not fill the log.
const refusedMost = 16
