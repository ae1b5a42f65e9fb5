// Package witness keeps the counts of what one gateway sees of halls: the evidence of failover. It is handed events
// and the time, and knows no sockets and no clock. All counts only grow; all times in them are milliseconds that the
// gateway was awake, so that one gateway adds at most one second to any of them each second, whatever it believes:
// a sum over a span, by that span, is the number of distinct gateways that saw it.
package witness

import (
	"math"
	"strconv"

	"harrierhoist/internal/cluster/evidence"
)

// The judgements of a hall by one gateway: the part of the servers there, of those that it knows of late, that answer,
// in quarters. Ill or worse speaks of loss.
const (
	Lost  = 0
	Ill   = 1
	Sound = 4
)

// Time names the milliseconds that gateways in a hall were awake.
func Time(hall string) string { return evidence.Name("time", hall) }

// Judged names the milliseconds in which gateways in a hall judged another, or their own, to be at a quarter (0 to 4).
// Where a gateway knows nothing of late, it adds to none.
func Judged(from, to string, quarter int) string {
	return evidence.Name("judged", from, to, strconv.Itoa(quarter))
}

// Came names the units of the tasks that came in at a hall's gateways, in thousandths; repeats by clients among them.
func Came(hall string) string { return evidence.Name("came", hall) }

// Let names the units, in thousandths, of the tasks that quotas let in at a hall's gateways, at their clients' first try: pushed,
// or not, as there was no room. It is the demand that the decider goes by.
func Let(hall string) string { return evidence.Name("let", hall) }

// Pushed names the units, in thousandths, of all pushes from a hall to a hall.
func Pushed(from, to string) string { return evidence.Name("pushed", from, to) }

// Hows are the ways in which Ended counts that pushes end.
func Hows() []string { return []string{well, ill, full} }

// Ended names the pushes from a hall to a hall that ended well, ill, or full (turned away).
func Ended(from, to, how string) string { return evidence.Name("ended", from, to, how) }

// Took names the milliseconds that answers took, by halls.
func Took(from, to string) string { return evidence.Name("took", from, to) }

// Count names the calls to the counter of a hall's gateways that ended well, or late (in time for no task, or not at all).
func Count(hall, how string) string { return evidence.Name("count", hall, how) }

// Strength is told in bands, so that the word of one gateway with a wrong list moves no mean: who sums up takes the
// band of the middle gateway, and the mean within it.
const (
	Bands     = 64   // band 0 is no strength at all
	bandFirst = 0.1  // strength at which band 1 ends, in servers of power 1
	bandRatio = 1.25 // of a band's ends
)

// Band is the band of a strength.
func Band(strength float64) int {
	if strength <= 0 {
		return 0
	}
	return min(max(1+int(math.Ceil(math.Log(strength/bandFirst)/math.Log(bandRatio))), 1), Bands-1)
}

// Ready names the milliseconds in which gateways anywhere had a hall's strength in a band.
func Ready(hall string, band int) string { return evidence.Name("ready", hall, strconv.Itoa(band)) }

// Strength names the sum of the strengths in that band: in ready, warm servers of power 1, times milliseconds.
func Strength(hall string, band int) string {
	return evidence.Name("strength", hall, strconv.Itoa(band))
}
