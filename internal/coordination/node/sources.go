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

// localVoter is this process's own voter as a source.
type localVoter struct {
	name  string
	voter func() coordination.Voter
}

// localReadGrace is what the own voter's answer may take beyond the wait that was asked for.
const localReadGrace = 300 * time.Millisecond

func (o localVoter) Name() string { return o.name }

func (o localVoter) SendDigest(_ context.Context, d observation.Digest) error {
	v := o.voter()
	if v == nil {
		return coordination.ErrStopped
	}
	v.AddDigests([]observation.Digest{d})
	return nil
}

func (o localVoter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (follower.ReadResult, error) {
	v := o.voter()
	if v == nil {
		return follower.ReadResult{}, coordination.ErrStopped
	}
	ctx, cancel := context.WithTimeout(ctx, wait+localReadGrace)
	defer cancel()
	found, err := v.Read(ctx, known, wait)
	return follower.ReadResult{Tables: found, FromOwnVoter: true}, err
}

// remoteVoter is a voter at the end of a link.
type remoteVoter struct {
	name, address string
	client        *transport.Client
}

func (r remoteVoter) Name() string { return r.name }

func (r remoteVoter) SendDigest(ctx context.Context, d observation.Digest) error {
	return r.client.Digests(ctx, r.address, []observation.Digest{d})
}

func (r remoteVoter) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (follower.ReadResult, error) {
	found, group, err := r.client.Read(ctx, r.address, known, wait)
	return follower.ReadResult{Tables: found, GroupID: group}, err
}

// sources are the voters of the file in the order in which this process takes them: its own first.
func (n *Node) sources(cfg *config.Config) []follower.Source {
	var mine, others []follower.Source
	for _, v := range cfg.Voters {
		if n.host != nil && v.Name == cfg.Process.Name {
			mine = append(mine, localVoter{v.Name, n.host.Voter})
		} else {
			others = append(others, remoteVoter{v.Name, v.Address, n.client})
		}
	}
	return append(mine, follower.PreferenceOrder(cfg.Process.Name, others)...)
}
