package dispatch

import (
	"time"

	"harrierhoist/policy"
)

// counterQueue puts the counter's replies into the order of the calls, by name: the decision module
// matches them in that order, which two connections, as after a change of the counter's address, do
// not keep between them.
type counterQueue struct {
	calls []*counterCall // oldest first; delivered ones stay until all before them are delivered
}

// counterCall is a call to the counter.
type counterCall struct {
	name      uint64
	startedAt time.Duration
	reply     *policy.CountResult // nil: none yet
	delivered bool
}

func (q *counterQueue) add(name uint64, now time.Duration) *counterCall {
	call := &counterCall{name: name, startedAt: now}
	q.calls = append(q.calls, call)
	return call
}

// complete takes the reply to a call, and delivers those for its name up to the first that is
// pending.
func (q *counterQueue) complete(call *counterCall, reply policy.CountResult, deliver func(policy.CountResult)) {
	call.reply = &reply
	for _, earlier := range q.calls {
		if earlier.name != call.name || earlier.delivered {
			continue
		}
		if earlier.reply == nil {
			break
		}
		earlier.delivered = true
		deliver(*earlier.reply)
	}
	for len(q.calls) > 0 && q.calls[0].delivered {
		q.calls = q.calls[1:]
	}
}
