//go:build !alone

package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/control/countingrule/enforce"
	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/failover/routing"
	"harrierhoist/internal/control/failover/zonestats"
	"harrierhoist/internal/control/settlement"
	"harrierhoist/internal/control/settlement/account"
	"harrierhoist/internal/control/settlement/runtime"
	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/node"
)

// membership is this process's participation in coordination. A nil membership is valid and means
// that no coordination file is named.
type membership struct {
	localNode      *node.Node
	enforcer       *enforce.Enforcer // nil if counting rules are off
	accounts       *account.Accounts // nil if settlement is off
	settlementDone <-chan struct{}   // closed once settlement has stored its state
}

// processStart is the wall-clock time at which the clock passed to the controllers was 0, with an
// accuracy of a few milliseconds. The canary controller needs it because canary stages follow the
// wall clock.
var processStart = time.Now()

// readsPerLease is the number of reads of a table per lease. It has the value of the constant of
// the same name in package follower, which sets how long a read waits.
const readsPerLease = 4

// zoneStatusFromPlan returns a status for each zone that the failover plan needs, or nil if there
// is no plan. In these zones, failover has precedence over settlement.
func zoneStatusFromPlan(input coordination.ControllerInput) map[string]settlement.ZoneStatus {
	plan, err := failover.DecodePlan(input.Table(failover.TableName).Value)
	if err != nil || plan == nil {
		return nil // no plan yet or one of another version: settlement treats all zones as healthy
	}
	return settlement.ZoneStatusFromPlan(plan.Rows, plan.Health)
}

// joinCoordination starts the node that the coordination file at path configures. It returns nil
// without an error if path is empty.
func joinCoordination(path string, log *zap.Logger) (*membership, error) {
	if path == "" {
		return nil, nil
	}
	localNode, err := node.Open(path, newControllers(), log)
	if err != nil {
		return nil, err
	}
	return &membership{localNode: localNode}, nil
}

// newControllers returns a function that creates the controllers for a configuration. They run in
// the process whose voter is the leader. The returned function must not be called concurrently.
func newControllers() func(c *config.Config) []coordination.Controller {
	var rules atomic.Pointer[countingrule.Config]
	// The canary controller is reused while the lease duration is unchanged, so that a reload does
	// not restart a canary.
	var controller *canary.Controller
	return func(c *config.Config) (all []coordination.Controller) {
		lease := c.Timing.Lease.Duration
		if c.FailoverEnabled() {
			all = append(all, failover.New(*c.Failover, lease))
		}
		if c.Counting != nil {
			rules.Store(c.Counting)
			if controller == nil || controller.Lease != lease {
				controller = canary.New(rules.Load, lease, lease/readsPerLease, time.Duration(processStart.UnixNano()))
			}
			all = append(all, controller)
		}
		if c.SettlementEnabled() {
			all = append(all, settlement.NewController(*c.Settlement, zoneStatusFromPlan))
		}
		return all
	}
}

// start makes the gateway follow the replicated tables until ctx is done. It returns an error if
// the coordination file does not match the gateway's configuration or settlement cannot start.
func (m *membership) start(ctx context.Context, gateway *instance) error {
	if m == nil {
		return nil
	}
	configuration := m.localNode.Config()
	if configuration.FailoverEnabled() {
		if err := m.startFailover(ctx, gateway, configuration.Process.Zone); err != nil {
			return err
		}
	}
	if configuration.Counting != nil {
		m.startEnforcer(ctx, gateway, configuration.Counting)
	}
	if configuration.SettlementEnabled() {
		return m.startSettlement(ctx, gateway, configuration)
	}
	return nil
}

func (m *membership) startFailover(ctx context.Context, gateway *instance, zone string) error {
	zones := gateway.configuration.Zones
	if !slices.Contains(zones, zone) {
		return fmt.Errorf("RELAY_COMMON: process.hall must be one of settings.Dcs of RELAY_CONFIG, %q, where "+
			"failover is on, not %q", zones, zone)
	}
	gateway.dispatcher.SetRecorder(zonestats.New(zones, slices.Index(zones, zone), &gateway.configuration.Settings))
	go routing.New(m.localNode.Client(), gateway.dispatcher, zones, zone, gateway.log).Run(ctx)
	return nil
}

func (m *membership) startEnforcer(ctx context.Context, gateway *instance, rules *countingrule.Config) {
	client := m.localNode.Client()
	m.enforcer = enforce.New(rules, maxCustomers(gateway.configuration), gateway.log)
	go func() {
		if err := m.enforcer.Run(ctx, client, gateway.dispatcher); err != nil {
			gateway.log.Error("enforce: counting rules off, requests count under their customer", zap.Error(err))
		}
	}()
}

func (m *membership) startSettlement(ctx context.Context, gateway *instance, configuration *config.Config) error {
	var err error
	runtimeConfig := runtime.Config{
		Terms: *configuration.Settlement, Settings: gateway.configuration.Settings, Zones: gateway.configuration.Zones,
		Seed: gateway.configuration.Seed, Folder: configuration.Process.Folder,
	}
	m.accounts, m.settlementDone, err = runtime.Start(ctx, runtimeConfig, runtime.Dependencies{
		Client: m.localNode.Client(), Dispatcher: gateway.dispatcher, Log: gateway.log,
	})
	if err != nil {
		return fmt.Errorf("RELAY_COMMON: process.disk: %w", err)
	}
	return nil
}

// reload reads the coordination file again and passes a changed configuration to the running
// components.
func (m *membership) reload() {
	if m == nil || !m.localNode.Reload() {
		return
	}
	configuration := m.localNode.Config()
	if m.enforcer != nil {
		m.enforcer.Reconfigure(configuration.Counting)
	}
	if m.accounts != nil && configuration.Settlement != nil {
		m.accounts.SetTerms(*configuration.Settlement)
	}
}

// transferLeadership transfers leadership to another voter if this process is the leader.
func (m *membership) transferLeadership() {
	if m != nil {
		m.localNode.TransferLeadership()
	}
}

// close waits until settlement has stored its state and then stops the node. The context passed to
// start must be done.
func (m *membership) close() {
	if m == nil {
		return
	}
	if m.settlementDone != nil {
		<-m.settlementDone
	}
	m.localNode.Close()
}

// runVoter runs a voter without a gateway until the process receives SIGTERM or SIGINT.
func runVoter(path string, signals *signals) error {
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
	defer func() { _ = log.Sync() }() // syncing fails where standard error does not support it
	member, err := joinCoordination(path, log)
	if err != nil {
		return err
	}
	log.Info("voter: ready")
	for {
		select {
		case <-signals.reload:
			member.reload()
		case <-signals.terminate:
			log.Info("voter: shutting down")
			member.transferLeadership()
			member.close()
			log.Info("voter: stopped")
			return nil
		}
	}
}
