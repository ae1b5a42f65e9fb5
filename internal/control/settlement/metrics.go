package settlement

import "harrierhoist/internal/coordination/observation"

// Metric is what gateways count of each partner since their start. Units are in thousandths.
type Metric int

// The metrics.
const (
	MetricRequests           Metric = iota // the partner's first requests, attempted and ended; no client's repeats
	MetricLate                             // of these, those late or without an answer
	MetricSlow                             // of these, those slower than half of their latency objective; the late too
	MetricIdempotentUnits                  // units of the first attempts of its idempotent requests
	MetricIdempotentRequests               // number of those requests
	MetricServedUnits                      // units that its servers answered, of all partners' requests
	MetricElective                         // first attempts of others that were to go to its servers for settlement
	MetricElectivePlaced                   // of these, those that did
	MetricCount                            // number of metrics
)

// metricPrefix and metricNames go between processes: they never change.
const metricPrefix = "debts"

var metricNames = [MetricCount]string{"tasks", "late", "slow", "pure", "pures", "served", "asked", "went"}

// MetricName returns the name under which a partner's metric goes into digests.
func MetricName(metric Metric, partner string) string {
	return observation.JoinName(metricPrefix, metricNames[metric], partner)
}
