// Package experiment simulates scenarios under variants and seeds on all cores, keeps each result
// as a line of JSON, and compares results pair by pair. The command loadlab and package search call
// it; package report shows its results.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/lab/baseline"
	"harrierhoist/internal/lab/scenario"
)

// defaultSeeds is how many seeds a plan runs that names no number.
const defaultSeeds = 3

// Plan is a file that names what is to be simulated.
type Plan struct {
	Name      string    `toml:"name"`
	Scenarios []string  `toml:"worlds"`   // files, from the plan's own folder
	Seeds     int       `toml:"seeds"`    // 1 to so many
	Gateways  []int     `toml:"gateways"` // numbers of gateways to scale the scenarios to; none: as they are
	Variants  []Variant `toml:"variant"`
	// Profiles are run on each scenario, under the scenario's name and theirs; none: the scenarios
	// run as they are.
	Profiles []FaultProfile `toml:"story"`
}

// FaultProfile is the faults of a scenario, in place of what its file says.
type FaultProfile struct {
	Name   string           `toml:"name"`
	Load   float64          `toml:"load"`   // times the scenario's; 0: as it is
	Length scenario.Span    `toml:"length"` // 0: the scenario's
	Faults []scenario.Fault `toml:"trouble"`
	// DrawnFaults is how many faults are drawn for each seed besides, none of which loses a zone or
	// cuts it off.
	DrawnFaults int `toml:"drawn"`
}

// Variant is a policy and what it changes of a scenario.
type Variant struct {
	Name         string `toml:"name"`
	Policy       string `toml:"policy"`
	Subset       *bool  `toml:"pool"`   // whether gateways use a subset of the servers; nil: as the scenario says
	Coordination string `toml:"common"` // as a scenario's common.how; empty: as the scenario says
}

// ReadPlan reads and checks a plan. All that is wrong with it is in the error.
func ReadPlan(file string) (*Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	plan := &Plan{Seeds: defaultSeeds}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(plan); err != nil {
		return nil, scenario.DecodeErrors(file, err)
	}
	if len(plan.Variants) == 0 {
		for _, name := range baseline.Names {
			plan.Variants = append(plan.Variants, Variant{Name: name, Policy: name})
		}
	}
	for i, variant := range plan.Variants {
		if variant.Name == "" {
			plan.Variants[i].Name = variant.Policy
		}
	}
	for i, name := range plan.Scenarios {
		plan.Scenarios[i] = filepath.Join(filepath.Dir(file), name)
	}
	return plan, plan.check(file)
}

// check gives all that is wrong with a plan, joined.
func (p *Plan) check(file string) error {
	var errs []error
	require := func(isRight bool, format string, args ...any) {
		if !isRight {
			errs = append(errs, fmt.Errorf("%s: %s", file, fmt.Sprintf(format, args...)))
		}
	}
	require(len(p.Scenarios) > 0, "worlds is empty")
	require(p.Seeds > 0, "seeds is %d; 1 at least", p.Seeds)
	names := map[string]bool{}
	for i, variant := range p.Variants {
		require(
			baseline.ByName[variant.Policy] != nil,
			"variant %d: policy is %q; one of %s is allowed",
			i+1,
			variant.Policy,
			strings.Join(baseline.Names, ", "),
		)
		isKnown := variant.Coordination == "" ||
			slices.Contains(
				[]string{scenario.CoordinationNone, scenario.CoordinationLocal, scenario.CoordinationShared},
				variant.Coordination,
			)
		require(isKnown, "variant %d: common is %q; none, own or common is allowed", i+1, variant.Coordination)
		require(!names[variant.Name], "variant %d: %q is there twice", i+1, variant.Name)
		names[variant.Name] = true
	}
	for _, n := range p.Gateways {
		require(n > 0, "gateways names %d; 1 at least", n)
	}
	return errors.Join(errs...)
}
