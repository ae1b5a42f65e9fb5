// Package daemon is one gateway on sockets, put together from its parts, with its signals and its log. The command
// harrierhoist runs it, and so does the laboratory for gateways of its own.
package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/config"
	"harrierhoist/internal/counter"
	"harrierhoist/internal/discovery"
	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/listener"
	"harrierhoist/internal/upstream"
	"harrierhoist/policy"
)

const (
	heapDivisor          = 2 // the part of the memory limit that the heap may grow to before it is swept harder
	requestMemoryDivisor = 4 // the part of it that clients' words and values, and servers' answers, may hold at once

	// maxReadyWait bounds the wait for discovery's first list, whatever the settings give a connection: of restarted
	// processes nine in ten have to be ready within 10 s, and one that stands still may lose some of that.
	maxReadyWait = 3 * time.Second
)

// Run serves as the file at a path says, until it is asked to end.
func Run(path string) error { return RunWithCoordination(path, "") }

// RunWithCoordination is Run of a process that takes part in what processes hold in common, as the charter at a path says; none: it
// takes no part. A voter needs no file but the charter.
func RunWithCoordination(path, coordinationPath string) error {
	// Before anything else: unasked for, either would end the program, and reset clients that have connected by then.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(term)
	if path == "" && coordinationPath != "" {
		return runVoter(coordinationPath, hup, term)
	}
	configuration, err := readConfiguration(path, term)
	if configuration == nil {
		return err
	}
	applyRuntimeLimits(configuration)
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	log = log.With(zap.String("gateway", configuration.Name))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	connectionsPerSide := connectionLimit(configuration, log)
	settings := &configuration.Settings
	upstreams := upstream.New(configuration.ConnectTimeout, configuration.IdleTimeout, settings.LoadReportFields, connectionsPerSide)
	running := &instance{configPath: path, configuration: configuration, log: log}
	outside := dispatch.Dependencies{IdleTimeout: upstreams.IdleTimeout(), CheckHealth: func(s dispatch.Server, heard func(dispatch.Result)) { go upstreams.CheckHealth(s, heard) },
		Count: func(name uint64, units float64, keep time.Duration, heard func(float64, policy.Outcome)) {
			running.counter.Load().Add(name, units, keep, heard) // settings with a counter come into force once there is one
		}}
	running.setCounterAddress(configuration)
	dispatcher, err := dispatch.New(*settings, configuration.Seed, outside, log)
	if err != nil {
		return err
	}
	watcher, err := discovery.New(configuration, dispatcher, log)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	clients := listener.New(settings, dispatcher, upstreams, connectionsPerSide, configuration.MemoryMB<<20/requestMemoryDivisor, log)
	running.dispatcher, running.watcher, running.clients = dispatcher, watcher, clients
	socket, err := net.Listen("tcp", configuration.Listen)
	if err != nil {
		return fmt.Errorf("%s: configuration: listen: an address of this machine that is free is wanted: %w", path, err)
	}
	member, err := joinCoordination(coordinationPath, log)
	if err != nil {
		_ = socket.Close()
		return err
	}
	defer func() {
		cancel() // what the parts keep on disk is written once their context has ended
		member.close()
	}()
	if err := member.start(ctx, running); err != nil {
		_ = socket.Close()
		return err
	}
	go dispatcher.RunTimers(ctx)
	go watcher.Run(ctx)
	go upstreams.RunIdleCleanup(ctx)
	go clients.Sweep(ctx)
	ending := make(chan struct{})
	go func() {
		select { // a list that may be old serves where discovery is silent
		case <-watcher.FirstList():
		case <-time.After(min(configuration.ConnectTimeout, maxReadyWait)):
		case <-ending: // one that ends is no more to be taken in
			return
		}
		clients.Ready()
		log.Info("ready", zap.String("listen", configuration.Listen))
	}()

	go func() {
		for {
			select {
			case <-hup:
				running.reload()
				member.reload()
			case <-ctx.Done():
				return
			}
		}
	}()

	go func() {
		<-term
		close(ending)
		log.Info("asked to end")
		go member.resign()
		clients.Drain(socket)
		cancel()
	}()
	if err := clients.Serve(socket); err != nil {
		return err
	}
	<-ctx.Done()
	if count := running.counter.Load(); count != nil {
		count.Close()
	}
	log.Info("ended")
	return nil
}

// readConfiguration reads the file; nothing and no error if the program is asked to end before it has: nobody was served yet, and a
// disk that hangs must not hold the end up.
func readConfiguration(path string, term <-chan os.Signal) (*config.Gateway, error) {
	var configuration *config.Gateway
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		configuration, err = config.Read(path)
	}()
	select {
	case <-done:
		return configuration, err
	case <-term:
		return nil, nil
	}
}

// instance is what a new configuration changes in the running program.
type instance struct {
	configPath    string
	configuration *config.Gateway
	counter       atomic.Pointer[counter.Counter] // none while no settings had one
	dispatcher    *dispatch.Dispatcher
	watcher       *discovery.Watcher
	clients       *listener.Listener
	log           *zap.Logger
}

// setCounterAddress has calls go to the counter that is named, if any is.
func (running *instance) setCounterAddress(configuration *config.Gateway) {
	if configuration.Counter == "" {
		return
	}
	if count := running.counter.Load(); count != nil {
		count.SetAddress(configuration.Counter)
	} else {
		running.counter.Store(counter.New(configuration.Counter, configuration.ConnectTimeout, running.log))
	}
}

// reload reads the configuration again and takes it in place: addresses, and all settings but those that only a
// restart can change, which are named. One that is not good leaves the old one in force.
func (running *instance) reload() {
	configuration, err := config.Read(running.configPath)
	if err != nil {
		running.log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	if fixed := configuration.KeepRestartOnly(running.configuration); len(fixed) > 0 {
		running.log.Warn("left as it was: this takes a restart", zap.Strings("keys", fixed))
	}
	running.setCounterAddress(configuration)
	settings, err := running.clients.Reconfigure(configuration.Settings)
	if err != nil {
		running.log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	running.watcher.SetAgent(configuration.Discovery, !configuration.Settings.PollList)
	running.configuration = configuration
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
	running.log.Info("a new configuration", zap.String("discovery", configuration.Discovery), zap.String("counter", configuration.Counter),
		zap.Int("gateways", settings.Gateways), zap.Strings("lanes", classes), zap.Strings("plans", plans))
}

// applyRuntimeLimits keeps the runtime within what is handed in.
func applyRuntimeLimits(configuration *config.Gateway) {
	if configuration.Cores > 0 {
		runtime.GOMAXPROCS(max(int(configuration.Cores), 1))
	}
	if configuration.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(configuration.MemoryMB) << 20 / heapDivisor)
	}
}
