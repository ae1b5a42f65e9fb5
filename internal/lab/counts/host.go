package counts

import (
	"time"

	"harrierhoist/policy"
)

// Push has a server answer after 20 to 60 ms.
func (n *node) Push(id, server uint32, _ time.Duration) {
	t := n.mine[id]
	if t == nil {
		return
	}
	t.pushed, t.sent = true, n.now
	n.tell(n.some(20*time.Millisecond, 60*time.Millisecond), func() {
		weight := t.weight
		if n.plant == WrongRule { // what the rule in force now would have it weigh
			weight = n.fitted[n.table.InForce(n.now)].Count(t.customer, t.lane, 0).Weight
		}
		t.billed = weight
		n.final(id)
		n.module.Ended(n.now, policy.Push{Task: id, Server: server, Outcome: policy.Answered,
			Took: 40 * time.Millisecond, Done: true,
			Billed: weight})
	})
}

// Cancel is not needed: servers always answer.
func (n *node) Cancel(uint32, int) {}

// Reject is a final answer.
func (n *node) Reject(id uint32, _ time.Duration) { n.final(id) }

// Terminate is one.
func (n *node) Terminate(id uint32) { n.final(id) }

// Count calls the counter.
func (n *node) Count(name uint64, _ time.Duration, units float64) {
	at := n.now
	if n.reading { // what a window carries over to the next is no task's
		n.charged[name] -= units
	}
	n.add(name, units, func(total float64) {
		n.reading = true
		defer func() { n.reading = false }()
		n.module.Counted(n.now, policy.Tally{Name: name, Total: total, Took: n.now - at})
	})
}

// Probe is not asked for.
func (n *node) Probe(uint32) {}

// Tell reaches nobody.
func (n *node) Tell(int, []byte) {}

// Watch is not needed: the list stands.
func (n *node) Watch() {}

// Wake wakes the module later.
func (n *node) Wake(token uint64, after time.Duration) {
	n.tell(after, func() { n.module.Woke(n.now, token) })
}

// Forget need not be heeded.
func (n *node) Forget(uint64) {}

// Log is not kept.
func (n *node) Log(string) {}
