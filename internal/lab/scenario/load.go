package scenario

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxUnitsOverMean bounds the units of a request, as a multiple of their mean.
const maxUnitsOverMean = 3

// roundingHalf is half a unit: units are rounded to the nearest whole number.
const roundingHalf = 0.5

// meanWork is the mean work of a request, in seconds on a core of speed 1.
func (s *Scenario) meanWork() float64 {
	sum := 0.0
	share := 0.0
	for i := range s.Classes {
		class := &s.Classes[i]
		sum += class.Share * class.Work.D().Seconds()
		share += class.Share
	}
	return sum / share
}

// MaxUnits is the most units of a request.
func (l *Load) MaxUnits() float64 { return maxUnitsOverMean * l.MeanUnits }

// meanUnits is the mean of a request's units: exponential ones, rounded, from 1 to MaxUnits.
func (s *Scenario) meanUnits() float64 {
	mean := 1.0
	for extra := 1.0; extra+1 <= s.Load.MaxUnits(); extra++ { // units above the first
		mean += math.Exp(-(extra + roundingHalf) / s.Load.MeanUnits)
	}
	return mean
}

// DrawWork draws the work of a request of the class, as time on a core of speed 1. It takes one
// draw, or none where all requests have the same work.
func (l *TrafficClass) DrawWork(random *rand.Rand) time.Duration {
	mean := float64(l.Work.D())
	switch l.Distribution {
	case DistributionExponential:
		return time.Duration(mean * random.ExpFloat64())
	case DistributionLognormal:
		sigma := math.Sqrt(math.Log(1 + l.CV*l.CV))
		return time.Duration(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
	}
	return time.Duration(mean)
}
