package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/counter"
	"harrierhoist/internal/gateway/discovery"
	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/listener"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// instance is a running gateway with its components. A reload changes their configuration in place.
type instance struct {
	configPath    string
	configuration *config.Gateway                 // current one; once handleReloads runs, only it may use this field
	counter       atomic.Pointer[counter.Counter] // nil until a configuration names a counter
	dispatcher    *dispatch.Dispatcher
	watcher       *discovery.Watcher
	upstreams     *upstream.Pool
	clients       *listener.Listener
	log           *zap.Logger
}

func newInstance(configPath string, configuration *config.Gateway, log *zap.Logger) (*instance, error) {
	connectionsPerSide := connectionLimit(configuration, log)
	settings := &configuration.Settings
	upstreams := upstream.New(
		configuration.ConnectTimeout, configuration.IdleTimeout, settings.LoadReportFields, connectionsPerSide,
	)
	i := &instance{configPath: configPath, configuration: configuration, upstreams: upstreams, log: log}
	i.setCounterAddress(configuration)
	var err error
	i.dispatcher, err = dispatch.New(*settings, configuration.Seed, i.dependencies(), log)
	if err != nil {
		return nil, err
	}
	i.watcher, err = discovery.New(configuration, i.dispatcher, log)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configPath, err)
	}
	requestMemory := configuration.MemoryMB * megabyte / requestMemoryDivisor
	i.clients = listener.New(settings, i.dispatcher, upstreams, connectionsPerSide, requestMemory, log)
	return i, nil
}

// dependencies returns the functions through which the dispatcher uses the network.
func (i *instance) dependencies() dispatch.Dependencies {
	return dispatch.Dependencies{
		IdleTimeout:  i.upstreams.IdleTimeout(),
		MaxCustomers: maxCustomers(i.configuration),
		CheckHealth: func(server dispatch.Server, done func(dispatch.Result)) {
			go i.upstreams.CheckHealth(server, done)
		},
		Count: i.count,
	}
}

// maxCustomers returns how many customers' state fits into its part of the memory; 0: no limit.
func maxCustomers(configuration *config.Gateway) int {
	if configuration.MemoryMB <= 0 {
		return 0
	}
	return max(configuration.MemoryMB*megabyte/customerMemoryDivisor/bytesPerCustomer, minCustomers)
}

// count calls the counter. Without one, the call fails with nothing added: the decision module makes
// no calls then, but counting rules do.
func (i *instance) count(name uint64, units float64, ttl time.Duration, reply func(float64, policy.Outcome)) {
	client := i.counter.Load()
	if client == nil {
		go reply(0, policy.ConnectFailed)
		return
	}
	client.Add(name, units, ttl, reply)
}

// setCounterAddress directs later calls to the counter that configuration names. If it names none,
// the previous counter stays.
func (i *instance) setCounterAddress(configuration *config.Gateway) {
	if configuration.Counter == "" {
		return
	}
	if client := i.counter.Load(); client != nil {
		client.SetAddress(configuration.Counter)
	} else {
		i.counter.Store(counter.New(configuration.Counter, configuration.ConnectTimeout, i.log))
	}
}

// reload reads the configuration again and applies it, except for settings that only a restart can
// change, whose keys it logs. If config.Read fails, the previous configuration stays in use. The
// counter's address is applied before the settings, because settings with a counter need one. If
// Reconfigure fails, the new counter's address stays in use with the previous settings.
func (i *instance) reload() {
	configuration, err := config.Read(i.configPath)
	if err != nil {
		i.log.Error("gateway: configuration refused", zap.Error(err))
		return
	}
	if keys := configuration.RetainRestartOnly(i.configuration); len(keys) > 0 {
		i.log.Warn("gateway: changed settings need a restart", zap.Strings("keys", keys))
	}
	i.setCounterAddress(configuration)
	settings, err := i.clients.Reconfigure(configuration.Settings)
	if err != nil {
		i.log.Error("gateway: configuration refused", zap.Error(err))
		return
	}
	i.watcher.SetAgent(configuration.Discovery, configuration.Settings.PollList)
	i.configuration = configuration
	var classes, plans []string
	for _, class := range settings.Classes {
		if !class.Retired {
			classes = append(classes, class.Name)
		}
	}
	for _, plan := range settings.Plans {
		if !plan.Retired {
			plans = append(plans, plan.Name)
		}
	}
	i.log.Info("gateway: configuration reloaded", zap.String("discovery", configuration.Discovery),
		zap.String("counter", configuration.Counter), zap.Int("gateways", settings.Gateways),
		zap.Strings("classes", classes), zap.Strings("plans", plans))
}
