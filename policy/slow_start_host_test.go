package policy_test

import (
	"slices"
	"time"

	"harrierhoist/policy"
)

// Attempt queues a request at a server and reports its result to the module. The service time is
// inversely proportional to the server's warm-up fraction.
func (g *gateway) Attempt(requestID, serverID uint32, until time.Duration) {
	target, work, incarnation, start := g.servers[serverID-1], g.units[requestID]/g.meanUnits, g.incarnation, g.Now()
	g.subset.CountAttempt(start)
	number := g.attempts[requestID]
	g.attempts[requestID]++
	target.received = append(target.received, arrival{start, work, g.notified})
	finish := func(latency time.Duration, outcome policy.Outcome) {
		if outcome == policy.Answered && start+latency > until {
			latency, outcome = until-start, policy.TimedOut
		}
		g.After(latency, func() {
			if g.incarnation == incarnation {
				g.module.HandleAttemptResult(g.Now(), policy.AttemptResult{
					RequestID: requestID, Attempt: number, Server: serverID, Outcome: outcome, Latency: g.Now() - start,
					Final: outcome == policy.Answered,
				})
			}
		})
	}
	serviceStart := max(target.freeAt, start+networkDelay)
	restart := time.Hour + restartAt
	switch {
	case g.silentBefore && slices.Contains(g.restarted(), target) && start < restart && start > restart-2*time.Second:
		finish(until-start, policy.TimedOut)
	case target.failing && g.random.Float64() < 0.5:
		finish(2*networkDelay, policy.Errored)
	case serviceStart > start+time.Second:
		finish(2*networkDelay, policy.Rejected)
	default:
		target.freeAt = serviceStart + time.Duration(work/warmRate/g.warmUpFraction(target, start)*float64(time.Second))
		finish(target.freeAt+networkDelay-start, policy.Answered)
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
