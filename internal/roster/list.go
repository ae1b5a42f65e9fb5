package roster

import (
	"encoding/json"
	"slices"

	"harrierhoist/internal/boot"
	"harrierhoist/internal/gate"
	"harrierhoist/policy"
)

// list is an answer of discovery.
type list struct {
	seq     int64
	whole   bool
	servers []gate.Server
}

func (r *Roster) decode(body []byte) (*list, error) {
	var page struct {
		Seq   int64
		Whole bool
		Hosts []struct {
			Host, Dial, Site, Class, Health string

			Block  int
			Share  float64
			BornMs float64 `json:"born_ms"`
		}
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, err
	}
	l := &list{seq: page.Seq, whole: page.Whole}
	for _, h := range page.Hosts {
		stage := policy.Gone
		switch h.Health {
		case "in_service":
			stage = policy.Ready
		case "terminating":
			stage = policy.Draining
		}
		l.servers = append(l.servers, gate.Server{Name: h.Host, Dial: h.Dial, Listed: policy.Listed{
			Stage: stage, Power: h.Share, Since: boot.Span(h.BornMs), Cell: h.Block,
			Hall: max(slices.Index(r.halls, h.Site), 0), Kind: max(slices.Index(r.kinds, h.Class), 0)}})
	}
	return l, nil
}
