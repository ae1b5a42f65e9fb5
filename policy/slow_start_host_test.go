package policy_test

import (
	"slices"
	"time"

	"harrierhoist/policy"
)

// Attempt takes a request to a server: it queues there, and its work takes the longer, the less the server is warmed up.
func (g *gateway) Attempt(requestID, to uint32, until time.Duration) {
	s, work, incarnation, at := g.servers[to-1], g.units[requestID]/g.meanUnits, g.incarnation, g.now
	g.subset.CountAttempt(at)
	number := g.attempts[requestID]
	g.attempts[requestID]++
	s.sent = append(s.sent, arrival{at, work, g.notified})
	end := func(wait time.Duration, how policy.Outcome) {
		if how == policy.Answered && at+wait > until {
			wait, how = until-at, policy.TimedOut
		}
		g.after(wait, func() {
			if g.incarnation == incarnation {
				g.module.HandleAttemptResult(g.now, policy.AttemptResult{
					RequestID: requestID, Attempt: number, Server: to, Outcome: how, Latency: g.now - at,
					Final: how == policy.Answered,
				})
			}
		})
	}
	free := max(s.free, at+networkDelay)
	begin := time.Hour + restartAt
	switch {
	case g.silentBefore && slices.Contains(g.restarted(), s) && at < begin && at > begin-2*time.Second:
		end(until-at, policy.TimedOut)
	case s.failing && g.random.Float64() < 0.5:
		end(2*networkDelay, policy.Errored)
	case free > at+time.Second:
		end(2*networkDelay, policy.Rejected)
	default:
		s.free = free + time.Duration(work/warmRate/g.warmUpFraction(s, at)*float64(time.Second))
		end(s.free+networkDelay-at, policy.Answered)
	}
}

func (g *gateway) SetTimer(token uint64, after time.Duration) {
	incarnation := g.incarnation
	g.after(after, func() {
		if g.incarnation == incarnation {
			g.module.HandleTimer(g.now, token)
		}
	})
}
func (g *gateway) Cancel(uint32, int)                   {}
func (g *gateway) Reject(uint32, time.Duration)         {}
func (g *gateway) Terminate(uint32)                     {}
func (g *gateway) Count(uint64, time.Duration, float64) {}
func (g *gateway) CheckHealth(uint32)                   {}
func (g *gateway) SendPeer(int, []byte)                 {}
func (g *gateway) WatchEndpoints()                      {}
func (g *gateway) CancelTimer(uint64)                   {}
func (g *gateway) Log(string)                           {}
