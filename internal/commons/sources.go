package commons

import (
	"context"
	"time"

	"harrierhoist/internal/charter"
	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/evidence"
	"harrierhoist/internal/cluster/follow"
	"harrierhoist/internal/cluster/link"
)

// own is this process's own voter as a source.
type own struct {
	name  string
	voter func() cluster.Voter
}

// ownSlack is what the own voter's answer may take beyond the wait that was asked for.
const ownSlack = 300 * time.Millisecond

func (o own) Name() string { return o.name }

func (o own) Tell(_ context.Context, d evidence.Digest) error {
	v := o.voter()
	if v == nil {
		return cluster.ErrStopped
	}
	v.Take([]evidence.Digest{d})
	return nil
}

func (o own) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (follow.Answer, error) {
	v := o.voter()
	if v == nil {
		return follow.Answer{}, cluster.ErrStopped
	}
	ctx, cancel := context.WithTimeout(ctx, wait+ownSlack)
	defer cancel()
	found, err := v.Read(ctx, known, wait)
	return follow.Answer{Tables: found, Own: true}, err
}

// remote is a voter at the end of a link.
type remote struct {
	name, address string
	client        *link.Client
}

func (r remote) Name() string { return r.name }

func (r remote) Tell(ctx context.Context, d evidence.Digest) error {
	return r.client.Digests(ctx, r.address, []evidence.Digest{d})
}

func (r remote) Read(ctx context.Context, known map[string]uint64, wait time.Duration) (follow.Answer, error) {
	found, group, err := r.client.Read(ctx, r.address, known, wait)
	return follow.Answer{Tables: found, Group: group}, err
}

// sources are the voters of the file in the order in which this process takes them: its own first.
func (p *Process) sources(c *charter.Charter) []follow.Source {
	var mine, others []follow.Source
	for _, v := range c.Voters {
		if p.voter != nil && v.Name == c.Process.Name {
			mine = append(mine, own{v.Name, p.voter.Voter})
		} else {
			others = append(others, remote{v.Name, v.Address, p.client})
		}
	}
	return append(mine, follow.Order(c.Process.Name, others)...)
}
