package node

import (
	"context"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/config"
	"harrierhoist/internal/coordination/follower"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/transport"
)

// localReadGrace is how much longer than the requested wait a read of this process's own voter may
// take.
const localReadGrace = 300 * time.Millisecond

// sources returns the voters of the file in the order in which this process prefers them: its own
// first.
func (n *Node) sources(cfg *config.Config) []follower.Source {
	var local, remote []follower.Source
	for _, voter := range cfg.Voters {
		if n.host != nil && voter.Name == cfg.Process.Name {
			local = append(local, localVoter{voter.Name, n.host.Voter})
		} else {
			remote = append(remote, remoteVoter{voter.Name, voter.Address, n.client})
		}
	}
	return append(local, follower.PreferenceOrder(cfg.Process.Name, remote)...)
}

// localVoter is this process's own voter as a source.
type localVoter struct {
	name  string
	voter func() coordination.Voter // nil until it has started
}

// Name implements follower.Source.
func (l localVoter) Name() string { return l.name }

// SendDigest implements follower.Source.
func (l localVoter) SendDigest(_ context.Context, digest observation.Digest) error {
	voter := l.voter()
	if voter == nil {
		return coordination.ErrStopped
	}
	voter.AddDigests([]observation.Digest{digest})
	return nil
}

// Read implements follower.Source.
func (l localVoter) Read(
	ctx context.Context,
	known map[string]uint64,
	wait time.Duration,
) (follower.ReadResult, error) {
	voter := l.voter()
	if voter == nil {
		return follower.ReadResult{}, coordination.ErrStopped
	}
	ctx, cancel := context.WithTimeout(ctx, wait+localReadGrace)
	defer cancel()
	found, err := voter.Read(ctx, known, wait)
	return follower.ReadResult{Tables: found, FromOwnVoter: true}, err
}

// remoteVoter is another process's voter as a source.
type remoteVoter struct {
	name, address string
	client        *transport.Client
}

// Name implements follower.Source.
func (r remoteVoter) Name() string { return r.name }

// SendDigest implements follower.Source.
func (r remoteVoter) SendDigest(ctx context.Context, digest observation.Digest) error {
	return r.client.Digests(ctx, r.address, []observation.Digest{digest})
}

// Read implements follower.Source.
func (r remoteVoter) Read(
	ctx context.Context,
	known map[string]uint64,
	wait time.Duration,
) (follower.ReadResult, error) {
	found, groupID, err := r.client.Read(ctx, r.address, known, wait)
	return follower.ReadResult{Tables: found, GroupID: groupID}, err
}
