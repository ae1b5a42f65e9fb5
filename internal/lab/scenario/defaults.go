package scenario

import (
	"bytes"
	_ "embed"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// defaultsText is the table of defaults, a scenario's file itself.
//
//go:embed defaults.toml
var defaultsText []byte

// completeDefault reads the table of defaults, with its classes and plans.
func completeDefault() Scenario {
	var s Scenario
	decoder := toml.NewDecoder(bytes.NewReader(defaultsText)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		panic(fmt.Sprint("defaults.toml is malformed: ", err)) // it is a part of the program
	}
	return s
}

// Default is a small valid scenario, without classes and plans.
func Default() Scenario {
	s := completeDefault()
	s.Classes = nil
	s.Plans = nil
	return s
}

// setDefaults fills in what a file left out.
func (s *Scenario) setDefaults() {
	if len(s.Classes) == 0 {
		s.Classes = completeDefault().Classes
	}
	if len(s.Plans) == 0 {
		s.Plans = completeDefault().Plans
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.Distribution == "" {
			class.Distribution = DistributionExponential
		}
		if class.Effect == "" {
			class.Effect = EffectIdempotent
		}
		if class.Weight == 0 {
			class.Weight = 1
		}
	}
	for i := range s.Plans {
		if plan := &s.Plans[i]; plan.Price == 0 {
			plan.Price = 1
		}
	}
}
