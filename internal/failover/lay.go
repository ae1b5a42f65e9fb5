package failover

import "math"

// task is what is to be laid out. All figures are units a second, by hall or by pair (from, to).
type task struct {
	region []int
	demand []float64
	bears  []float64
	most   float64     // the part of bears that is planned at most
	shut   [][]bool    // links not to be used
	before [][]float64 // what may still be pushed by those that have not heard of the latest plan
	fixed  [][]float64 // rows that stay; nil: those to be laid out
	low    [][]float64 // of a row to be laid out: what stays where it is
	high   [][]float64 // and what a pair may get at most
	trial  []float64   // what tries the own hall, which is avoided
	lift   []bool      // the own hall may get more than high before anything is left
	loads  []float64
	spare  []float64 // by receiver: room above what old plans may still bring
}

// rounds is how often what is left is shared out among the receivers of a kind: each round fills one of them up, or
// places all.
const rounds = 12

// lay lays the rows out: the own hall first, then those of the region, then the others; left is what fits nowhere.
// No receiver gets more than the most of what it bears, nor, with what may still come by old plans, more than it bears.
// Among halls equally near what is left is shared out by their room.
func (k *task) lay() (out [][]float64, left []float64) {
	n := len(k.demand)
	out = make([][]float64, n)
	k.loads, k.spare = make([]float64, n), make([]float64, n)
	for t := range n {
		k.spare[t] = k.bears[t]
		for f := range n {
			k.spare[t] -= k.before[f][t]
		}
		k.spare[t] = max(k.spare[t], 0)
	}
	left = make([]float64, n)
	for f := range n {
		out[f] = make([]float64, n)
		row := k.low
		if k.fixed[f] != nil {
			row = k.fixed
		} else {
			left[f] = k.demand[f]
		}
		for t, x := range row[f] {
			k.put(out, left, f, t, x)
		}
		if k.fixed[f] != nil {
			left[f] = 0
		}
	}
	for f := range n {
		if k.fixed[f] == nil && k.trial[f] > 0 {
			x := min(k.trial[f], left[f])
			out[f][f], left[f] = out[f][f]+x, left[f]-x // of what is avoided no room is asked
		}
	}
	for _, near := range []int{0, 1, 2, lifted} {
		for range rounds {
			if !k.round(out, left, near) {
				break
			}
		}
	}
	return out, left
}

func (k *task) put(out [][]float64, left []float64, f, t int, x float64) {
	k.spare[t] = max(k.spare[t]-k.beyond(out, f, t, x), 0)
	out[f][t] += x
	k.loads[t] += x
	left[f] -= x
}

// beyond is how much of a further x for a pair is above what old plans may bring there anyway.
func (k *task) beyond(out [][]float64, f, t int, x float64) float64 {
	return max(out[f][t]+x-max(k.before[f][t], out[f][t]), 0)
}

// room is how much more a pair may get, others aside.
func (k *task) room(out [][]float64, f, t, near int) float64 {
	kind, high := k.kind(f, t), k.high[f][t]
	if near == lifted && k.lift[f] && f == t {
		kind, high = lifted, math.Inf(1)
	}
	if k.shut[f][t] || kind != near {
		return 0
	}
	room := min(k.most*k.bears[t]-k.loads[t], high-out[f][t],
		max(k.before[f][t]-out[f][t], 0)+k.spare[t])
	return max(room, 0)
}

// lifted is the own hall once more, without the limit of a step.
const lifted = 3

// kind is how near a hall is to another.
func (k *task) kind(f, t int) int {
	switch {
	case f == t:
		return 0
	case k.region[f] == k.region[t]:
		return 1
	}
	return 2
}

// round shares out what is left among the receivers of a kind, and tells whether any of it was placed.
func (k *task) round(out [][]float64, left []float64, near int) bool {
	n := len(left)
	ask := make([][]float64, n)
	asked, above := make([]float64, n), make([]float64, n)
	for f := range n {
		ask[f] = make([]float64, n)
		sum := 0.0
		for t := range n {
			if left[f] > tiny {
				ask[f][t] = k.room(out, f, t, near)
				sum += ask[f][t]
			}
		}
		for t := range n {
			if sum > 0 {
				ask[f][t] *= min(left[f]/sum, 1)
			}
			asked[t] += ask[f][t]
			above[t] += k.beyond(out, f, t, ask[f][t])
		}
	}
	placed := false
	for t := range n {
		part := 1.0
		if room := max(k.most*k.bears[t]-k.loads[t], 0); asked[t] > room {
			part = room / asked[t]
		}
		if above[t] > k.spare[t] {
			part = min(part, k.spare[t]/above[t])
		}
		for f := range n {
			if x := ask[f][t] * part; x > tiny {
				k.put(out, left, f, t, x)
				placed = true
			}
		}
	}
	return placed
}

// tiny is a rate, in units a second, that is none.
const tiny = 1e-9

// thousandths are the shares of a row: what is lost to whole numbers stays at home.
func thousandths(row []float64, left float64, own int) (shares []int, shed int) {
	sum := left
	for _, x := range row {
		sum += x
	}
	shares = make([]int, len(row))
	if sum <= 0 {
		shares[own] = whole
		return shares, 0
	}
	part := func(x float64) int { return int(math.Floor(max(x, 0)/sum*whole + 1e-6)) }
	shares[own], shed = whole, part(left)
	for t, x := range row {
		if t != own {
			shares[t] = part(x)
			shares[own] -= shares[t]
		}
	}
	return shares, min(shed, shares[own])
}
