package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierhoist/internal/lab/invariants"
	"harrierhoist/internal/lab/scenario"
)

// Result is the record of a play.
type Result struct {
	World string `json:"world"`
	Seed  uint64 `json:"seed"`

	// Requests, however many tries each took. Due are those that a perfect count would let in.
	Offered int `json:"Offered"`
	Due     int `json:"Due"`
	InTime  int `json:"InTime"`
	Late    int `json:"Late"`
	Refused int `json:"Refused"`
	Failed  int `json:"Failed"`
	// Ends says why each that failed did.
	Ends Ends `json:"Ends"`
	// Gain that was due, and gain that was served in time inside quotas.
	GainDue    float64 `json:"GainDue"`
	GainServed float64 `json:"GainServed"`

	Tries      int `json:"Tries"`
	Rejected   int `json:"Rejected"`
	Terminated int `json:"Terminated"`
	Broken0    int `json:"BrokenConnections"` // tries whose gateway was dead or died
	Pushes     int `json:"Pushes"`
	Handshakes int `json:"Handshakes"`
	// Crossed are the pushes to another hall than the gateway's own; Far are those of them to another region.
	Crossed int `json:"Crossed"`
	Far     int `json:"Far"`
	// Hottest is the work sent to a hall in a second over what its servers can do in one, at its highest over all
	// seconds and all halls that stood whole (wholeLeast).
	Hottest float64 `json:"Hottest"`
	// Warmest is the same over five seconds.
	Warmest float64 `json:"Warmest"`
	// Plans were written, of which Wrong newly held to be lost what was not. PlanMs are the milliseconds from the loss of
	// a whole hall until a gateway that pushed there pushed elsewhere, or until the hall came back.
	Plans  int   `json:"Plans"`
	Wrong  int   `json:"Wrong"`
	PlanMs []int `json:"PlanMs"`
	// Held is what came to the voters in all, and to the one that led.
	Held Messages `json:"Held"`
	Led  Messages `json:"Led"`

	Calls        int                   `json:"Calls"`
	CallsRefused int                   `json:"CallsRefused"`
	Units        float64               `json:"Units"`
	Beyond       float64               `json:"Beyond"`
	BeyondGain   float64               `json:"BeyondGain"`
	Uneven       float64               `json:"Uneven"` // load of servers that stood all day: deviation over mean
	Broken       [invariants.Rules]int `json:"Broken"`
	Breaches     []invariants.Breach   `json:"Breaches"`
	Seconds      []Second              `json:"Seconds"`
	Events       int                   `json:"Events"`
	Lanes        []string              `json:"Lanes"`
	P50          []float64             `json:"P50"` // ms, by lane, of all that were served
	P99          []float64             `json:"P99"`
	P999         []float64             `json:"P999"`

	totals []Second
	times  []*hdrhistogram.Histogram
}

// Second is what came of one second of the play.
type Second struct {
	Offered int     `json:"Offered"`
	InTime  int     `json:"InTime"`
	Refused int     `json:"Refused"`
	Failed  int     `json:"Failed"`
	Gain    float64 `json:"Gain"`
	Due     float64 `json:"Due"`
	Pushes  int     `json:"Pushes"`
	Crossed int     `json:"Crossed"`
}

// less is what came since an earlier total.
func (s Second) less(was Second) Second {
	return Second{
		s.Offered - was.Offered, s.InTime - was.InTime, s.Refused - was.Refused, s.Failed - was.Failed,
		s.Gain - was.Gain, s.Due - was.Due, s.Pushes - was.Pushes, s.Crossed - was.Crossed,
	}
}

// Messages are what voters take from gateways, and from each other.
type Messages struct {
	Digests int `json:"Digests"`
	Merged  int `json:"Merged"`
	Reads   int `json:"Reads"`
}

// Ends are the requests that failed, by what ended them.
type Ends struct {
	Between    int `json:"Between"`    // their time ran out between tries, the last of which was rejected
	Terminated int `json:"Terminated"` // the last try was terminated
	Died       int `json:"Died"`       // the last try ended with its gateway
	Out        int `json:"Out"`        // their time ran out while a try was out
}

func newResult(w *scenario.World, seed uint64) Result {
	r := Result{World: w.Name, Seed: seed}
	for _, l := range w.Lanes {
		r.Lanes = append(r.Lanes, l.Name)
		r.times = append(r.times, hdrhistogram.New(1, time.Minute.Microseconds(), 3))
	}
	return r
}

func (r *Result) took(lane int, took time.Duration) {
	_ = r.times[lane].RecordValue(max(took.Microseconds(), 1))
}

// Percentiles fills in the times of each lane.
func (r *Result) Percentiles() {
	r.P50, r.P99, r.P999 = nil, nil, nil
	for _, h := range r.times {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.P50, r.P99, r.P999 = append(r.P50, ms(50)), append(r.P99, ms(99)), append(r.P999, ms(99.9))
	}
}

// Times are the answer times of a lane.
func (r *Result) Times(lane int) *hdrhistogram.Histogram { return r.times[lane] }

// Service is the part of the due gain that was served in time.
func (r *Result) Service() float64 { return r.GainServed / max(r.GainDue, 1e-9) }

// Net is the service less what units beyond quotas cost.
func (r *Result) Net() float64 { return (r.GainServed - r.BeyondGain) / max(r.GainDue, 1e-9) }
