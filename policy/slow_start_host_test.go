package policy_test

import (
	"slices"
	"time"

	"harrierhoist/policy"
)

// Attempt takes a request to a server: it queues there, and its work takes the longer, the less the
// server is warmed up.
func (g *gateway) Attempt(requestID, serverID uint32, until time.Duration) {
	target, work, incarnation, start := g.servers[serverID-1], g.units[requestID]/g.meanUnits, g.incarnation, g.Now()
	g.subset.CountAttempt(start)
	number := g.attempts[requestID]
	g.attempts[requestID]++
	target.sent = append(target.sent, arrival{start, work, g.notified})
	end := func(wait time.Duration, how policy.Outcome) {
		if how == policy.Answered && start+wait > until {
			wait, how = until-start, policy.TimedOut
		}
		g.After(wait, func() {
			if g.incarnation == incarnation {
				g.module.HandleAttemptResult(g.Now(), policy.AttemptResult{
					RequestID: requestID, Attempt: number, Server: serverID, Outcome: how, Latency: g.Now() - start,
					Final: how == policy.Answered,
				})
			}
		})
	}
	free := max(target.free, start+networkDelay)
	begin := time.Hour + restartAt
	switch {
	case g.silentBefore && slices.Contains(g.restarted(), target) && start < begin && start > begin-2*time.Second:
		end(until-start, policy.TimedOut)
	case target.failing && g.random.Float64() < 0.5:
		end(2*networkDelay, policy.Errored)
	case free > start+time.Second:
		end(2*networkDelay, policy.Rejected)
	default:
		target.free = free + time.Duration(work/warmRate/g.warmUpFraction(target, start)*float64(time.Second))
		end(target.free+networkDelay-start, policy.Answered)
	}
}

func (g *gateway) SetTimer(token uint64, after time.Duration) {
	incarnation := g.incarnation
	g.After(after, func() {
		if g.incarnation == incarnation {
			g.module.HandleTimer(g.Now(), token)
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
