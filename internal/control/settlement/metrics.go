package settlement

import "harrierhoist/internal/coordination/observation"

// Metric identifies a counter that each gateway keeps per partner from its start. Counters of units
// are in thousandths of units.
type Metric int

// The metrics of a partner. All but MetricServedUnits exclude repeats of a request by its client.
// An elective attempt is a first attempt that prefers the partner's servers in order to settle a
// debt.
const (
	MetricRequests           Metric = iota // requests of the partner that were attempted and have ended
	MetricLate                             // of MetricRequests, those that were late or not answered
	MetricSlow                             // of MetricRequests, those late or over half their latency objective
	MetricIdempotentUnits                  // units of the first attempts of the partner's idempotent requests
	MetricIdempotentRequests               // number of the requests in MetricIdempotentUnits
	MetricServedUnits                      // units that the partner's servers answered, for requests of all partners
	MetricElectiveAttempts                 // elective attempts of other partners' requests
	MetricElectivePlaced                   // of MetricElectiveAttempts, those that went to the partner's servers
	MetricCount                            // number of metrics
)

// metricPrefix and metricNames are sent between processes, so they must not change.
const metricPrefix = "debts"

var metricNames = [MetricCount]string{"tasks", "late", "slow", "pure", "pures", "served", "asked", "went"}

// MetricName returns the name of a partner's metric in digests.
func MetricName(metric Metric, partner string) string {
	return observation.JoinName(metricPrefix, metricNames[metric], partner)
}
