package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/simulation"
)

// Result is one result, as it is kept.
type Result struct {
	Plan                  string              `json:"plan,omitempty"`
	Scenario              string              `json:"world"`
	Gateways              int                 `json:"gateways"`
	Servers               int                 `json:"servers"`
	Variant               string              `json:"variant"`
	Seed                  uint64              `json:"seed"`
	Revision              string              `json:"build"`
	Service               float64             `json:"service"` // part of the due gain that was served in time
	Net                   float64             `json:"net"`     // less what units beyond quotas cost
	OverQuota             float64             `json:"beyond"`  // part of the units sent on that were beyond quotas
	Rejected              float64             `json:"refused"` // part of the requests
	Failed                float64             `json:"failed"`
	FailedBetween         float64             `json:"failed_between"`    // time ran out after a rejected try
	FailedTerminated      float64             `json:"failed_terminated"` // the last try was terminated
	FailedWithGateway     float64             `json:"failed_died"`       // the last try ended with its gateway
	FailedInFlight        float64             `json:"failed_out"`        // their time ran out while a try was out
	CrossZone             float64             `json:"crossed"`           // part of the pushes that went to another hall
	CrossRegion           float64             `json:"far"`               // to another region
	Plans                 int                 `json:"plans,omitempty"`   // written
	WrongPlans            int                 `json:"wrong,omitempty"`   // of them, that newly held to be lost what was not
	FailoverMs            []int               `json:"plan_ms,omitempty"` // from the loss of a hall until a gateway pushed elsewhere
	VoterMessages         simulation.Messages `json:"held"`              // what came to voters
	LeaderMessages        simulation.Messages `json:"led"`               // to the one that led
	LengthSeconds         float64             `json:"length_s"`          // of the world
	PeakUtilisation       float64             `json:"hottest"`           // highest utilisation of a whole hall in a second
	PeakUtilisationOver5s float64             `json:"warmest"`           // the same over five seconds
	Tries                 float64             `json:"tries"`             // a request
	CounterCalls          float64             `json:"calls"`             // to the counter, a request
	Handshakes            float64             `json:"handshakes"`        // a push
	LoadDeviation         float64             `json:"uneven"`            // load of servers: deviation over mean
	P50                   []float64           `json:"p50_ms"`            // by lane
	P99                   []float64           `json:"p99_ms"`
	P999                  []float64           `json:"p999_ms"`
	Classes               []string            `json:"lanes"`
	Violations            int                 `json:"broken"` // rules, how often
	FirstViolation        string              `json:"first_breach,omitempty"`
	Timeline              []simulation.Second `json:"seconds"`
	Faults                []scenario.Fault    `json:"troubles,omitempty"`
	WallSeconds           float64             `json:"-"` // seconds: not part of the result, which is the same every time
}

// Revision names the program that made a result: the revision it was built from, if that is known.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+"
		}
	}
	return revision + dirty
}

// RunScenario plays one world and gives its line.
func RunScenario(base *scenario.Scenario, policy string, seed uint64) (*Result, error) {
	began := time.Now()
	r, err := simulation.Run(base, seed, baseline.ByName[policy])
	if err != nil {
		return nil, err
	}
	r.ComputePercentiles()
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	result := &Result{Scenario: base.Name, Gateways: base.Gateways.Count, Servers: base.Servers.Count, Variant: policy, Seed: seed,
		Revision: Revision(),
		Service:  r.Service(), Net: r.Net(), OverQuota: r.OverQuotaUnits / max(r.ForwardedUnits, 1e-9), Rejected: part(r.RejectedRequests, r.Offered),
		Failed: part(r.Failed, r.Offered), FailedBetween: part(r.FailureCauses.BetweenTries, r.Offered), FailedTerminated: part(r.FailureCauses.Terminated,
			r.Offered),
		FailedWithGateway: part(r.FailureCauses.WithGateway, r.Offered), FailedInFlight: part(r.FailureCauses.InFlight, r.Offered), CrossZone: part(r.CrossZone, r.Attempts),
		CrossRegion: part(r.CrossRegion, r.Attempts), PeakUtilisation: r.PeakUtilisation, PeakUtilisationOver5s: r.PeakUtilisationOver5s, Plans: r.Plans, WrongPlans: r.WrongPlans,
		FailoverMs: r.FailoverMs, VoterMessages: r.VoterMessages, LeaderMessages: r.LeaderMessages, LengthSeconds: base.Length.D().Seconds(), Tries: part(r.Tries, r.Offered),
		CounterCalls: part(r.CounterCalls, r.Offered),
		Handshakes:   part(r.Handshakes, r.Attempts), LoadDeviation: r.LoadDeviation, P50: r.P50, P99: r.P99, P999: r.P999, Classes: r.Classes,
		Timeline: r.Timeline, Faults: base.Faults, WallSeconds: time.Since(began).Seconds()}
	for _, n := range r.ViolationCounts {
		result.Violations += n
	}
	if len(r.Violations) > 0 {
		result.FirstViolation = r.Violations[0].String()
	}
	return result, nil
}

// ReadResults reads results.
func ReadResults(file string) ([]*Result, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []*Result
	dec := json.NewDecoder(f)
	for {
		result := &Result{}
		if err := dec.Decode(result); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("%s: result %d: %w", file, len(all)+1, err)
		}
		all = append(all, result)
	}
}
