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
	Offered          int `json:"Offered"`
	Due              int `json:"Due"`
	InTime           int `json:"InTime"`
	Late             int `json:"Late"`
	RejectedRequests int `json:"Refused"`
	Failed           int `json:"Failed"`
	// Ends says why each that failed did.
	FailureCauses FailureCauses `json:"Ends"`
	// Gain that was due, and gain that was served in time inside quotas.
	DueValue    float64 `json:"GainDue"`
	ServedValue float64 `json:"GainServed"`

	Tries             int `json:"Tries"`
	RejectedTries     int `json:"Rejected"`
	TerminatedTries   int `json:"Terminated"`
	BrokenConnections int `json:"BrokenConnections"` // tries whose gateway was dead or died
	Attempts          int `json:"Pushes"`
	Handshakes        int `json:"Handshakes"`
	// Crossed are the pushes to another hall than the gateway's own; Far are those of them to another region.
	CrossZone   int `json:"Crossed"`
	CrossRegion int `json:"Far"`
	// Hottest is the work sent to a hall in a second over what its servers can do in one, at its highest over all
	// seconds and all halls that stood whole (wholeLeast).
	PeakUtilisation float64 `json:"Hottest"`
	// Warmest is the same over five seconds.
	PeakUtilisationOver5s float64 `json:"Warmest"`
	// Plans were written, of which Wrong newly held to be lost what was not. PlanMs are the milliseconds from the loss of
	// a whole hall until a gateway that pushed there pushed elsewhere, or until the hall came back.
	Plans      int   `json:"Plans"`
	WrongPlans int   `json:"Wrong"`
	FailoverMs []int `json:"PlanMs"`
	// Held is what came to the voters in all, and to the one that led.
	VoterMessages  Messages `json:"Held"`
	LeaderMessages Messages `json:"Led"`

	CounterCalls         int                       `json:"Calls"`
	RejectedCounterCalls int                       `json:"CallsRefused"`
	ForwardedUnits       float64                   `json:"Units"`
	OverQuotaUnits       float64                   `json:"Beyond"`
	OverQuotaPenalty     float64                   `json:"BeyondGain"`
	LoadDeviation        float64                   `json:"Uneven"` // load of servers that stood all day: deviation over mean
	ViolationCounts      [invariants.RuleCount]int `json:"Broken"`
	Violations           []invariants.Violation    `json:"Breaches"`
	Timeline             []Second                  `json:"Seconds"`
	Events               int                       `json:"Events"`
	Classes              []string                  `json:"Lanes"`
	P50                  []float64                 `json:"P50"` // ms, by lane, of all that were served
	P99                  []float64                 `json:"P99"`
	P999                 []float64                 `json:"P999"`

	totals      []Second
	answerTimes []*hdrhistogram.Histogram
}

// Second is what came of one second of the play.
type Second struct {
	Offered     int     `json:"Offered"`
	InTime      int     `json:"InTime"`
	Rejected    int     `json:"Refused"`
	Failed      int     `json:"Failed"`
	ServedValue float64 `json:"Gain"`
	DueValue    float64 `json:"Due"`
	Attempts    int     `json:"Pushes"`
	CrossZone   int     `json:"Crossed"`
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
	Digests       int `json:"Digests"`
	MergedDigests int `json:"Merged"`
	Reads         int `json:"Reads"`
}

// Ends are the requests that failed, by what ended them.
type FailureCauses struct {
	BetweenTries int `json:"Between"`    // their time ran out between tries, the last of which was rejected
	Terminated   int `json:"Terminated"` // the last try was terminated
	WithGateway  int `json:"Died"`       // the last try ended with its gateway
	InFlight     int `json:"Out"`        // their time ran out while a try was out
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
