package daemon

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"harrierhoist/internal/boot"
	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/commons"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/steer"
	"harrierhoist/internal/witness"
)

// common is this gateway's part in what processes hold in common; nil where no charter is named.
type common struct {
	process *commons.Process
}

// join starts what a charter names, if one is named.
func join(path string, log *zap.Logger) (*common, error) {
	if path == "" {
		return nil, nil
	}
	p, err := commons.Open(path, deciders, log)
	if err != nil {
		return nil, err
	}
	return &common{p}, nil
}

// deciders are those that run where a voter leads, by what the charter says. Each part adds one line.
func deciders(c *charter.Charter) (all []cluster.Decider) {
	if c.Failover != nil && c.Failover.On {
		all = append(all, failover.New(*c.Failover, c.Timing.Lease.Duration))
	}
	//   PLACE counting: if c.Counting != nil { all = append(all, canary.New(*c.Counting)) }
	//   PLACE debts:    if c.Debts != nil { all = append(all, debts.New(*c.Debts)) }
	return all
}

// witness is what the parts that are on have the gate tell what it sees; nil: none.
func (c *common) witness(told *boot.Handed) *witness.Witness {
	if c == nil || c.process.Charter().Failover == nil || !c.process.Charter().Failover.On {
		return nil
	}
	return witness.New(told.Halls, told.Deployment.MyHall, &told.Deployment)
}

// parts has the gateway act on what is held in common. Each part adds one line.
func (c *common) parts(ctx context.Context, g *gate.Gate, halls []string, hall int, log *zap.Logger) {
	if c == nil {
		return
	}
	held, terms := c.process.Commons(), c.process.Charter()
	if terms.Failover != nil && terms.Failover.On {
		go steer.New(held, g, halls, halls[hall], log).Run(ctx)
	}
	//   PLACE counting: if terms.Counting != nil { go ...Run(ctx, held, g) }
	//   PLACE debts:    if terms.Debts != nil { go ...Run(ctx, held, g) }
}

// reload takes the charter again. Parts whose terms changed are told here, one line each.
func (c *common) reload() {
	if c != nil {
		c.process.Reload()
	}
}

func (c *common) resign() {
	if c != nil {
		c.process.Resign()
	}
}

func (c *common) close() {
	if c != nil {
		c.process.Close()
	}
}

// vote runs a voter without a gateway, until it is asked to end.
func vote(path string, hup <-chan os.Signal) error {
	told, err := charter.Read(path)
	if err != nil {
		return err
	}
	if !told.Process.Voter {
		return errors.New(path + ": process.voter must be true where RELAY_CONFIG names no gateway's file")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	c, err := join(path, log)
	if err != nil {
		return err
	}
	log.Info("ready")
	for {
		select {
		case <-hup:
			c.reload()
		case <-term:
			log.Info("asked to end")
			c.resign()
			c.close()
			log.Info("ended")
			return nil
		}
	}
}
