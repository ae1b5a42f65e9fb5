package canary

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/countingrule"
	"harrierhoist/policy"
)

var full = flag.Bool("full", false, "1,000 harmless and 1,000 harmful changes in place of a few")
var only = flag.String("only", "", "the change that is played alone with -full")

// simulation is a fleet of three processes in virtual time with a counter, a leader's decider and customers that are drawn.
type simulation struct {
	controller  *Controller
	table       statemachine.Table
	shadows     []*Shadow
	counter     counter
	chance      *rand.Rand
	now         time.Duration
	ledSince    time.Duration
	demand      []float64 // tasks a second by customer
	nextArrival []time.Duration
	settings    policy.Settings
	failureRate float64           // part of the tasks that fail whatever the rule says
	missedSums  map[string]uint64 // sums that an earlier leader had and this one never saw
	earlierSums map[string]uint64
}

func canaryConfig() countingrule.CanaryConfig {
	return countingrule.CanaryConfig{SamplePermille: 400, CallsPermille: 250, DeadlineSeconds: 120, ErrorPermille: 50, RejectedPermille: 50, AdmittedPermille: 100,
		OverLimitPermille: 100, DeviationPermille: 100, WatchSeconds: 120}
}

func newSimulation(rule countingrule.Rule, seed uint64) *simulation {
	s := &simulation{counter: counter{}, chance: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, ledSince: time.Hour,
		earlierSums: map[string]uint64{}}
	config := &countingrule.Config{DesiredVersion: rule.Version, Rules: []countingrule.Rule{rule}, Canary: canaryConfig()}
	s.controller = &Controller{Config: func() *countingrule.Config { return config }, Lease: 2 * time.Second, ReadWait: time.Second,
		ClockOrigin: time.Duration(seed%977) * time.Second}
	s.settings = countingrule.WithRulePlans(policy.Settings{Gateways: 3, Classes: testSettings().Classes,
		Plans: []policy.Plan{{Name: "small", Rate: 0.5, Burst: 3}}}, config.Rules)
	for range 1200 { // most well within their plan, some at it, some far beyond
		s.demand = append(s.demand, 0.25*math.Exp(0.7*s.chance.NormFloat64()))
		s.nextArrival = append(s.nextArrival, s.now+time.Duration(s.chance.ExpFloat64()*4e9))
	}
	return s
}

func (s *simulation) tableValue() countingrule.Table {
	table, _ := countingrule.Decode(s.table.Value)
	return table
}

// sums are what the leader's book would give.
func (s *simulation) sums() map[string]uint64 {
	accumulated := maps.Clone(s.earlierSums)
	for _, shadow := range s.shadows {
		shadow.Report(func(name string, n uint64) { accumulated[name] += n })
	}
	for name := range accumulated {
		accumulated[name] -= min(s.missedSums[name], accumulated[name])
	}
	return accumulated
}

// decide lets the decider decide, and the processes follow.
func (s *simulation) decide() {
	value, write := s.controller.Decide(s.now, coordination.ControllerInput{Sums: s.sums(), LeadingSince: s.ledSince,
		Table: func(string) statemachine.Table { return s.table }})
	previous := s.tableValue()
	if !write {
		return
	}
	s.table = statemachine.Table{Epoch: s.table.Epoch + 1, Value: value}
	table := s.tableValue()
	if table.Phase == countingrule.PhaseCanary && previous.Phase != countingrule.PhaseCanary {
		old, _ := table.Rule(table.From)
		next, _ := table.Rule(table.To)
		sample, err := NewSample(old, next, table.Seed, canaryConfig().SamplePermille)
		if err != nil {
			panic(err)
		}
		resolvedOld, _ := countingrule.Resolve(old, s.settings)
		resolvedNext, _ := countingrule.Resolve(next, s.settings)
		for range 3 {
			s.shadows = append(s.shadows, NewShadow(sample, resolvedOld, resolvedNext, s.settings, table.Seed, 250))
		}
	}
}

// advance lets time pass; sampled customers come, each task at one of the processes.
func (s *simulation) advance(until time.Duration, stop func() bool) {
	for ; s.now < until && !stop(); s.now += 250 * time.Millisecond {
		if s.now%time.Second == 0 {
			s.decide()
		}
		table := s.tableValue()
		for _, shadow := range s.shadows {
			shadow.AddBudget(600)
			s.counter.run(shadow, s.now, shadow.Flush(s.now))
		}
		for customer := range s.demand {
			if len(s.shadows) == 0 || !s.shadows[0].IsSampled(uint64(customer)) {
				continue
			}
			for s.nextArrival[customer] < s.now {
				s.nextArrival[customer] += time.Duration(s.chance.ExpFloat64() / s.demand[customer] * 1e9)
				shadow := s.shadows[s.chance.IntN(len(s.shadows))]
				oldBefore, newAfter := shadow.counts[nameBoth]+shadow.counts[nameOldOnly], shadow.counts[nameBoth]+shadow.counts[nameNewOnly]
				s.counter.run(shadow, s.now, shadow.HandleRequest(s.now, Request{Customer: uint64(customer), Class: s.chance.IntN(2), Units: 1}))
				admitted := shadow.counts[nameBoth]+shadow.counts[nameOldOnly] > oldBefore // the stand-in for the module's own word
				if version := table.InForce(s.now + s.controller.ClockOrigin); version == table.To {
					admitted = shadow.counts[nameBoth]+shadow.counts[nameNewOnly] > newAfter
					shadow.RecordActual(version, 1, admitted && s.chance.Float64() >= s.failureRate)
				} else {
					shadow.RecordActual(version, 1, admitted)
				}
			}
		}
	}
}

func (s *simulation) hasVerdict() bool {
	table := s.tableValue()
	return s.table.Epoch > 0 && table.Phase != countingrule.PhaseCanary
}

func scaledLimits(factor float64) countingrule.Rule {
	return countingrule.Rule{Version: 1, Key: []string{"customer"},
		Limits: []countingrule.Limit{{Plan: "small", Rate: 0.5 * factor, Burst: 3 * factor}}}
}

func pairedCustomers(rate float64) countingrule.Rule {
	rule := countingrule.Rule{Version: 1, Key: []string{"group"},
		Limits: []countingrule.Limit{{Plan: "*", Rate: rate, Burst: 6 * rate}}}
	for i := range uint64(600) {
		rule.Groups = append(rule.Groups, countingrule.Group{Name: fmt.Sprint(i), Customers: []uint64{2 * i, 2*i + 1}})
	}
	return rule
}

func weightedClass(permille uint64) countingrule.Rule {
	return countingrule.Rule{Version: 1, Key: []string{"customer"},
		Weights: []countingrule.Weight{{Class: "pay", Permille: permille}}}
}

var changes = map[string]countingrule.Rule{"as it is": scaledLimits(1), "5% more": scaledLimits(1.05), "5% less": scaledLimits(0.95),
	"10% less": scaledLimits(0.9), "pairs": pairedCustomers(1), "pay 1.05": weightedClass(1050), "40% less": scaledLimits(0.6), "half": scaledLimits(0.5),
	"triple": scaledLimits(3), "poor pairs": pairedCustomers(0.5), "pay 2.5": weightedClass(2500), "pay free": weightedClass(1), "25% less": scaledLimits(0.75),
	"30% less": scaledLimits(0.7)}

// quickChanges are those of a short test.
var quickChanges = []string{"as it is", "pairs", "half", "poor pairs"}

// trueMeans is a change's mean of each figure over many cells at the end of a canary, none of them looked at before.
func trueMeans(rule countingrule.Rule, runs uint64) (mean [3]float64) {
	buckets := 0.0
	for seed := range runs {
		s := newSimulation(rule, 5000+seed)
		s.decide()
		table := s.tableValue()
		undecided := canaryConfig()
		undecided.DeadlineSeconds = 86_400 // no verdict
		s.controller.Config = func() *countingrule.Config {
			return &countingrule.Config{DesiredVersion: 1, Rules: []countingrule.Rule{rule}, Canary: undecided}
		}
		s.advance(s.now+75*time.Second, func() bool { return false })
		var state TrialState
		sums := s.sums()
		for bucket := range Buckets {
			units := func(kind string) float64 { return float64(sums[bucketName(Fingerprint(table.Seed), bucket, kind)]) }
			if units(nameRequested) >= minBucketUnits {
				canary := canaryConfig()
				state.addBucket(&canary, units(nameRequested), units(nameOldOnly), units(nameNewOnly), units(nameOverLimit))
			}
		}
		for i := range mean {
			mean[i] += state.Tests[i].Sum
		}
		buckets += float64(state.Tests[0].Count)
	}
	for i := range mean {
		mean[i] /= buckets
	}
	return mean
}

// Drawn changes, harmless and harmful, are judged wrong at most as often as stated. What stays undecided is refused.
func TestController_verdictErrorRate(t *testing.T) {
	names, runsEach, runs := quickChanges, 3, uint64(2)
	if *full {
		names, runsEach, runs = slices.Sorted(maps.Keys(changes)), 167, 12 // times six or more of either kind
	}
	if *only != "" {
		names = []string{*only}
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan bool, 4)
	taken, refused, undecided, total := map[bool]int{}, map[bool]int{}, map[bool]int{}, map[bool]int{}
	for _, name := range names {
		rule := changes[name]
		trueMean := trueMeans(rule, runs)
		harmful := trueMean[0] > 0.05 || trueMean[1] > 0.1 || trueMean[2] > 0.1
		total[harmful] += runsEach
		var elapsed time.Duration
		var verdicts [3]int
		for i := range runsEach {
			running.Add(1)
			slots <- true
			go func() {
				defer func() { <-slots; running.Done() }()
				s := newSimulation(rule, uint64(i)+100)
				s.advance(s.now+130*time.Second, s.hasVerdict)
				mu.Lock()
				defer mu.Unlock()
				elapsed += s.now - time.Hour
				switch violation := s.tableValue().Reason; {
				case strings.HasPrefix(violation, "harmless"):
					verdicts[0]++
					taken[harmful]++
				case strings.HasPrefix(violation, "undecided"):
					verdicts[2]++
					undecided[harmful]++
				default:
					verdicts[1]++
					refused[harmful]++
				}
			}()
		}
		running.Wait()
		t.Logf("%-10s harmful %5v (%.3f %.3f %.3f): taken, refused, undecided %v, %v in the mean", name, harmful,
			trueMean[0], trueMean[1], trueMean[2],
			verdicts, (elapsed / time.Duration(runsEach)).Round(time.Second))
	}
	t.Logf("harmful taken %d of %d, harmless refused %d of %d; undecided %v", taken[true], total[true],
		refused[false], total[false], undecided)
	nothing := *only == "" && (refused[true] == 0 || taken[false] == 0)
	if nothing || taken[true]*20 > total[true] || refused[false]*20 > total[false] {
		t.Errorf("taken %v, refused %v: more than one in twenty wrong", taken, refused)
	}
}
