// Package node puts together what a process needs to take part in the coordination, as the
// operators' file says: the follower that every process has and, in a voter, its server, its log
// and the voter itself. The gateway's wiring opens it where a coordination file is named, reloads
// it on SIGHUP and closes it at the end.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/transport"
)

// connectionsPerVoter is how many connections a process opens to each voter: one for the waiting
// read, one for digests.
const connectionsPerVoter = 2

// transferTimeout is how long a planned end waits for another voter to take the lead.
const transferTimeout = time.Second

// ControllerFactory makes the controllers that run where this process's voter leads, by the
// configuration in force.
type ControllerFactory func(*config.Config) []coordination.Controller

// Node is this process's part in the coordination. It owns all that it starts, and ends it in
// Close.
type Node struct {
	path     string
	logger   *zap.Logger
	client   *transport.Client
	follower *follower.Follower
	host     *voterHost // nil where the process is no voter

	config    atomic.Pointer[config.Config]
	reloading sync.Mutex // held for a reload: one at a time

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Open starts what the file at a path names. Errors are of the file, or of the address and the disk
// that it names.
func Open(path string, controllers ControllerFactory, logger *zap.Logger) (*Node, error) {
	cfg, err := config.Read(path)
	if err != nil {
		return nil, err
	}
	network := transport.Network{Private: cfg.Process.PrivateNetwork}
	n := &Node{
		path: path, logger: logger.With(zap.String("process", cfg.Process.Name)),
		client: transport.NewClient(network, connectionsPerVoter),
	}
	n.config.Store(cfg)
	// Where the clock was set back between two incarnations, what the later one counts is ignored
	// until the clock has passed the start of the earlier.
	incarnation := uint64(time.Now().UnixNano())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if cfg.Process.Voter {
		n.host, err = openVoterHost(ctx, cfg, hostOptions{
			path: path, incarnation: incarnation, network: network, client: n.client,
			config: n.Config, controllers: controllers, logger: n.logger,
		})
		if err != nil {
			cancel()
			n.client.Close()
			return nil, err
		}
	}
	n.follower = follower.New(cfg.Process.Name, incarnation, n.sources(cfg), followerTiming(cfg), follower.SystemUptime,
		n.logger)
	n.goroutines.Go(func() { n.follower.Run(ctx) })
	if n.host != nil {
		n.host.serve(cfg, n.follower)
		n.goroutines.Go(func() { n.runHost(ctx) })
	}
	n.logger.Info("coordination: started", zap.Bool("voter", cfg.Process.Voter), zap.Int("voters", len(cfg.Voters)))
	return n, nil
}

// runHost starts the voter as soon as it knows how, and then does what the leader does outside the
// controllers.
func (n *Node) runHost(ctx context.Context) {
	if n.host.runningVoter() == nil {
		starter := &bootstrapper{
			host: n.host, client: n.client, config: n.Config, logger: n.logger,
			started: n.reconfigureFollower, // the follower had turned to other voters meanwhile
		}
		if !starter.run(ctx) {
			return
		}
	}
	members := &reconciler{
		host: n.host, client: n.client, follower: n.follower, config: n.Config, logger: n.logger, nextNumber: 1,
	}
	members.run(ctx)
}

// reconfigureFollower has the follower use the file's voters, its own one first, and its timing.
func (n *Node) reconfigureFollower(cfg *config.Config) {
	n.follower.Reconfigure(n.sources(cfg), followerTiming(cfg))
}

func followerTiming(cfg *config.Config) follower.Timing {
	return follower.Timing{Lease: cfg.Timing.Lease.Duration, DigestInterval: cfg.Timing.DigestInterval.Duration}
}

// Client returns the tables and leases for the parts of the process.
func (n *Node) Client() coordination.Client { return n.follower }

// Config returns the configuration in force.
func (n *Node) Config() *config.Config { return n.config.Load() }

// Reload reads the file again and puts in force what can change in place: voters, timing, the
// parts' settings. The keys of what only a restart can change are logged; a bad file changes
// nothing. It reports whether the file was accepted.
func (n *Node) Reload() bool {
	cfg, err := config.Read(n.path)
	if err != nil {
		n.logger.Error("coordination: new configuration rejected", zap.Strings("faults", config.FaultLines(err)))
		return false
	}
	n.reloading.Lock()
	defer n.reloading.Unlock()
	if keys := cfg.RetainRestartOnly(n.Config()); len(keys) > 0 {
		n.logger.Warn("coordination: changed settings need a restart", zap.Strings("keys", keys))
	}
	n.config.Store(cfg)
	n.reconfigureFollower(cfg)
	if n.host != nil {
		n.host.reload(cfg)
	}
	n.logger.Info("coordination: new configuration in force", zap.Int("voters", len(cfg.Voters)))
	return true
}

// TransferLeadership hands the lead to another voter where this process has it: before a planned
// end.
func (n *Node) TransferLeadership() {
	if n.host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.host.transferLeadership(ctx)
}

// Close ends all that Open started, and waits for it.
func (n *Node) Close() {
	n.cancel()
	if n.host != nil {
		n.host.stop() // calls to it that wait end with it
	}
	n.goroutines.Wait()
	if n.host != nil {
		n.host.close()
	}
	n.client.Close()
}
