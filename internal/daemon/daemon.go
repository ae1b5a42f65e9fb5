// Package daemon is one gateway on sockets, put together from its parts, with its signals and its log. The command
// harrierhoist runs it, and so does the laboratory for gateways of its own.
package daemon

import (
	"context"
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

// Run serves as the file at a path says, until it is asked to end.
func Run(path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: it would end the program
	told, err := boot.Read(path)
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
	outside := gate.Outside{Kept: servers.Kept(), Probe: func(s gate.Server, heard func(gate.Result)) { go servers.Probe(s, heard) }}
	var count *counter.Counter
	if site.HasCounter {
		count = counter.New(told.Counter, told.ConnectWithin, log)
		outside.Count = count.Add
	}
	g, err := gate.New(*site, told.Seed, outside, log)
	if err != nil {
		return err
	}
	list, err := roster.New(told, g, log)
	if err != nil {
		return err
	}
	clients := front.New(site, g, servers, each, log)
	listener, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return err
	}
	go g.Tick(ctx)
	go list.Watch(ctx)
	go servers.Sweep(ctx)
	go clients.Sweep(ctx)
	go func() {
		select { // a list that may be old serves where discovery is silent
		case <-list.First():
		case <-time.After(told.ConnectWithin):
		}
		clients.Ready()
		log.Info("ready", zap.String("listen", told.Listen))
	}()

	go func() {
		for range hup {
			reload(path, count, list, log)
		}
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

// reload reads the configuration again and moves to the addresses that it names. All else in it takes a restart.
// One that cannot be read leaves the old one in force.
func reload(path string, count *counter.Counter, list *roster.Roster, log *zap.Logger) {
	told, err := boot.Read(path)
	if err != nil {
		log.Error("the new configuration is not taken", zap.Error(err))
		return
	}
	list.Move(told.Discovery)
	if count != nil && told.Counter != "" {
		count.Move(told.Counter)
	}
	log.Info("a new configuration", zap.String("discovery", told.Discovery), zap.String("counter", told.Counter))
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
