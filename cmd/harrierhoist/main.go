// Command harrierhoist is one gateway on sockets.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/boot"
	"harrierhoist/internal/counter"
	"harrierhoist/internal/fleet"
	"harrierhoist/internal/front"
	"harrierhoist/internal/gate"
	"harrierhoist/internal/roster"
)

const (
	socketsApart = 24 // of the limit: some 16 for listener, log, counter, discovery and the runtime, and spare
	heapPart     = 2  // the part of the memory limit that the heap may grow to before it is swept harder
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "harrierhoist:", err)
		os.Exit(1)
	}
}

func run() error {
	told, err := boot.Read(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	limits(told)
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	log = log.With(zap.String("gateway", told.Name))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	each := max((told.Sockets-socketsApart)/2, 1) // half for clients, half for servers
	site := &told.Deployment
	servers := fleet.New(told.ConnectWithin, told.IdleLimit, site.Reports, each)
	outside := gate.Outside{Probe: func(s gate.Server, heard func(gate.Result)) { go servers.Probe(s, heard) }}
	if site.HasCounter {
		outside.Count = counter.New(told.Counter, told.ConnectWithin, log).Add
	}
	g, err := gate.New(*site, told.Seed, outside, log)
	if err != nil {
		return err
	}
	list, err := roster.New(told, g, log)
	if err != nil {
		return err
	}
	clients := front.New(site, g, servers, told.OnOne, each, log)
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	go g.Tick(ctx)
	go list.Watch(ctx)
	go servers.Sweep(ctx)
	go func() {
		select { // a list that may be old serves where discovery is silent
		case <-list.First():
		case <-time.After(told.ConnectWithin):
		}
		clients.Ready()
		log.Info("ready", zap.String("listen", told.Listen))
	}()

	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-term
		log.Info("asked to end")
		clients.Drain(listener)
		cancel()
	}()
	if err := clients.Serve(listener); err != nil {
		return err
	}
	<-ctx.Done()
	log.Info("ended")
	return nil
}

// limits keeps the runtime within what is handed in.
func limits(told *boot.Handed) {
	if told.Cores > 0 {
		runtime.GOMAXPROCS(max(int(told.Cores), 1))
	}
	if told.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(told.MemoryMB) << 20 / heapPart)
	}
}
