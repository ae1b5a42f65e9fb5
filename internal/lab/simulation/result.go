package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

// Result is the record of a play.
type Result struct {
	Scenario string `json:"world"`
	Seed     uint64 `json:"seed"`

	// Requests, however many tries each took. Due are those that a perfect count would let in.
	Offered, Due, InTime, Late, RejectedRequests, Failed int
	// Ends says why each that failed did.
	FailureCauses FailureCauses
	// Gain that was due, and gain that was served in time inside quotas.
	DueValue, ServedValue float64

	Tries, RejectedTries, TerminatedTries int
	BrokenConnections                     int `json:"BrokenConnections"` // tries whose gateway was dead or died
	Attempts, Handshakes                  int
	// Crossed are the pushes to another hall than the gateway's own; Far are those of them to another region.
	CrossZone, CrossRegion int
	// Hottest is the work sent to a hall in a second over what its servers can do in one, at its highest over all
	// seconds and all halls that stood whole (wholeLeast).
	PeakUtilisation float64
	// Warmest is the same over five seconds.
	PeakUtilisationOver5s float64
	// Plans were written, of which Wrong newly held to be lost what was not. PlanMs are the milliseconds from the loss of
	// a whole hall until a gateway that pushed there pushed elsewhere, or until the hall came back.
	Plans, WrongPlans int
	FailoverMs        []int
	// Held is what came to the voters in all, and to the one that led.
	VoterMessages, LeaderMessages Messages

	CounterCalls, RejectedCounterCalls               int
	ForwardedUnits, OverQuotaUnits, OverQuotaPenalty float64
	LoadDeviation                                    float64 // load of servers that stood all day: deviation over mean
	ViolationCounts                                  [invariants.RuleCount]int
	Violations                                       []invariants.Violation
	Timeline                                         []Second
	Events                                           int
	Classes                                          []string
	P50, P99, P999                                   []float64 // ms, by lane, of all that were served

	totals      []Second
	answerTimes []*hdrhistogram.Histogram
}

// Second is what came of one second of the play.
type Second struct {
	Offered, InTime, Rejected, Failed int
	ServedValue, DueValue             float64
	Attempts, CrossZone               int
}

// less is what came since an earlier total.
func (s Second) minus(was Second) Second {
	return Second{
		s.Offered - was.Offered, s.InTime - was.InTime, s.Rejected - was.Rejected, s.Failed - was.Failed,
		s.ServedValue - was.ServedValue, s.DueValue - was.DueValue, s.Attempts - was.Attempts, s.CrossZone - was.CrossZone,
	}
}

// Messages are what voters take from gateways, and from each other.
type Messages struct {
	Digests, MergedDigests, Reads int
}

// Ends are the requests that failed, by what ended them.
type FailureCauses struct {
	BetweenTries int // their time ran out between tries, the last of which was rejected
	Terminated   int // the last try was terminated
	WithGateway  int // the last try ended with its gateway
	InFlight     int // their time ran out while a try was out
}

func newResult(spec *scenario.Scenario, seed uint64) Result {
	r := Result{Scenario: spec.Name, Seed: seed}
	for _, l := range spec.Classes {
		r.Classes = append(r.Classes, l.Name)
		r.answerTimes = append(r.answerTimes, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	return r
}

func (r *Result) recordAnswerTime(lane int, took time.Duration) {
	_ = r.answerTimes[lane].RecordValue(max(took.Microseconds(), 1))
}

// Percentiles fills in the times of each lane.
func (r *Result) ComputePercentiles() {
	r.P50, r.P99, r.P999 = nil, nil, nil
	for _, h := range r.answerTimes {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.P50, r.P99, r.P999 = append(r.P50, ms(50)), append(r.P99, ms(99)), append(r.P999, ms(99.9))
	}
}

// Times are the answer times of a lane.
func (r *Result) AnswerTimes(lane int) *hdrhistogram.Histogram { return r.answerTimes[lane] }

// Service is the part of the due gain that was served in time.
func (r *Result) Service() float64 { return r.ServedValue / max(r.DueValue, 1e-9) }

// Net is the service less what units beyond quotas cost.
func (r *Result) Net() float64 { return (r.ServedValue - r.OverQuotaPenalty) / max(r.DueValue, 1e-9) }
