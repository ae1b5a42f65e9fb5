package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

const (
	// maxAnswerTime is the longest answer time that is counted.
	maxAnswerTime = time.Minute
	// minAnswerMicros is the shortest answer time that is counted, in microseconds.
	minAnswerMicros = 1
	// answerTimeDigits is the number of significant digits of answer times.
	answerTimeDigits = 3
	// microsPerMilli converts microseconds to milliseconds.
	microsPerMilli = 1000
	// minDueValue keeps a quotient finite where nothing was due.
	minDueValue = 1e-9
)

// The percentiles of answer times that a result has.
const (
	percentile50  = 50
	percentile99  = 99
	percentile999 = 99.9
)

// Result is the record of a run. Its keys in JSON are those of earlier results.
type Result struct {
	Scenario string `json:"world"`
	Seed     uint64 `json:"seed"`

	// Requests, however many tries each took. Due are those that a perfect count of first tries
	// admits.
	Offered          int `json:"Offered"`
	Due              int `json:"Due"`
	InTime           int `json:"InTime"`
	Late             int `json:"Late"`
	RejectedRequests int `json:"Refused"`
	Failed           int `json:"Failed"`
	// FailureCauses has each that failed once.
	FailureCauses FailureCauses `json:"Ends"`
	// DueValue is the value of the requests that were due, ServedValue that of those served in time
	// and within quotas; a request's value is its class's weight times its plan's price times its
	// units.
	DueValue    float64 `json:"GainDue"`
	ServedValue float64 `json:"GainServed"`

	Tries             int `json:"Tries"`
	RejectedTries     int `json:"Rejected"`
	TerminatedTries   int `json:"Terminated"`
	BrokenConnections int `json:"BrokenConnections"` // tries whose gateway was dead or died
	Attempts          int `json:"Pushes"`
	Handshakes        int `json:"Handshakes"`
	// CrossZone are the attempts to another zone than the gateway's own; CrossRegion are those of
	// them to another region.
	CrossZone   int `json:"Crossed"`
	CrossRegion int `json:"Far"`
	// PeakUtilisation is the work sent to a zone in a second over what its servers can do in one,
	// at its highest over all seconds and all zones that had their capacity (minReadyCapacity).
	PeakUtilisation float64 `json:"Hottest"`
	// PeakUtilisationOver5s is the same over five seconds.
	PeakUtilisationOver5s float64 `json:"Warmest"`
	// Plans were written, of which WrongPlans newly held to be lost what was not. FailoverMs are
	// the milliseconds from the loss of a whole zone until a gateway that sent attempts there sent
	// them elsewhere, or until the zone was restored.
	Plans      int   `json:"Plans"`
	WrongPlans int   `json:"Wrong"`
	FailoverMs []int `json:"PlanMs"`
	// VoterMessages came to all voters, LeaderMessages to the one that led.
	VoterMessages  Messages `json:"Held"`
	LeaderMessages Messages `json:"Led"`

	CounterCalls         int                       `json:"Calls"`
	RejectedCounterCalls int                       `json:"CallsRefused"`
	ForwardedUnits       float64                   `json:"Units"`
	OverQuotaUnits       float64                   `json:"Beyond"`
	OverQuotaPenalty     float64                   `json:"BeyondGain"`
	LoadDeviation        float64                   `json:"Uneven"` // deviation over mean, of servers that always ran
	ViolationCounts      [invariants.RuleCount]int `json:"Broken"`
	Violations           []invariants.Violation    `json:"Breaches"`
	Timeline             []Second                  `json:"Seconds"`
	Events               int                       `json:"Events"`
	Classes              []string                  `json:"Lanes"`
	P50                  []float64                 `json:"P50"` // milliseconds, by class, of all that were served
	P99                  []float64                 `json:"P99"`
	P999                 []float64                 `json:"P999"`

	totals      []Second
	answerTimes []*hdrhistogram.Histogram
}

// Second is what happened in one second of the run.
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

// minus is what happened since an earlier total.
func (s Second) minus(earlier Second) Second {
	return Second{
		s.Offered - earlier.Offered,
		s.InTime - earlier.InTime,
		s.Rejected - earlier.Rejected,
		s.Failed - earlier.Failed,
		s.ServedValue - earlier.ServedValue,
		s.DueValue - earlier.DueValue,
		s.Attempts - earlier.Attempts,
		s.CrossZone - earlier.CrossZone,
	}
}

// Messages are the messages that voters get: digests of gateways, digests that other voters merged,
// and reads.
type Messages struct {
	Digests       int `json:"Digests"`
	MergedDigests int `json:"Merged"`
	Reads         int `json:"Reads"`
}

// FailureCauses are the requests that failed, by what ended them.
type FailureCauses struct {
	BetweenTries int `json:"Between"`    // deadline passed between tries, the last of which was rejected
	Terminated   int `json:"Terminated"` // the last try was terminated
	WithGateway  int `json:"Died"`       // the last try ended with its gateway
	InFlight     int `json:"Out"`        // deadline passed while a try was in flight
}

// newResult is the result before the first event.
func newResult(spec *scenario.Scenario, seed uint64) Result {
	r := Result{Scenario: spec.Name, Seed: seed}
	for _, class := range spec.Classes {
		r.Classes = append(r.Classes, class.Name)
		r.answerTimes = append(r.answerTimes, newAnswerTimes())
	}
	return r
}

// newAnswerTimes makes the histogram of a class's answer times.
func newAnswerTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(minAnswerMicros, maxAnswerTime.Microseconds(), answerTimeDigits)
}

// recordAnswerTime counts the time that a request of a class took to be served.
func (r *Result) recordAnswerTime(class int, took time.Duration) {
	// The error is for times over maxAnswerTime, beyond any deadline: they are left out.
	_ = r.answerTimes[class].RecordValue(max(took.Microseconds(), minAnswerMicros))
}

// ComputePercentiles fills in the percentiles of the answer times of each class.
func (r *Result) ComputePercentiles() {
	r.P50 = nil
	r.P99 = nil
	r.P999 = nil
	for _, h := range r.answerTimes {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
		r.P50 = append(r.P50, ms(percentile50))
		r.P99 = append(r.P99, ms(percentile99))
		r.P999 = append(r.P999, ms(percentile999))
	}
}

// AnswerTimes are the answer times of a class, in microseconds.
func (r *Result) AnswerTimes(class int) *hdrhistogram.Histogram { return r.answerTimes[class] }

// Service is the part of the due value that was served in time.
func (r *Result) Service() float64 { return r.ServedValue / max(r.DueValue, minDueValue) }

// Net is Service less what units beyond quotas cost.
func (r *Result) Net() float64 {
	return (r.ServedValue - r.OverQuotaPenalty) / max(r.DueValue, minDueValue)
}
