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

// AddressInUseError reports that a voter answers at this voter's address already.
type AddressInUseError struct {
	Address string
	Voter   transport.VoterInfo
}

// Error implements error.
func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("voter %d, process %q, answers at %s already", e.Voter.Number, e.Voter.Name, e.Address)
}

// NumberMismatchError reports that a folder holds the log of a voter of another number than the
// file's.
type NumberMismatchError struct{ Log, File uint64 }

// Error implements error.
func (e *NumberMismatchError) Error() string {
	return fmt.Sprintf(
		"holds the log of voter %d, and the file says %d: a new number takes an empty folder",
		e.Log,
		e.File,
	)
}

// hostOptions are what a voter host needs of its process.
type hostOptions struct {
	path        string // of the file
	incarnation uint64
	network     transport.Network
	client      *transport.Client
	config      func() *config.Config // in force
	controllers ControllerFactory
	logger      *zap.Logger
}

// voterHost is a voter's place in its process: its server, its log, and the voter once it has
// started.
type voterHost struct {
	incarnation uint64
	config      func() *config.Config
	controllers ControllerFactory
	logger      *zap.Logger

	storage  *wal.Log
	listener net.Listener
	server   *transport.Server // owns the listener
	sender   *transport.MessageSender
	follower *follower.Follower // of the process; set by serve

	mu             sync.Mutex // guards what follows
	self           config.Voter
	initialMembers []coordination.Member // of the log that it started in this incarnation, with their disk IDs
	voter          *voter.Voter          // nil until it has started
	stopped        bool                  // the process ends: no voter is started any more
}

// openVoterHost opens a voter's log and listener. Where the log is empty, the voter is started
// later.
func openVoterHost(ctx context.Context, cfg *config.Config, options hostOptions) (*voterHost, error) {
	self := *cfg.Self()
	// Prevents two processes with the same file from both running this voter.
	if other, err := options.client.Info(ctx, self.Address); err == nil {
		return nil, fmt.Errorf("%s: %w", options.path, &AddressInUseError{Address: self.Address, Voter: other})
	}
	address := cfg.Process.Listen
	if address == "" {
		address = self.Address
	}
	listener, err := options.network.Listen(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%s: process.listen: %w", options.path, err)
	}
	storage, err := wal.Open(cfg.Process.Folder)
	if err != nil {
		_ = listener.Close() // nobody has connected; the error that matters is the disk's
		return nil, fmt.Errorf("%s: process.disk: %w", options.path, err)
	}
	h := &voterHost{
		incarnation: options.incarnation,
		config:      options.config,
		controllers: options.controllers,
		logger:      options.logger,
		storage:     storage,
		listener:    listener,
		sender:      transport.NewMessageSender(options.network),
		self:        self,
	}
	if len(storage.Records()) > 0 {
		if err := h.startVoter(ctx, cfg, nil); err != nil {
			_ = listener.Close() // nobody has connected; the error that matters is the voter's
			h.sender.Close()
			return nil, errors.Join(fmt.Errorf("%s: process.disk: %w", options.path, err), storage.Close())
		}
	}
	return h, nil
}

// serve answers other processes from now on.
func (h *voterHost) serve(cfg *config.Config, f *follower.Follower) {
	h.follower = f
	h.server = transport.Serve(h.listener, h, cfg.Process.MaxConnections, h.logger)
}

// member returns this voter as the others are to know it.
func (h *voterHost) member() coordination.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.memberLocked()
}

// memberLocked is member for a caller that holds the lock.
func (h *voterHost) memberLocked() coordination.Member {
	return coordination.Member{
		Number: h.self.Number, Name: h.self.Name, Address: h.self.Address, DiskID: h.storage.DiskID(),
	}
}

// startVoter starts the voter: with the members that start the log, or none where the log is on its
// disk or comes from others. Errors: ErrStopped, a *NumberMismatchError, or the voter's.
func (h *voterHost) startVoter(ctx context.Context, cfg *config.Config, initialMembers []coordination.Member) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return coordination.ErrStopped
	}
	started, err := voter.Open(ctx, voter.Options{
		Self: h.memberLocked(), InitialMembers: initialMembers, Log: h.storage, Controllers: h.controllers(cfg),
		Send: h.send, Logger: h.logger,
	})
	if err != nil {
		return err
	}
	if number := started.Status().Number; number != h.self.Number {
		return errors.Join(&NumberMismatchError{Log: number, File: h.self.Number}, started.Close())
	}
	h.voter = started
	h.initialMembers = initialMembers
	return nil
}

// send hands a voter's message to the sender. It goes to the address of the file, which may differ
// between processes, and to the log's where this process's file does not name the voter yet.
func (h *voterHost) send(to coordination.Member, message []byte) {
	address := to.Address
	for _, configured := range h.config().Voters {
		if configured.Number == to.Number {
			address = configured.Address
		}
	}
	h.sender.Send(to.Number, address, message)
}

// Voter implements transport.Host.
func (h *voterHost) Voter() coordination.Voter {
	if running := h.runningVoter(); running != nil {
		return running
	}
	return nil
}

// runningVoter returns the voter, nil until it has started.
func (h *voterHost) runningVoter() *voter.Voter {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.voter
}

// Info implements transport.Host.
func (h *voterHost) Info() transport.VoterInfo {
	h.mu.Lock()
	member := h.memberLocked()
	running := h.voter
	info := transport.VoterInfo{
		Number: member.Number, Name: member.Name, Address: member.Address, DiskID: member.DiskID,
		Started: running != nil, Incarnation: h.incarnation, InitialMembers: h.initialMembers,
	}
	h.mu.Unlock()
	if running != nil {
		info.Status = running.Status()
	}
	return info
}

// GroupID implements transport.Host.
func (h *voterHost) GroupID() []byte { return h.follower.Cached(follower.GroupTable).Value }

// reload takes over a new configuration. A voter that has not started takes its number from it; one
// that has started keeps its own.
func (h *voterHost) reload(cfg *config.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := cfg.Self()
	isAccepted := self != nil && (h.voter == nil || self.Number == h.self.Number)
	if isAccepted {
		h.self = *self
	} else {
		h.logger.Warn("coordination: changed voter number needs a restart with an empty folder",
			zap.Strings("keys", []string{"voter.number"}))
	}
	if h.voter != nil {
		h.voter.SetControllers(h.controllers(cfg))
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
		if err := running.Close(); err != nil {
			h.logger.Warn("coordination: closing the voter failed", zap.Error(err))
		}
	}
}

// close ends server and sender and closes the log, once the host's goroutines have ended.
func (h *voterHost) close() {
	h.server.Close()
	h.sender.Close()
	if err := h.storage.Close(); err != nil {
		h.logger.Warn("coordination: closing the voter's log failed", zap.Error(err))
	}
}
