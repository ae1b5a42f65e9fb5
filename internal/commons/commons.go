// Package commons puts together what a process needs to take part in what all hold in common, as the operators' file
// says: the follower that every process has and, in a voter, its link, its disk and the voter itself.
package commons

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/follow"
	"harrierhoist/internal/cluster/link"
)

// each is how many connections a process opens to a voter: one for the read that waits, one for digests.
const each = 2

// resignWithin is how long an end waits for another voter to take the lead.
const resignWithin = time.Second

// Process is this process's part. It owns all that it starts, and gives it back in Close.
type Process struct {
	path     string
	deciders func(*charter.Charter) []cluster.Decider
	log      *zap.Logger
	client   *link.Client
	follower *follow.Follower
	voter    *seat // nil where it only follows

	charter atomic.Pointer[charter.Charter]
	loading sync.Mutex // one file is taken after the other

	end  context.CancelFunc
	done sync.WaitGroup
}

// Open starts what the file at a path names. The deciders are those of the leader, by the file. Errors are of the
// file, or of the address and the disk that it names.
func Open(path string, deciders func(*charter.Charter) []cluster.Decider, log *zap.Logger) (*Process, error) {
	c, err := charter.Read(path)
	if err != nil {
		return nil, err
	}
	plain := link.Plain{Private: c.Process.PrivateNetwork}
	p := &Process{path: path, deciders: deciders, log: log.With(zap.String("process", c.Process.Name)),
		client: link.NewClient(plain, each)}
	p.charter.Store(c)
	// Where a clock was set back between two lives, what the later one counts is not heard until it has passed the
	// earlier.
	life := uint64(time.Now().UnixNano())
	ctx, end := context.WithCancel(context.Background())
	p.end = end
	if c.Process.Voter {
		if p.voter, err = p.sit(ctx, c, plain, life); err != nil {
			end()
			p.client.Close()
			return nil, err
		}
	}
	p.follower = follow.New(c.Process.Name, life, p.sources(c), timing(c), follow.Boot, p.log)
	p.done.Go(func() { p.follower.Run(ctx) })
	if p.voter != nil {
		p.voter.serve(c)
		p.done.Go(func() { p.voter.run(ctx) })
	}
	p.log.Info("takes part in what is held in common", zap.Bool("voter", c.Process.Voter),
		zap.Int("voters", len(c.Voters)))
	return p, nil
}

func timing(c *charter.Charter) follow.Timing {
	return follow.Timing{Lease: c.Timing.Lease.Duration, DigestEvery: c.Timing.DigestEvery.Duration}
}

// Commons is what the process's parts ask.
func (p *Process) Commons() cluster.Commons { return p.follower }

// Charter is the file in force.
func (p *Process) Charter() *charter.Charter { return p.charter.Load() }

// Reload reads the file again and takes what can change in place: voters, timing, the parts' terms. What only a
// restart can change is named in the log; a file that is not good leaves all as it was. It tells whether it was taken.
func (p *Process) Reload() bool {
	c, err := charter.Read(p.path)
	if err != nil {
		p.log.Error("the new charter is not taken", zap.Strings("faults", charter.Faults(err)))
		return false
	}
	p.loading.Lock()
	defer p.loading.Unlock()
	if fixed := c.Keep(p.Charter()); len(fixed) > 0 {
		p.log.Warn("left as it was: this takes a restart", zap.Strings("keys", fixed))
	}
	p.charter.Store(c)
	p.follower.Move(p.sources(c), timing(c))
	if p.voter != nil {
		p.voter.reload(c)
	}
	p.log.Info("a new charter", zap.Int("voters", len(c.Voters)))
	return true
}

// Resign gives the lead away where this process has it: before a planned end.
func (p *Process) Resign() {
	if p.voter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignWithin)
	defer cancel()
	p.voter.resign(ctx)
}

// Close ends all of it.
func (p *Process) Close() {
	p.end()
	if p.voter != nil {
		p.voter.stop() // calls to it that wait end with it
	}
	p.done.Wait()
	if p.voter != nil {
		p.voter.close()
	}
	p.client.Close()
}
