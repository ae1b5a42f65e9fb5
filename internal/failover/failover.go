package failover

import (
	"slices"
	"time"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/cluster/tables"
	"harrierhoist/internal/witness"
)

// Decider turns evidence into plans. It runs at the leader and is made anew with each new leader: all that it must know
// of earlier plans stands in the value.
type Decider struct {
	terms  Terms
	lease  time.Duration
	halls  []string
	region []int
	names  *names
	looks  looks
	view   *view

	begun bool
	epoch uint64
	none  bool            // no plan stands: all are taken to serve near, as gateways without one do
	plan  *Plan           // the one that stands, or an empty one
	cur   [][]int         // its rows, by hall
	rest  []time.Duration // until when a hall rests; 0: it doesn't
	until time.Duration   // until when some may act on the rows before
	wrote time.Duration   // when this decider saw the plan first
}

// New makes a decider. Lease is the longest that a gateway acts on a plan after another was written.
func New(terms Terms, lease time.Duration) *Decider {
	d := &Decider{terms: terms.Filled(), lease: lease, halls: terms.Halls()}
	for i, r := range terms.Regions {
		for range r.Halls {
			d.region = append(d.region, i)
		}
	}
	d.names, d.view = named(d.halls), newView(&d.terms, len(d.halls))
	d.rest = make([]time.Duration, len(d.halls))
	return d
}

var _ cluster.Decider = (*Decider)(nil)

// Table is the table that it writes.
func (d *Decider) Table() string { return Table }

// Decide gives the next plan, or write false where the one that stands is to stay. It is called some ten times a second.
func (d *Decider) Decide(now time.Duration, seen cluster.Seen) (value []byte, write bool) {
	if e := seen.Held(Table); !d.begun || e.Epoch != d.epoch {
		d.take(now, e)
	}
	if !d.looks.add(d.names.look(now, seen.Sums)) || !d.view.look(d.looks) || d.none && now < d.view.began+riseOver {
		return nil, false
	}
	next := d.next(now)
	if next == nil {
		return nil, false
	}
	value, err := next.Bytes()
	return value, err == nil // maps of strings and numbers are always encoded
}

// take takes the plan that stands. What is not known of it is taken at its worst: that it was written just now.
func (d *Decider) take(now time.Duration, e tables.Entry) {
	plan, err := Read(e.Value)
	d.none = err != nil || plan == nil // a spoilt one is written anew
	if d.none {
		plan = &Plan{}
	}
	rows := d.matrix(plan)
	for f, hall := range d.halls {
		switch {
		case !slices.Contains(plan.Resting, hall):
			d.rest[f] = 0
		case d.cur == nil || !slices.Equal(rows[f], d.cur[f]) || d.plan.Shed[hall] != plan.Shed[hall]:
			d.rest[f] = now + d.terms.stay()
		}
	}
	if !d.begun && !d.none {
		d.remember(now, plan)
	}
	d.begun, d.epoch, d.plan, d.cur = true, e.Epoch, plan, rows
	d.until, d.wrote = now+d.lease, now
}

// matrix is a plan's rows by the places of halls. A row that the plan lacks, or one of other halls, is near.
func (d *Decider) matrix(p *Plan) (rows [][]int) {
	for f, from := range d.halls {
		row, sum := make([]int, len(d.halls)), 0
		for t, to := range d.halls {
			row[t] = max(p.Rows[from][to], 0)
			sum += row[t]
		}
		if sum != whole {
			clear(row)
			row[f] = whole
		}
		rows = append(rows, row)
	}
	return rows
}

// remember has a new leader begin with the demand that the plan was made for, and hold to be lost what it does, until it
// hears otherwise.
func (d *Decider) remember(now time.Duration, p *Plan) {
	d.view.measured = true
	for t, hall := range d.halls {
		d.view.demand[t] = float64(p.Demand[hall]) / 1000
		if sound, ok := p.Sound[hall]; ok && sound <= whole*witness.Ill/witness.Sound {
			d.view.sound[t], d.view.aged[t] = sound*witness.Sound/whole, now
		}
	}
	for f, from := range d.halls {
		for t, to := range d.halls {
			if slices.Contains(p.Shut, [2]string{from, to}) {
				d.view.pair[f][t], d.view.pairAged[f][t] = witness.Lost, now
			}
		}
	}
}
