// Package commons puts together what a process needs to take part in what all hold in common, as the operators' file
// says: the follower that every process has and, in a voter, its link, its disk and the voter itself.
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

// connectionsPerVoter is how many connections a process opens to a voter: one for the read that waits, one for digests.
const connectionsPerVoter = 2

// transferTimeout is how long an end waits for another voter to take the lead.
const transferTimeout = time.Second

// Node is this process's part. It owns all that it starts, and gives it back in Close.
type Node struct {
	path        string
	controllers func(*config.Config) []coordination.Controller
	logger      *zap.Logger
	client      *transport.Client
	follower    *follower.Follower
	host        *voterHost // nil where it only follows

	config    atomic.Pointer[config.Config]
	reloading sync.Mutex // one file is taken after the other

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Open starts what the file at a path names. The deciders are those of the leader, by the file. Errors are of the
// file, or of the address and the disk that it names.
func Open(path string, controllers func(*config.Config) []coordination.Controller, logger *zap.Logger) (*Node, error) {
	cfg, err := config.Read(path)
	if err != nil {
		return nil, err
	}
	network := transport.Network{Private: cfg.Process.PrivateNetwork}
	n := &Node{path: path, controllers: controllers, logger: logger.With(zap.String("process", cfg.Process.Name)),
		client: transport.NewClient(network, connectionsPerVoter)}
	n.config.Store(cfg)
	// Where a clock was set back between two lives, what the later one counts is not heard until it has passed the
	// earlier.
	incarnation := uint64(time.Now().UnixNano())
	ctx, end := context.WithCancel(context.Background())
	n.cancel = end
	if cfg.Process.Voter {
		if n.host, err = n.openVoterHost(ctx, cfg, network, incarnation); err != nil {
			end()
			n.client.Close()
			return nil, err
		}
	}
	n.follower = follower.New(cfg.Process.Name, incarnation, n.sources(cfg), followerTiming(cfg), follower.SystemUptime, n.logger)
	n.goroutines.Go(func() { n.follower.Run(ctx) })
	if n.host != nil {
		n.host.serve(cfg)
		n.goroutines.Go(func() { n.host.run(ctx) })
	}
	n.logger.Info("takes part in what is held in common", zap.Bool("voter", cfg.Process.Voter),
		zap.Int("voters", len(cfg.Voters)))
	return n, nil
}

func followerTiming(cfg *config.Config) follower.Timing {
	return follower.Timing{Lease: cfg.Timing.Lease.Duration, DigestInterval: cfg.Timing.DigestInterval.Duration}
}

// Client is what the process's parts ask.
func (n *Node) Client() coordination.Client { return n.follower }

// Config is the file in force.
func (n *Node) Config() *config.Config { return n.config.Load() }

// Reload reads the file again and takes what can change in place: voters, timing, the parts' terms. What only a
// restart can change is named in the log; a file that is not good leaves all as it was. It tells whether it was taken.
func (n *Node) Reload() bool {
	cfg, err := config.Read(n.path)
	if err != nil {
		n.logger.Error("the new charter is not taken", zap.Strings("faults", config.FaultLines(err)))
		return false
	}
	n.reloading.Lock()
	defer n.reloading.Unlock()
	if fixed := cfg.RetainRestartOnly(n.Config()); len(fixed) > 0 {
		n.logger.Warn("left as it was: this takes a restart", zap.Strings("keys", fixed))
	}
	n.config.Store(cfg)
	n.follower.Reconfigure(n.sources(cfg), followerTiming(cfg))
	if n.host != nil {
		n.host.reload(cfg)
	}
	n.logger.Info("a new charter", zap.Int("voters", len(cfg.Voters)))
	return true
}

// TransferLeadership gives the lead away where this process has it: before a planned end.
func (n *Node) TransferLeadership() {
	if n.host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.host.transferLeadership(ctx)
}

// Close ends all of it.
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
