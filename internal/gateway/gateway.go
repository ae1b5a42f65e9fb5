// Package gateway runs one gateway process: it builds the gateway from its parts, and handles
// signals and reconfiguration. The command harrierhoist runs it, and so does the laboratory for
// gateways of its own. With a coordination file the process also takes part in what processes
// decide together; with that file alone it is a voter.
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

const megabyte = 1 << 20 // the unit of the memory limit, in bytes

// Shares of the memory limit.
const (
	heapDivisor          = 2 // the heap may grow to this part of it before it is collected harder
	requestMemoryDivisor = 4 // requests and answers in flight may hold this part of it
)

// maxReadyWait bounds the wait for discovery's first list, whatever connect timeout is set: of
// restarted processes nine in ten have to be ready within 10 s, and one that is paused by the
// system may lose some of that.
const maxReadyWait = 3 * time.Second

// Run runs a gateway on the configuration file at a path, until the process is asked to end.
func Run(path string) error { return RunWithCoordination(path, "") }

// RunWithCoordination is Run of a process that takes part in coordination as the file at
// coordinationPath says; empty: it takes no part. Without path it is a voter, which needs no other
// file.
func RunWithCoordination(path, coordinationPath string) error {
	// Before anything else: unhandled, either signal would end the program, and reset clients that
	// have connected by then.
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
	defer func() { _ = log.Sync() }() // standard error may be one that cannot be synced
	running, err := newInstance(path, configuration, log.With(zap.String("gateway", configuration.Name)))
	if err != nil {
		return err
	}
	return running.serve(coordinationPath, signals)
}

// readConfiguration reads the file. It returns neither a configuration nor an error if the process
// is asked to end first: nobody was served yet, and a disk that hangs must not delay the end.
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

// applyRuntimeLimits has the runtime respect the limits of cores and memory.
func applyRuntimeLimits(configuration *config.Gateway) {
	if configuration.Cores > 0 {
		runtime.GOMAXPROCS(max(int(configuration.Cores), 1))
	}
	if configuration.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(configuration.MemoryMB) * megabyte / heapDivisor)
	}
}

// serve serves clients until the process is asked to end and all that was in flight is answered.
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
		_ = socket.Close() // the error to report is the other one
		return err
	}
	defer func() {
		cancel() // what settlement stores is written once its context has ended
		member.close()
	}()
	if err := member.start(ctx, i); err != nil {
		_ = socket.Close()
		return err
	}
	i.startBackground(ctx)
	terminating := make(chan struct{})
	go i.becomeReady(i.configuration, terminating) // the configuration of the start: a reload replaces the field
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

// startBackground starts the parts' own goroutines, which end with the context.
func (i *instance) startBackground(ctx context.Context) {
	go i.dispatcher.RunTimers(ctx)
	go i.watcher.Run(ctx)
	go i.upstreams.RunIdleCleanup(ctx)
	go i.clients.Sweep(ctx)
}

// becomeReady lets clients in once discovery's first list is applied, or after a while without it:
// the list of an earlier run serves where discovery does not answer. A gateway that terminates is
// not announced any more.
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

// handleReloads reads the configuration again on each signal, until the context ends.
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
