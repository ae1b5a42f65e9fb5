package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/transport"
	"harrierhoist/internal/coordination/voter"
	"harrierhoist/internal/coordination/wal"
)

// voterHost is a voter's place in its process: its link, its disk, and the voter once it has begun.
type voterHost struct {
	node        *Node
	incarnation uint64
	storage     *wal.Log
	listener    net.Listener
	server      *transport.Server // it owns the listener
	sender      *transport.MessageSender

	mu             sync.Mutex
	self           config.Voter
	initialMembers []coordination.Member // with whom it began in this life, with the marks of their disks
	voter          *voter.Voter
	stopped        bool // no voter is opened any more
}

// openVoterHost opens a voter's disk and link. The voter itself begins when it knows how.
func (n *Node) openVoterHost(ctx context.Context, cfg *config.Config, network transport.Network, incarnation uint64) (*voterHost, error) {
	self := *cfg.Self()
	// Two processes on one file, the second of which listens elsewhere, would be one voter twice.
	if other, err := n.client.Info(ctx, self.Address); err == nil {
		return nil, fmt.Errorf("%s: voter %d, process %q, answers at %s already",
			n.path, other.Number, other.Name, self.Address)
	}
	address := cfg.Process.Listen
	if address == "" {
		address = self.Address
	}
	listener, err := network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("%s: process.listen: %w", n.path, err)
	}
	storage, err := wal.Open(cfg.Process.Folder)
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("%s: process.disk: %w", n.path, err)
	}
	h := &voterHost{node: n, incarnation: incarnation, storage: storage, self: self, sender: transport.NewMessageSender(network),
		listener: listener}
	if len(storage.Records()) > 0 {
		if err := h.startVoter(cfg, nil); err != nil {
			_ = listener.Close()
			h.sender.Close()
			return nil, errors.Join(fmt.Errorf("%s: process.disk: %w", n.path, err), storage.Close())
		}
	}
	return h, nil
}

// serve answers other processes from now on.
func (h *voterHost) serve(cfg *config.Config) {
	h.server = transport.Serve(h.listener, h, cfg.Process.MaxConnections, h.node.logger)
}

// startVoter opens the voter: with the members that begin the log, or none where the log is on its disk or comes from others.
func (h *voterHost) startVoter(cfg *config.Config, initialMembers []coordination.Member) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return coordination.ErrStopped
	}
	self := coordination.Member{Number: h.self.Number, Name: h.self.Name, Address: h.self.Address, DiskID: h.storage.DiskID()}
	running, err := voter.Open(voter.Options{
		Self: self, InitialMembers: initialMembers, Log: h.storage, Controllers: h.node.controllers(cfg),
		Send: h.send, Logger: h.node.logger,
	})
	if err != nil {
		return err
	}
	if n := running.Status().Number; n != h.self.Number {
		return errors.Join(fmt.Errorf("holds the log of voter %d, and the file says %d:"+
			" a new number takes an empty folder", n, h.self.Number), running.Close())
	}
	h.voter, h.initialMembers = running, initialMembers
	return nil
}

// send hands a voter's message to the links. Where a voter is, the file says; what the log says is for processes
// whose file does not name it yet.
func (h *voterHost) send(to coordination.Member, message []byte) {
	address := to.Address
	for _, v := range h.node.Config().Voters {
		if v.Number == to.Number {
			address = v.Address
		}
	}
	h.sender.Send(to.Number, address, message)
}

// Voter implements link.Host.
func (h *voterHost) Voter() coordination.Voter {
	if running := h.runningVoter(); running != nil {
		return running
	}
	return nil
}

func (h *voterHost) runningVoter() *voter.Voter {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.voter
}

// Info implements link.Host.
func (h *voterHost) Info() transport.VoterInfo {
	h.mu.Lock()
	running, info := h.voter, transport.VoterInfo{Number: h.self.Number, Name: h.self.Name, Address: h.self.Address,
		DiskID: h.storage.DiskID(), Started: h.voter != nil, Incarnation: h.incarnation, InitialMembers: h.initialMembers}
	h.mu.Unlock()
	if running != nil {
		info.Status = running.Status()
	}
	return info
}

// GroupID implements link.Host.
func (h *voterHost) GroupID() []byte { return h.node.follower.Cached(follower.GroupTable).Value }

// reload takes a new file. A voter that has not begun takes its number from it; one that has keeps its own.
func (h *voterHost) reload(cfg *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if self := cfg.Self(); self != nil && (h.voter == nil || self.Number == h.self.Number) {
		h.self = *self
	} else {
		h.node.logger.Warn("left as it was: this takes a restart, with an empty folder as its disk",
			zap.Strings("keys", []string{"voter.number"}))
	}
	if h.voter != nil {
		h.voter.SetControllers(h.node.controllers(cfg))
	}
}

func (h *voterHost) transferLeadership(ctx context.Context) {
	if running := h.runningVoter(); running != nil {
		running.TransferLeadership(ctx)
	}
}

// stop ends the voter.
func (h *voterHost) stop() {
	h.mu.Lock()
	running := h.voter
	h.stopped = true
	h.mu.Unlock()
	if running != nil {
		_ = running.Close()
	}
}

// close gives back what the seat holds, once its goroutines have ended.
func (h *voterHost) close() {
	h.server.Close()
	h.sender.Close()
	if err := h.storage.Close(); err != nil {
		h.node.logger.Warn("the disk of this voter did not close", zap.Error(err))
	}
}
