package dispatch

import (
	"time"

	"harrierhoist/policy"
)

// counterCallQueue delivers the counter's replies for a name in the order of the calls, because the
// decision module matches them to its calls in that order. Replies on two connections, for example
// after the counter's address has changed, can arrive out of order.
type counterCallQueue struct {
	calls []*counterCall // oldest first; a delivered call stays until all before it are delivered
}

// counterCall is a call to the counter.
type counterCall struct {
	name      uint64
	startedAt time.Duration
	reply     *policy.CountResult // nil: not received yet
	delivered bool
}

func (q *counterCallQueue) add(name uint64, now time.Duration) *counterCall {
	call := &counterCall{name: name, startedAt: now}
	q.calls = append(q.calls, call)
	return call
}

// complete records the reply to a call. It then delivers the replies for the call's name up to the
// first pending call.
func (q *counterCallQueue) complete(call *counterCall, reply policy.CountResult, deliver func(policy.CountResult)) {
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
