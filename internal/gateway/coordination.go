//go:build !alone

package gateway

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/node"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/enforce"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/routing"
	"harrierhoist/internal/settlement"
	"harrierhoist/internal/settlement/account"
	"harrierhoist/internal/settlement/runtime"
	"harrierhoist/internal/zonestats"
)

// membership is this gateway's part in what processes hold in common; nil where no charter is named.
type membership struct {
	process        *node.Node
	enforcer       *enforce.Enforcer // nil where counting rules are off
	account        *account.Accounts // nil where debts are off
	settlementDone <-chan struct{}
}

// processStart is when the deciders' clock began, within a few milliseconds: a canary's edges go by the wall.
var processStart = time.Now()

// readsPerLease is how many waiting reads one lease lasts.
const readsPerLease = 4

// plannedZones tells the settlement what failover's plan says of the halls: that goes first.
func plannedZones(seen coordination.ControllerInput) map[string]settlement.ZoneStatus {
	plan, err := failover.DecodePlan(seen.Table(failover.Table).Value)
	if err != nil || plan == nil {
		return nil
	}
	return settlement.ZoneStatusOfPlan(plan.Rows, plan.Health)
}

// joinCoordination starts what a charter names, if one is named.
func joinCoordination(path string, log *zap.Logger) (*membership, error) {
	if path == "" {
		return nil, nil
	}
	p, err := node.Open(path, newControllers(), log)
	if err != nil {
		return nil, err
	}
	return &membership{process: p}, nil
}

// newControllers gives those that run where a voter leads, by what the charter says. Calls come one after another.
func newControllers() func(c *config.Config) []coordination.Controller {
	var rules atomic.Pointer[countingrule.Config]
	var trial *canary.Controller // one for all files, while the lease stays: a file read again does not begin a trial anew
	return func(c *config.Config) (all []coordination.Controller) {
		lease := c.Timing.Lease.Duration
		if c.FailoverEnabled() {
			all = append(all, failover.New(*c.Failover, lease))
		}
		if c.Counting != nil {
			rules.Store(c.Counting)
			if trial == nil || trial.Lease != lease {
				trial = canary.New(rules.Load, lease, lease/readsPerLease, time.Duration(processStart.UnixNano()))
			}
			all = append(all, trial)
		}
		if c.SettlementEnabled() {
			all = append(all, settlement.NewController(*c.Settlement, plannedZones))
		}
		return all
	}
}

// start has the gateway act on what is held in common. An error is a file that does not fit the gateway's.
func (c *membership) start(ctx context.Context, running *instance) error {
	if c == nil {
		return nil
	}
	shared, terms := c.process.Client(), c.process.Config()
	if terms.FailoverEnabled() {
		hall := terms.Process.Zone
		if !slices.Contains(running.configuration.Zones, hall) {
			return fmt.Errorf("RELAY_COMMON: process.hall must be one of settings.Dcs of RELAY_CONFIG, %q, where "+
				"failover is on, not %q", running.configuration.Zones, hall)
		}
		running.dispatcher.SetRecorder(zonestats.New(running.configuration.Zones, slices.Index(running.configuration.Zones, hall), &running.configuration.Settings))
		go routing.New(shared, running.dispatcher, running.configuration.Zones, hall, running.log).Run(ctx)
	}
	if terms.Counting != nil {
		c.enforcer = enforce.New(terms.Counting, running.log)
		go func() {
			if err := c.enforcer.Run(ctx, shared, running.dispatcher); err != nil {
				running.log.Error("counting rules are not followed: tasks are counted as ever", zap.Error(err))
			}
		}()
	}
	if terms.SettlementEnabled() {
		var err error
		c.account, c.settlementDone, err = runtime.Start(ctx, *terms.Settlement, running.configuration.Settings, running.configuration.Zones, running.configuration.Seed,
			terms.Process.Folder, shared, running.dispatcher, running.log)
		if err != nil {
			return fmt.Errorf("RELAY_COMMON: process.disk: %w", err)
		}
	}
	return nil
}

// reload takes the charter again. Parts whose terms changed are told here.
func (c *membership) reload() {
	if c == nil || !c.process.Reload() {
		return
	}
	if c.enforcer != nil {
		c.enforcer.Reconfigure(c.process.Config().Counting)
	}
	if terms := c.process.Config(); c.account != nil && terms.Settlement != nil {
		c.account.SetTerms(*terms.Settlement)
	}
}

func (c *membership) resign() {
	if c != nil {
		c.process.TransferLeadership()
	}
}

// close ends what is held in common; the parts' context has ended.
func (c *membership) close() {
	if c != nil {
		if c.settlementDone != nil {
			<-c.settlementDone
		}
		c.process.Close()
	}
}

// runVoter runs a voter without a gateway, until it is asked to end.
func runVoter(path string, hup, term <-chan os.Signal) error {
	configuration, err := config.Read(path)
	if err != nil {
		return err
	}
	if !configuration.Process.Voter {
		return errors.New(path + ": process.voter must be true where RELAY_CONFIG names no gateway's file")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	c, err := joinCoordination(path, log)
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
