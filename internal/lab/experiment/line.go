package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/virtual"
	"harrierhoist/internal/lab/world"
)

// Line is one result, as it is kept.
type Line struct {
	Plan     string           `json:"plan,omitempty"`
	World    string           `json:"world"`
	Gateways int              `json:"gateways"`
	Servers  int              `json:"servers"`
	Variant  string           `json:"variant"`
	Seed     uint64           `json:"seed"`
	Build    string           `json:"build"`
	Service  float64          `json:"service"` // part of the due gain that was served in time
	Net      float64          `json:"net"`     // less what units beyond quotas cost
	Beyond   float64          `json:"beyond"`  // part of the units sent on that were beyond quotas
	Refused  float64          `json:"refused"` // part of the requests
	Failed   float64          `json:"failed"`
	Between  float64          `json:"failed_between"`    // time ran out after a rejected try
	Ended    float64          `json:"failed_terminated"` // the last try was terminated
	Died     float64          `json:"failed_died"`       // the last try ended with its gateway
	Out      float64          `json:"failed_out"`        // their time ran out while a try was out
	Crossed  float64          `json:"crossed"`           // part of the pushes that went to another hall
	Far      float64          `json:"far"`               // to another region
	Plans    int              `json:"plans,omitempty"`   // written
	Wrong    int              `json:"wrong,omitempty"`   // of them, that newly held to be lost what was not
	PlanMs   []int            `json:"plan_ms,omitempty"` // from the loss of a hall until a gateway pushed elsewhere
	Held     virtual.Messages `json:"held"`              // what came to voters
	Led      virtual.Messages `json:"led"`               // to the one that led
	Length   float64          `json:"length_s"`          // of the world
	Hottest  float64          `json:"hottest"`           // highest utilisation of a whole hall in a second
	Warmest  float64          `json:"warmest"`           // the same over five seconds
	Tries    float64          `json:"tries"`             // a request
	Calls    float64          `json:"calls"`             // to the counter, a request
	Shakes   float64          `json:"handshakes"`        // a push
	Uneven   float64          `json:"uneven"`            // load of servers: deviation over mean
	P50      []float64        `json:"p50_ms"`            // by lane
	P99      []float64        `json:"p99_ms"`
	P999     []float64        `json:"p999_ms"`
	Lanes    []string         `json:"lanes"`
	Broken   int              `json:"broken"` // rules, how often
	First    string           `json:"first_breach,omitempty"`
	Seconds  []virtual.Second `json:"seconds"`
	Troubles []world.Trouble  `json:"troubles,omitempty"`
	Wall     float64          `json:"-"` // seconds: not part of the result, which is the same every time
}

// Build names the program that made a result: the revision it was built from, if that is known.
func Build() string {
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

// Play plays one world and gives its line.
func Play(w *world.World, policy string, seed uint64) (*Line, error) {
	began := time.Now()
	r, err := virtual.Play(w, seed, baseline.All[policy])
	if err != nil {
		return nil, err
	}
	r.Percentiles()
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	l := &Line{World: w.Name, Gateways: w.Gateways.Count, Servers: w.Servers.Count, Variant: policy, Seed: seed,
		Build:   Build(),
		Service: r.Service(), Net: r.Net(), Beyond: r.Beyond / max(r.Units, 1e-9), Refused: part(r.Refused, r.Offered),
		Failed: part(r.Failed, r.Offered), Between: part(r.Ends.Between, r.Offered), Ended: part(r.Ends.Terminated,
			r.Offered),
		Died: part(r.Ends.Died, r.Offered), Out: part(r.Ends.Out, r.Offered), Crossed: part(r.Crossed, r.Pushes),
		Far: part(r.Far, r.Pushes), Hottest: r.Hottest, Warmest: r.Warmest, Plans: r.Plans, Wrong: r.Wrong,
		PlanMs: r.PlanMs, Held: r.Held, Led: r.Led, Length: w.Length.D().Seconds(), Tries: part(r.Tries, r.Offered),
		Calls:  part(r.Calls, r.Offered),
		Shakes: part(r.Handshakes, r.Pushes), Uneven: r.Uneven, P50: r.P50, P99: r.P99, P999: r.P999, Lanes: r.Lanes,
		Seconds: r.Seconds, Troubles: w.Troubles, Wall: time.Since(began).Seconds()}
	for _, n := range r.Broken {
		l.Broken += n
	}
	if len(r.Breaches) > 0 {
		l.First = r.Breaches[0].String()
	}
	return l, nil
}

// ReadLines reads results.
func ReadLines(file string) ([]*Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []*Line
	dec := json.NewDecoder(f)
	for {
		l := &Line{}
		if err := dec.Decode(l); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("%s: result %d: %w", file, len(all)+1, err)
		}
		all = append(all, l)
	}
}
