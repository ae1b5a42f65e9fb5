// Package gateway runs one gateway process. It assembles the gateway from its components and
// handles signals and reloads of the configuration. The command harrierhoist uses it, and so does
// the laboratory to run gateways of its own. With a coordination file the process also takes part
// in coordination. With a coordination file only, it is a voter without a gateway.
package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/gateway/config"
)

const megabyte = 1 << 20 // unit of the memory limit, in bytes

// Divisors of the configured memory limit.
const (
	heapDivisor          = 2 // for the soft memory limit, near which the runtime collects garbage more often
	heapMarginDivisor    = 4 // of the soft memory limit, for the margin over it
	requestMemoryDivisor = 4 // for the memory that requests and replies in flight may hold
	// customerMemoryDivisor is for the state of customers; hundreds of gateways may serve many thousands.
	customerMemoryDivisor = 16
)

// maxHeapMargin is the largest margin of the soft memory limit in bytes.
const maxHeapMargin = 4 * megabyte

const (
	bytesPerCustomer = 384     // memory of a customer's state, with its place in tables
	minCustomers     = 1 << 10 // least bound on customers
)

// maxReadyWait limits the wait for discovery's first endpoint list, even if the connect timeout is
// longer. Nine in ten restarted processes must be ready within 10 s, and part of that time may be
// lost while the system pauses a process.
const maxReadyWait = 3 * time.Second

// Run runs a gateway with the configuration file at path. It returns nil once the gateway has
// drained after SIGTERM or SIGINT, and an error if the gateway cannot start or serve.
func Run(path string) error { return RunWithCoordination(path, "") }

// RunWithCoordination is Run for a process that also takes part in coordination, configured by the
// file at coordinationPath. If coordinationPath is empty, it is equivalent to Run. If only path is
// empty, the process is a voter without a gateway.
func RunWithCoordination(path, coordinationPath string) error {
	// Signals are handled before anything else is done. An unhandled signal would end the process
	// and reset the connections of clients that had connected by then.
	signals := notifySignals()
	defer signals.stop()
	if path == "" && coordinationPath != "" {
		return runVoter(coordinationPath, signals)
	}
	configuration, err := readConfiguration(path, signals.terminate)
	if configuration == nil {
		return err
	}
	applyRuntimeLimits(configuration)
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // syncing fails where standard error does not support it
	gateway, err := newInstance(path, configuration, log.With(zap.String("gateway", configuration.Name)))
	if err != nil {
		return err
	}
	return gateway.serve(coordinationPath, signals)
}

// readConfiguration reads the configuration file at path. It returns nil and no error if the
// process is asked to terminate first: no client has been served yet, and a hanging disk must not
// delay the exit.
func readConfiguration(path string, terminate <-chan os.Signal) (*config.Gateway, error) {
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
	case <-terminate:
		return nil, nil
	}
}

// applyRuntimeLimits configures the Go runtime with the limits of cores and memory.
func applyRuntimeLimits(configuration *config.Gateway) {
	if configuration.Cores > 0 {
		runtime.GOMAXPROCS(max(int(configuration.Cores), 1))
	}
	if configuration.MemoryMB > 0 {
		debug.SetMemoryLimit(softMemoryLimit(int64(configuration.MemoryMB) * megabyte))
	}
}

// softMemoryLimit returns the memory in bytes near which the runtime collects garbage more often: half of
// the limit, and a margin where that is little. The pages of the program's file come on top.
func softMemoryLimit(limit int64) int64 {
	soft := limit / heapDivisor
	return soft + min(soft/heapMarginDivisor, maxHeapMargin)
}

// serve serves clients until the process is asked to terminate and the drain has ended.
func (i *instance) serve(coordinationPath string, signals *signals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var listenConfig net.ListenConfig
	socket, err := listenConfig.Listen(ctx, "tcp", i.configuration.Listen)
	if err != nil {
		return fmt.Errorf(
			"%s: configuration: listen: an address of this machine that is free is wanted: %w",
			i.configPath,
			err,
		)
	}
	member, err := joinCoordination(coordinationPath, i.log)
	if err != nil {
		_ = socket.Close() // the error of joinCoordination is returned
		return err
	}
	defer func() {
		cancel() // settlement stores its state once its context is done; close waits for that
		member.close()
	}()
	if err := member.start(ctx, i); err != nil {
		_ = socket.Close()
		return err
	}
	i.startBackground(ctx)
	terminating := make(chan struct{})
	go i.becomeReady(i.configuration, terminating) // read the field here: a reload replaces it
	go i.handleReloads(ctx, signals.reload, member)
	go func() {
		<-signals.terminate
		close(terminating)
		i.log.Info("gateway: shutting down")
		go member.transferLeadership()
		i.clients.Drain(socket)
		cancel()
	}()
	if err := i.clients.Serve(socket); err != nil {
		return err
	}
	<-ctx.Done()
	if client := i.counter.Load(); client != nil {
		client.Close()
	}
	i.log.Info("gateway: stopped")
	return nil
}

// startBackground starts the background goroutines of the components. They end when ctx is done.
func (i *instance) startBackground(ctx context.Context) {
	go i.dispatcher.RunTimers(ctx)
	go i.watcher.Run(ctx)
	go i.upstreams.RunIdleCleanup(ctx)
	go i.clients.Sweep(ctx)
}

// becomeReady marks the gateway as ready once discovery's first endpoint list is applied or a
// timeout has passed. After the timeout the gateway uses the endpoint list of an earlier run. A
// gateway that is asked to terminate first does not become ready.
func (i *instance) becomeReady(configuration *config.Gateway, terminating <-chan struct{}) {
	select {
	case <-i.watcher.FirstListApplied():
	case <-time.After(min(configuration.ConnectTimeout, maxReadyWait)):
	case <-terminating:
		return
	}
	i.clients.MarkReady()
	i.log.Info("gateway: ready", zap.String("listen", configuration.Listen))
}

// handleReloads reloads the configuration on each signal until ctx is done.
func (i *instance) handleReloads(ctx context.Context, reload <-chan os.Signal, member *membership) {
	for {
		select {
		case <-reload:
			i.reload()
			member.reload()
		case <-ctx.Done():
			return
		}
	}
}
