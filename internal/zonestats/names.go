// Package witness keeps the counts of what one gateway sees of halls: the evidence of failover. It is handed events
// and the time, and knows no sockets and no clock. All counts only grow; all times in them are milliseconds that the
// gateway was awake, so that one gateway adds at most one second to any of them each second, whatever it believes:
// a sum over a span, by that span, is the number of distinct gateways that saw it.
package zonestats

import (
	"math"
	"strconv"

	"harrierhoist/internal/coordination/observation"
)

// The judgements of a hall by one gateway: the part of the servers there, of those that it knows of late, that answer,
// in quarters. Ill or worse speaks of loss.
const (
	Lost    = 0
	Failing = 1
	Healthy = 4
)

// AwakeTime names the milliseconds that gateways in a hall were awake.
func AwakeTime(zone string) string { return observation.JoinName("time", zone) }

// HealthTime names the milliseconds in which gateways in a hall judged another, or their own, to be at a quarter (0 to 4).
// Where a gateway knows nothing of late, it adds to none.
func HealthTime(from, to string, quarter int) string {
	return observation.JoinName("judged", from, to, strconv.Itoa(quarter))
}

// Offered names the units of the tasks that came in at a hall's gateways, in thousandths; repeats by clients among them.
func Offered(zone string) string { return observation.JoinName("came", zone) }

// Admitted names the units, in thousandths, of the tasks that quotas let in at a hall's gateways, at their clients' first try: pushed,
// or not, as there was no room. It is the demand that the decider goes by.
func Admitted(zone string) string { return observation.JoinName("let", zone) }

// Attempted names the units, in thousandths, of all pushes from a hall to a hall.
func Attempted(from, to string) string { return observation.JoinName("pushed", from, to) }

// Outcomes are the ways in which Ended counts that pushes end.
func Outcomes() []string { return []string{outcomeAnswered, outcomeFailed, outcomeRejected} }

// Completed names the pushes from a hall to a hall that ended well, ill, or full (turned away).
func Completed(from, to, outcome string) string {
	return observation.JoinName("ended", from, to, outcome)
}

// AnswerTime names the milliseconds that answers took, by halls.
func AnswerTime(from, to string) string { return observation.JoinName("took", from, to) }

// CounterCalls names the calls to the counter of a hall's gateways that ended well, or late (in time for no task, or not at all).
func CounterCalls(zone, outcome string) string { return observation.JoinName("count", zone, outcome) }

// Strength is told in bands, so that the word of one gateway with a wrong list moves no mean: who sums up takes the
// band of the middle gateway, and the mean within it.
const (
	PowerBands   = 64   // band 0 is no strength at all
	firstBandEnd = 0.1  // strength at which band 1 ends, in servers of power 1
	bandRatio    = 1.25 // of a band's ends
)

// PowerBand is the band of a strength.
func PowerBand(power float64) int {
	if power <= 0 {
		return 0
	}
	return min(max(1+int(math.Ceil(math.Log(power/firstBandEnd)/math.Log(bandRatio))), 1), PowerBands-1)
}

// ReadyTime names the milliseconds in which gateways anywhere had a hall's strength in a band.
func ReadyTime(zone string, band int) string {
	return observation.JoinName("ready", zone, strconv.Itoa(band))
}

// ReadyPower names the sum of the strengths in that band: in ready, warm servers of power 1, times milliseconds.
func ReadyPower(zone string, band int) string {
	return observation.JoinName("strength", zone, strconv.Itoa(band))
}
