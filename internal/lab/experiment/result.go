package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
	"harrierhoist/internal/lab/simulation"
)

const (
	// revisionDigits is how many digits of a commit's name are kept.
	revisionDigits = 12
	// minForwardedUnits keeps a quotient finite where nothing was forwarded.
	minForwardedUnits = 1e-9
)

// Result is one result, as it is kept: the keys are those of files of earlier runs.
type Result struct {
	Plan     string `json:"plan,omitempty"`
	Scenario string `json:"world"`
	Gateways int    `json:"gateways"`
	Servers  int    `json:"servers"`
	Variant  string `json:"variant"`
	Seed     uint64 `json:"seed"`
	Revision string `json:"build"` // of the program

	Service   float64 `json:"service"` // part of the due weight that was served in time
	Net       float64 `json:"net"`     // less what units beyond quotas cost
	OverQuota float64 `json:"beyond"`  // part of the forwarded units that were beyond quotas

	// Parts of the requests.
	Rejected          float64 `json:"refused"`
	Failed            float64 `json:"failed"`
	FailedBetween     float64 `json:"failed_between"`    // the deadline passed after a rejected try
	FailedTerminated  float64 `json:"failed_terminated"` // the last try was terminated
	FailedWithGateway float64 `json:"failed_died"`       // the last try ended with its gateway
	FailedInFlight    float64 `json:"failed_out"`        // the deadline passed while a try was in flight

	CrossZone   float64 `json:"crossed"`           // part of the attempts that went to another zone
	CrossRegion float64 `json:"far"`               // and to another region
	Plans       int     `json:"plans,omitempty"`   // failover plans written
	WrongPlans  int     `json:"wrong,omitempty"`   // of these, those that newly held to be lost what was not
	FailoverMs  []int   `json:"plan_ms,omitempty"` // from the loss of a zone until a gateway made attempts elsewhere

	VoterMessages         simulation.Messages `json:"held"`       // what came to all voters
	LeaderMessages        simulation.Messages `json:"led"`        // what came to the leader
	LengthSeconds         float64             `json:"length_s"`   // of the scenario
	PeakUtilisation       float64             `json:"hottest"`    // the highest of a whole zone in a second
	PeakUtilisationOver5s float64             `json:"warmest"`    // the same over five seconds
	Tries                 float64             `json:"tries"`      // by clients, a request
	CounterCalls          float64             `json:"calls"`      // a request
	Handshakes            float64             `json:"handshakes"` // an attempt
	LoadDeviation         float64             `json:"uneven"`     // of servers: deviation over mean

	// Answer times in milliseconds, by traffic class.
	P50     []float64 `json:"p50_ms"`
	P99     []float64 `json:"p99_ms"`
	P999    []float64 `json:"p999_ms"`
	Classes []string  `json:"lanes"`

	Violations     int                 `json:"broken"` // of invariants, how often
	FirstViolation string              `json:"first_breach,omitempty"`
	Timeline       []simulation.Second `json:"seconds"`
	Faults         []scenario.Fault    `json:"troubles,omitempty"`
	// WallSeconds is how long the simulation took. It is not kept, so that a run gives the same bytes every time.
	WallSeconds float64 `json:"-"`
}

// Revision names the program that makes results: the revision that it was built from, if that is
// known.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := "unknown"
	dirty := ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionDigits)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			dirty = "+"
		}
	}
	return revision + dirty
}

// RunScenario simulates one scenario under a policy and gives its result.
func RunScenario(world *scenario.Scenario, policy string, seed uint64) (*Result, error) {
	started := time.Now()
	run, err := simulation.Run(world, seed, baseline.ByName[policy])
	if err != nil {
		return nil, err
	}
	run.ComputePercentiles()
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	result := &Result{
		Scenario:      world.Name,
		Gateways:      world.Gateways.Count,
		Servers:       world.Servers.Count,
		Variant:       policy,
		Seed:          seed,
		Revision:      Revision(),
		LengthSeconds: world.Length.D().Seconds(),
		Faults:        world.Faults,

		Service:           run.Service(),
		Net:               run.Net(),
		OverQuota:         run.OverQuotaUnits / max(run.ForwardedUnits, minForwardedUnits),
		Rejected:          part(run.RejectedRequests, run.Offered),
		Failed:            part(run.Failed, run.Offered),
		FailedBetween:     part(run.FailureCauses.BetweenTries, run.Offered),
		FailedTerminated:  part(run.FailureCauses.Terminated, run.Offered),
		FailedWithGateway: part(run.FailureCauses.WithGateway, run.Offered),
		FailedInFlight:    part(run.FailureCauses.InFlight, run.Offered),

		CrossZone:             part(run.CrossZone, run.Attempts),
		CrossRegion:           part(run.CrossRegion, run.Attempts),
		Plans:                 run.Plans,
		WrongPlans:            run.WrongPlans,
		FailoverMs:            run.FailoverMs,
		VoterMessages:         run.VoterMessages,
		LeaderMessages:        run.LeaderMessages,
		PeakUtilisation:       run.PeakUtilisation,
		PeakUtilisationOver5s: run.PeakUtilisationOver5s,
		LoadDeviation:         run.LoadDeviation,
		Tries:                 part(run.Tries, run.Offered),
		CounterCalls:          part(run.CounterCalls, run.Offered),
		Handshakes:            part(run.Handshakes, run.Attempts),

		P50:         run.P50,
		P99:         run.P99,
		P999:        run.P999,
		Classes:     run.Classes,
		Timeline:    run.Timeline,
		WallSeconds: time.Since(started).Seconds(),
	}
	for _, n := range run.ViolationCounts {
		result.Violations += n
	}
	if len(run.Violations) > 0 {
		result.FirstViolation = run.Violations[0].String()
	}
	return result, nil
}

// ReadResults reads a file of results.
func ReadResults(file string) ([]*Result, error) {
	text, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = text.Close() }() // it was only read
	var results []*Result
	decoder := json.NewDecoder(text)
	for {
		result := &Result{}
		err := decoder.Decode(result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: result %d: %w", file, len(results)+1, err)
		}
		results = append(results, result)
	}
}
