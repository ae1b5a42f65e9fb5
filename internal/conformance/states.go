package conformance

import (
	"time"

	"harrierhoist/internal/canary"
	"harrierhoist/internal/countingrule"
	"harrierhoist/internal/failover"
	"harrierhoist/internal/settlement"
	"harrierhoist/policy"
)

// This file has the states of the parts in which the rows are played.

// byCustomer is a rule under which a count is a customer's and a unit weighs one: all clauses hold as they are, under
// other names.
var customerRule = countingrule.Rule{Version: 1, Key: []string{"customer"}}

// ruleKey is what stands for a customer under it, reckoned from what docs/counting-rules.md says.
func ruleKey(customer uint64) uint64 {
	return countingrule.Hash(customerRule.Version, customer, 0, 0, 0)
}

const (
	sampleSeed      = 5
	samplePermille  = 80     // thousandths of the keys
	callsPermille   = 20_000 // thousandths: a row makes few calls, and its tasks are to be played
	activationDelay = 2 * time.Second
	countingConfig  = "[counting]\ntry = 1\n[[counting.rule]]\nversion = 1\nkey = [\"customer\"]\n" +
		"[counting.canary]\nsample = 80\ncalls = 250\ndeadline_s = 600\nwrong = 50\nrejected = 20\n" +
		"let_in = 20\nbeyond = 20\nleave = 100\nwatch_s = 60\nlead_ms = 1000\n"
	failoverConfig = "[failover]\non = true\nbears = 100.0\n[[failover.regions]]\nname = \"r\"\n" +
		"halls = [\"hall-a\", \"hall-b\"]\n"
	settlementConfig = "[debts]\non = true\n[[debts.partner]]\nname = \"north\"\nhalls = [\"hall-a\"]\n" +
		"plans = [\"roomy\", \"small\", \"slow\", \"quick\"]\n[[debts.partner]]\nname = \"south\"\nhalls = [\"hall-b\"]\n"
)

// counted gives a counting table: its edge lies so far from the start of the first row.
func countingTable(phase countingrule.Phase, edge time.Duration) func() []byte {
	return func() []byte {
		now := time.Duration(time.Now().UnixNano())
		return countingrule.Table{
			Phase: phase, To: customerRule.Version, SwitchAt: now + edge, Since: now,
			Rules: []countingrule.Rule{customerRule}, Seed: sampleSeed, Canary: countingrule.CanaryConfig{
				SamplePermille: samplePermille, CallsPermille: callsPermille,
				DeadlineSeconds: 600, ErrorPermille: 50, RejectedPermille: 20, AdmittedPermille: 20, OverLimitPermille: 20, DeviationPermille: 100, WatchSeconds: 60,
			},
		}.Encode()
	}
}

// played has a row's customer in the canary's sample.
func isSampled(customer uint64) bool {
	s, err := canary.NewSample(countingrule.Rule{}, customerRule, sampleSeed, samplePermille)
	if err != nil {
		return false
	}
	_, in := s.Bucket(customer)
	return in
}

// planned gives a plan that shares hall-b out: all that comes in there is pushed to hall-a.
func drainedZonePlan() []byte {
	p := failover.Plan{
		Rows:   map[string]map[string]int{"hall-b": {"hall-a": 1000}, "hall-a": {"hall-a": 1000}},
		Health: map[string]int{"hall-a": 1000, "hall-b": 0},
	}
	value, err := p.Encode()
	if err != nil {
		panic(err) // maps of strings and numbers are always encoded
	}
	return value
}

// shedding gives a plan by which what comes in at hall-b fits nowhere.
func sheddingPlan() []byte {
	p := failover.Plan{
		Rows: map[string]map[string]int{"hall-b": {"hall-b": 1000}},
		Shed: map[string]int{"hall-b": 1000}, Health: map[string]int{"hall-a": 1000, "hall-b": 0},
	}
	value, err := p.Encode()
	if err != nil {
		panic(err) // the same
	}
	return value
}

func settlementState() []byte {
	pair := settlement.Pair{Debtor: "south", Creditor: "north"}
	value, err := settlement.State{
		Shares:   []settlement.Share{{Pair: pair, PPM: settlement.PartsPerMillion / 2}},
		NetDebts: []settlement.Amount{{Pair: pair, Sum: 1_000_000}},
	}.Encode()
	if err != nil {
		panic(err) // plain numbers and words
	}
	return value
}

func coordinatedVariants() (all []Variant) {
	step := `"counting: table changed"`
	two := []string{"hall-a", "hall-b"}
	for _, s := range []partState{
		{
			name: "in common", description: "a follower of a voter; nothing is decided",
			zone: "hall-a", readyLines: []string{`"coordination: started"`},
		},
		{
			name: "a hall out", description: "failover's plan in force shares the gateway's own hall out: all is pushed to the other",
			zone: "hall-b", zones: []string{"hall-b", "hall-a"}, config: failoverConfig,
			table: failover.Table, value: drainedZonePlan, readyLines: []string{`"routing: plan in force"`},
		},
		{
			name: "plan's lease over", description: "a plan was in force, the voter has gone, its lease is over: near by own evidence",
			zone: "hall-a", zones: two, config: failoverConfig, table: failover.Table,
			value: drainedZonePlan, readyLines: []string{`"routing: plan in force"`}, leaseLostLines: []string{`"routing: no plan in force`},
		},
		{
			name: "canary", description: "a new rule is played on the row's customer beside the old one",
			zone: "hall-a", config: countingConfig, table: countingrule.TableName, value: countingTable(countingrule.PhaseCanary, 0),
			readyLines: []string{step}, acceptsCustomer: isSampled, makesOwnCalls: true,
		},
		{
			name: "activation named", description: "the new rule's edge is named and an hour off; the row's customer is still played",
			zone: "hall-a", config: countingConfig, table: countingrule.TableName,
			value: countingTable(countingrule.PhaseScheduled, time.Hour), readyLines: []string{step}, acceptsCustomer: isSampled, makesOwnCalls: true,
		},
		{
			name: "activated", description: "past the edge: a rule whose key is the customer, with weight 1, counts by its own names",
			zone: "hall-a", config: countingConfig, table: countingrule.TableName,
			value: countingTable(countingrule.PhaseScheduled, -time.Minute), readyLines: []string{step}, counterKey: ruleKey,
			acceptsCustomer: isSampled, makesOwnCalls: true,
		},
		{
			name: "edge passed", description: "the same, with the edge come while the process served", zone: "hall-a",
			config: countingConfig, table: countingrule.TableName, value: countingTable(countingrule.PhaseScheduled, activationDelay), settleTime: activationDelay,
			readyLines: []string{step}, counterKey: ruleKey, acceptsCustomer: isSampled, makesOwnCalls: true,
		},
		{
			name: "shedding", description: "a plan sheds all that comes in: nothing is asked, and no other row can hold", onlyNamedRows: true,
			zone: "hall-b", zones: []string{"hall-b", "hall-a"}, config: failoverConfig, table: failover.Table,
			value: sheddingPlan, readyLines: []string{`"routing: plan in force"`},
		},
		{
			name: "unconfirmed", description: "a canary was heard of, the voter has gone, its lease is over: both rules must allow",
			zone: "hall-a", config: countingConfig, table: countingrule.TableName,
			value: countingTable(countingrule.PhaseCanary, 0), readyLines: []string{step}, makesOwnCalls: true,
			leaseLostLines: []string{"counting: version in force uncertain"},
		},
		{
			name: "settlement", description: "a debts table with shares is in force, and half of the creditor's servers are a debtor's",
			zone: "hall-a", zones: two, lastServerElsewhere: true, config: settlementConfig, table: settlement.TableName,
			value: settlementState, readyLines: []string{`"settlement: started"`},
		},
	} {
		all = append(all, s.variant())
	}
	return all
}

// inModule are the states that change how the module is made or what its events carry.
var moduleVariants = []Variant{
	{
		Name: "rules' plans", Description: "the plans of a counting rule stand behind the file's",
		Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
			return policy.New(countingrule.WithRulePlans(site, []countingrule.Rule{customerRule}), seed, host)
		},
	},
	{
		Name: "preferring", Description: "each task prefers the owner of a further, elective server",
		Module: withElectiveServer(electiveOwner),
	},
	{
		Name: "electives beside", Description: "the list has an elective server, and no task prefers its owner",
		Module: withElectiveServer(0), Forbidden: []string{"push * elective"},
	},
}

const electiveOwner = 2 // the owner of the elective servers

// electing is a module whose list has an elective server more, with tasks that prefer its owner or nobody's.
type electiveModule struct {
	Module
	preferOwner int
}

func withElectiveServer(prefer int) func(policy.Settings, int64, policy.Host) (Module, error) {
	return func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		g, err := policy.New(site, seed, host)
		return electiveModule{g, prefer}, err
	}
}

func (e electiveModule) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	more := policy.Endpoint{Server: serverCount + 1, State: policy.Ready, Capacity: 1, Owner: electiveOwner, Elective: true}
	e.Module.HandleEndpoints(now, kind, append(list, more))
}

func (e electiveModule) HandleRequest(now time.Duration, t policy.Request) {
	t.PreferOwner = e.preferOwner
	e.Module.HandleRequest(now, t)
}
