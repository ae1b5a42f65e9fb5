package load

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harrierhoist/internal/lab/scenario"
)

// Latencies are measured in µs, from 1 µs to a minute, with so many significant digits.
const (
	minLatencyMicros  = 1
	maxLatency        = time.Minute
	significantDigits = 3
	microsPerMilli    = 1000
)

// The percentiles of a report, and the factor of its percentages.
const (
	percentile50  = 50
	percentile99  = 99
	percentile999 = 99.9
	percentFactor = 100
)

// Second is what came of the requests that were due in one second.
type Second struct{ Offered, Served, InTime, Rejected, Failed int }

// Report is the result of a run.
type Report struct {
	Offered, Served, InTime, Rejected, Terminated, Disconnected, WrongAnswers int

	Duration  time.Duration
	Seconds   []Second
	Latencies []*hdrhistogram.Histogram // of served requests by class, from when they were due
	SendDelay *hdrhistogram.Histogram   // from when requests were due until they were sent
}

func newReport(classes int) *Report {
	r := &Report{SendDelay: newHistogram()}
	for range classes {
		r.Latencies = append(r.Latencies, newHistogram())
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatency.Microseconds(), significantDigits)
}

// record adds a request.
func (r *Report) record(req request, result outcome, delay, latency, objective time.Duration) {
	n := int(req.due / time.Second)
	for len(r.Seconds) <= n {
		r.Seconds = append(r.Seconds, Second{})
	}
	second := &r.Seconds[n]
	r.Offered++
	second.Offered++
	recordTime(r.SendDelay, delay)
	switch result {
	case served:
		r.Served++
		second.Served++
		recordTime(r.Latencies[req.class], latency)
		if latency <= objective {
			r.InTime++
			second.InTime++
		}
	case rejected:
		r.Rejected++
		second.Rejected++
	case wrongAnswer:
		r.WrongAnswers++
	case terminated:
		r.Terminated++
		second.Failed++
	case disconnected:
		r.Disconnected++
		second.Failed++
	}
}

func recordTime(histogram *hdrhistogram.Histogram, span time.Duration) {
	// The error is of times over maxLatency, beyond any deadline: they are left out.
	_ = histogram.RecordValue(max(span.Microseconds(), minLatencyMicros))
}

// progress is a line on the run so far.
func (r *Report) progress(elapsed time.Duration) string {
	return fmt.Sprintf("%4.0fs  offered %d  served %d  in time %d  rejected %d  failed %d ", elapsed.Seconds(),
		r.Offered, r.Served, r.InTime, r.Rejected, r.Terminated+r.Disconnected)
}

// WriteTable writes the report as text, with a line for each class.
func (r *Report) WriteTable(out io.Writer, classes []scenario.TrafficClass) error {
	percent := func(n int) float64 { return percentFactor * float64(n) / float64(max(r.Offered, 1)) }
	var text strings.Builder
	fmt.Fprintf(&text, "offered %d in %.1f s; served %.1f%%, in time %.1f%%, rejected %.1f%%, terminated %.1f%%, "+
		"disconnected %.1f%%, wrong answers %d\n", r.Offered, r.Duration.Seconds(),
		percent(r.Served), percent(r.InTime), percent(r.Rejected),
		percent(r.Terminated), percent(r.Disconnected), r.WrongAnswers)
	fmt.Fprintf(&text, "%-16s %9s %9s %9s %9s %9s\n", "class", "served", "p50 ms", "p99 ms", "p99.9 ms", "max ms")
	for i, class := range classes {
		h := r.Latencies[i]
		fmt.Fprintf(&text, "%-16s %9d %9.1f %9.1f %9.1f %9.1f\n", class.Name, h.TotalCount(),
			quantileMs(h, percentile50), quantileMs(h, percentile99), quantileMs(h, percentile999),
			float64(h.Max())/microsPerMilli)
	}
	fmt.Fprintf(&text, "requests were sent %.2f ms late at p99 (the driver's own delay, which the latencies include)\n",
		quantileMs(r.SendDelay, percentile99))
	_, err := io.WriteString(out, text.String())
	return err
}

func quantileMs(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / microsPerMilli
}
