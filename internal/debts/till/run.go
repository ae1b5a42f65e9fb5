package till

import (
	"context"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/debts"
)

// Settler lays its servers out anew for the shares that a till holds: a gate.
type Settler interface{ Settle() }

// Disk keeps the counts of a process over its lives. Its calls may wait for the disk.
type Disk interface {
	// Write has the counts outlive the process, and from time to time the machine.
	Write(life string, counts []Kept) error
	// Life is the life that the disk holds, empty where it is new, with its counts.
	Life() (life string, counts []Kept)
}

// Kept is a pair's counts on disk, in thousandths of units.
type Kept struct {
	debts.Pair
	Owed uint64 `cbor:"3,keyasint"`
	Out  uint64 `cbor:"4,keyasint"` // told of pushes that were out: they may have run, and are owed if the process dies
}

const (
	lookEvery  = 200 * time.Millisecond // how often the lease is looked at: renewing it changes no table
	writeApart = 5 * time.Millisecond   // least time between writes: what a process that dies may lose of its pushes
)

// Run goes by the tables that all hold in common, and keeps the counts on disk if there is one, until the context
// ends. It is called once, after Load where there is a disk.
func (l *Till) Run(ctx context.Context, commons cluster.Commons, gate Settler, disk Disk, log *zap.Logger) {
	written := make(chan struct{})
	if disk != nil {
		go func() {
			defer close(written)
			l.write(ctx, disk, log)
		}()
	} else {
		close(written)
	}
	commons.Witness(l.Counts)
	commons.WitnessExact(l.ExactCounts)
	l.follow(ctx, commons, gate, log)
	<-written
}

// follow takes each table, and has the gate lay its servers out anew where other halls lend.
func (l *Till) follow(ctx context.Context, commons cluster.Commons, gate Settler, log *zap.Logger) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var epoch uint64
	var fresh time.Duration // when the table was first seen at that epoch
	v, settles := debts.Value{}, false
	var halls []int
	for {
		changed := commons.Changed()
		held := commons.Held(debts.Table)
		if held.Epoch != epoch {
			before := v
			var err error
			if v, err = debts.Decode(held.Value); err != nil {
				log.Error("the table of debts cannot be read: nothing is settled here", zap.Error(err))
				v = debts.Value{}
			} else {
				l.said(before, v, epoch == 0, log)
			}
			epoch, fresh = held.Epoch, commons.Now()
		}
		until := min(held.Until, fresh+debts.StaleAfter)
		l.Take(v, until)
		owners, _ := l.Lends()
		if !same(owners, halls) {
			halls = owners
			gate.Settle()
		}
		if now := owners != nil; now != settles {
			settles = now
			log.Info(map[bool]string{true: "debts are being settled", false: "no debt is being settled"}[now])
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

func same(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// said logs each entry of forgiveness that is new, and each partner that the file does not have and whose debt
// stands, when that is first seen.
func (l *Till) said(before, v debts.Value, first bool, log *zap.Logger) {
	last := uint64(0)
	if n := len(before.Said); n > 0 {
		last = before.Said[n-1].Number
	}
	for _, e := range v.Said {
		if e.Number > last && !first {
			log.Info("a debt is forgiven for its age", zap.String("debtor", e.Debtor), zap.String("creditor", e.Creditor),
				zap.Uint64("thousandths", e.Sum), zap.Duration("age", time.Duration(e.Age)*time.Millisecond))
		}
	}
	l.mu.Lock()
	roll := l.roll
	l.mu.Unlock()
	known := map[debts.Pair]bool{}
	for _, n := range before.Nets {
		known[n.Pair] = true
	}
	for _, n := range v.Nets {
		if (roll.Number(n.Debtor) == 0 || roll.Number(n.Creditor) == 0) && !known[n.Pair] {
			log.Warn("a debt stands with a partner that is not in the file", zap.String("debtor", n.Debtor),
				zap.String("creditor", n.Creditor), zap.Uint64("thousandths", n.Sum))
		}
	}
}

// Load goes on from what the disk holds, before the first task. What was out when the process died may have run, and is
// owed as told.
func (l *Till) Load(disk Disk) {
	life, kept := disk.Life()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kick = make(chan struct{}, 1)
	if life != "" {
		l.life = life
	}
	for _, k := range kept {
		s := l.sums[k.Pair]
		if s == nil {
			s = &sum{}
			l.sums[k.Pair] = s
		}
		s.owed += k.Owed + k.Out
	}
	l.kick <- struct{}{}
}

// write has the disk follow the counts, each time as one. A disk that fails is given up: what it holds goes on to be
// told, and what is counted since begins another life of the counts.
func (l *Till) write(ctx context.Context, disk Disk, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			_ = l.Put(disk)
			return
		case <-l.kick:
		}
		if err := l.Put(disk); err != nil {
			log.Error("the disk keeps no debts any more: what is counted from here on is lost with the process", zap.Error(err))
			l.part()
			return
		}
		time.Sleep(writeApart)
	}
}

// Put writes the counts, and has them told once they are written; Run does so after each change.
func (l *Till) Put(disk Disk) error {
	l.mu.Lock()
	life := l.life
	var kept []Kept
	for p, s := range l.sums {
		kept = append(kept, Kept{p, s.owed, s.out})
	}
	l.mu.Unlock()
	if err := disk.Write(life, kept); err != nil {
		return err
	}
	tell := make([]debts.Carried, 0, len(kept))
	for _, k := range kept {
		tell = append(tell, debts.Carried{Amount: debts.Amount{Pair: k.Pair, Sum: k.Owed}, Life: life})
	}
	l.mu.Lock()
	l.tell = tell
	l.mu.Unlock()
	return nil
}

// part begins another life of the counts for what the disk does not hold.
func (l *Till) part() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.tell {
		if s := l.sums[c.Pair]; s != nil {
			s.owed -= min(c.Sum, s.owed)
		}
	}
	l.life, l.kick = l.fresh+"+", nil
}
