package conformance

import (
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/countingrule/canary"
	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/settlement"
)

// The canary of a counting rule.
const (
	sampleSeed      = 5
	samplePermille  = 80     // of the keys
	callsPermille   = 20_000 // of the gateway's own calls: a case makes few, and all its requests are to be tried
	activationDelay = 2 * time.Second
)

// The parts' sections of an operators' file.
const (
	countingConfig = "[counting]\ntry = 1\n[[counting.rule]]\nversion = 1\nkey = [\"customer\"]\n" +
		"[counting.canary]\nsample = 80\ncalls = 250\ndeadline_s = 600\nwrong = 50\nrejected = 20\n" +
		"let_in = 20\nbeyond = 20\nleave = 100\nwatch_s = 60\nlead_ms = 1000\n"
	failoverConfig = "[failover]\non = true\nbears = 100.0\n[[failover.regions]]\nname = \"r\"\n" +
		"halls = [\"" + zoneA + "\", \"" + zoneB + "\"]\n"
	settlementConfig = "[debts]\non = true\n[[debts.partner]]\nname = \"north\"\nhalls = [\"" + zoneA + "\"]\n" +
		"plans = [\"roomy\", \"small\", \"slow\", \"quick\"]\n" +
		"[[debts.partner]]\nname = \"south\"\nhalls = [\"" + zoneB + "\"]\n"
)

// customerRule counts by customer, and a unit weighs one: all clauses hold unchanged, under other
// names.
var customerRule = countingrule.Rule{Version: 1, Key: []string{"customer"}}

// ruleKey is what stands for a customer under customerRule, as docs/counting-rules.md says.
func ruleKey(customer uint64) uint64 {
	return countingrule.Hash(customerRule.Version, customer, 0, 0, 0)
}

// isSampled reports whether a customer is in the canary's sample.
func isSampled(customer uint64) bool {
	sample, err := canary.NewSample(countingrule.Rule{}, customerRule, sampleSeed, samplePermille)
	if err != nil {
		return false
	}
	_, sampled := sample.Bucket(customer)
	return sampled
}

// countingTable returns a function for the value of a counting table: its activation lies so far
// from the call, which is when the first case starts.
func countingTable(phase countingrule.Phase, untilActivation time.Duration) func() []byte {
	return func() []byte {
		now := wallClock()
		return countingrule.Table{
			Phase: phase, ToVersion: customerRule.Version, SwitchAt: now + untilActivation, PhaseStart: now,
			Rules: []countingrule.Rule{customerRule}, SampleSeed: sampleSeed, Canary: countingrule.CanaryConfig{
				SamplePermille: samplePermille, CallsPermille: callsPermille, DeadlineSeconds: 600, ErrorPermille: 50,
				RejectedBoundPermille: 20, AdmittedBoundPermille: 20, OverLimitBoundPermille: 20,
				MaxDeviationPermille: 100,
				WatchSeconds:         60,
			},
		}.Encode()
	}
}

// drainedZonePlan is a failover plan that drains zoneB: what arrives there goes to zoneA.
func drainedZonePlan() []byte {
	return mustEncode(&failover.Plan{
		Rows:   map[string]map[string]int{zoneB: {zoneA: 1000}, zoneA: {zoneA: 1000}},
		Health: map[string]int{zoneA: 1000, zoneB: 0},
	})
}

// sheddingPlan is a failover plan by which all that arrives at zoneB is shed.
func sheddingPlan() []byte {
	return mustEncode(&failover.Plan{
		Rows: map[string]map[string]int{zoneB: {zoneB: 1000}},
		Shed: map[string]int{zoneB: 1000}, Health: map[string]int{zoneA: 1000, zoneB: 0},
	})
}

// settlementState is a settlement table by which half of the creditor's servers may serve the
// debtor.
func settlementState() []byte {
	pair := settlement.Pair{Debtor: "south", Creditor: "north"}
	return mustEncode(settlement.State{
		Shares:   []settlement.Share{{Pair: pair, PPM: settlement.PartsPerMillion / 2}},
		NetDebts: []settlement.Amount{{Pair: pair, Sum: 1_000_000}},
	})
}

// mustEncode encodes a table made of plain numbers and words, which never fails.
func mustEncode(table interface{ Encode() ([]byte, error) }) []byte {
	value, err := table.Encode()
	if err != nil {
		panic(err)
	}
	return value
}
