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
var byCustomer = countingrule.Rule{Version: 1, Key: []string{"customer"}}

// ruleKey is what stands for a customer under it, reckoned from what docs/counting-rules.md says.
func ruleKey(customer uint64) uint64 { return countingrule.Hash(byCustomer.Version, customer, 0, 0, 0) }

const (
	sampleSeed  = 5
	sample      = 80     // thousandths of the keys
	callsPlayed = 20_000 // thousandths: a row makes few calls, and its tasks are to be played
	edgeSoon    = 2 * time.Second
	countedTerm = "[counting]\ntry = 1\n[[counting.rule]]\nversion = 1\nkey = [\"customer\"]\n" +
		"[counting.canary]\nsample = 80\ncalls = 250\ndeadline_s = 600\nwrong = 50\nrejected = 20\n" +
		"let_in = 20\nbeyond = 20\nleave = 100\nwatch_s = 60\nlead_ms = 1000\n"
	failoverTerm = "[failover]\non = true\nbears = 100.0\n[[failover.regions]]\nname = \"r\"\n" +
		"halls = [\"hall-a\", \"hall-b\"]\n"
	debtsTerm = "[debts]\non = true\n[[debts.partner]]\nname = \"north\"\nhalls = [\"hall-a\"]\n" +
		"plans = [\"roomy\", \"small\", \"slow\", \"quick\"]\n[[debts.partner]]\nname = \"south\"\nhalls = [\"hall-b\"]\n"
)

// counted gives a counting table: its edge lies so far from the start of the first row.
func counted(phase countingrule.Phase, edge time.Duration) func() []byte {
	return func() []byte {
		now := time.Duration(time.Now().UnixNano())
		return countingrule.Table{
			Phase: phase, To: byCustomer.Version, SwitchAt: now + edge, Since: now,
			Rules: []countingrule.Rule{byCustomer}, Seed: sampleSeed, Canary: countingrule.CanaryConfig{
				SamplePermille: sample, CallsPermille: callsPlayed,
				DeadlineSeconds: 600, ErrorPermille: 50, RejectedPermille: 20, AdmittedPermille: 20, OverLimitPermille: 20, DeviationPermille: 100, WatchSeconds: 60,
			},
		}.Encode()
	}
}

// played has a row's customer in the canary's sample.
func sampled(customer uint64) bool {
	s, err := canary.NewSample(countingrule.Rule{}, byCustomer, sampleSeed, sample)
	if err != nil {
		return false
	}
	_, in := s.Bucket(customer)
	return in
}

// planned gives a plan that shares hall-b out: all that comes in there is pushed to hall-a.
func planned() []byte {
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
func shedding() []byte {
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

func settling() []byte {
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

func inCommon() (all []Variant) {
	step := `"counting: table changed"`
	two := []string{"hall-a", "hall-b"}
	for _, s := range []state{
		{
			name: "in common", text: "a follower of a voter; nothing is decided",
			hall: "hall-a", says: []string{`"coordination: started"`},
		},
		{
			name: "a hall out", text: "failover's plan in force shares the gateway's own hall out: all is pushed to the other",
			hall: "hall-b", halls: []string{"hall-b", "hall-a"}, terms: failoverTerm,
			table: failover.Table, value: planned, says: []string{`"routing: plan in force"`},
		},
		{
			name: "plan's lease over", text: "a plan was in force, the voter has gone, its lease is over: near by own evidence",
			hall: "hall-a", halls: two, terms: failoverTerm, table: failover.Table,
			value: planned, says: []string{`"routing: plan in force"`}, over: []string{`"routing: no plan in force`},
		},
		{
			name: "canary", text: "a new rule is played on the row's customer beside the old one",
			hall: "hall-a", terms: countedTerm, table: countingrule.TableName, value: counted(countingrule.PhaseCanary, 0),
			says: []string{step}, fits: sampled, aside: true,
		},
		{
			name: "activation named", text: "the new rule's edge is named and an hour off; the row's customer is still played",
			hall: "hall-a", terms: countedTerm, table: countingrule.TableName,
			value: counted(countingrule.PhaseScheduled, time.Hour), says: []string{step}, fits: sampled, aside: true,
		},
		{
			name: "activated", text: "past the edge: a rule whose key is the customer, with weight 1, counts by its own names",
			hall: "hall-a", terms: countedTerm, table: countingrule.TableName,
			value: counted(countingrule.PhaseScheduled, -time.Minute), says: []string{step}, key: ruleKey,
			fits: sampled, aside: true,
		},
		{
			name: "edge passed", text: "the same, with the edge come while the process served", hall: "hall-a",
			terms: countedTerm, table: countingrule.TableName, value: counted(countingrule.PhaseScheduled, edgeSoon), span: edgeSoon,
			says: []string{step}, key: ruleKey, fits: sampled, aside: true,
		},
		{
			name: "shedding", text: "a plan sheds all that comes in: nothing is asked, and no other row can hold", alone: true,
			hall: "hall-b", halls: []string{"hall-b", "hall-a"}, terms: failoverTerm, table: failover.Table,
			value: shedding, says: []string{`"routing: plan in force"`},
		},
		{
			name: "unconfirmed", text: "a canary was heard of, the voter has gone, its lease is over: both rules must allow",
			hall: "hall-a", terms: countedTerm, table: countingrule.TableName,
			value: counted(countingrule.PhaseCanary, 0), says: []string{step}, aside: true,
			over: []string{"counting: version in force uncertain"},
		},
		{
			name: "settlement", text: "a debts table with shares is in force, and half of the creditor's servers are a debtor's",
			hall: "hall-a", halls: two, away: true, terms: debtsTerm, table: settlement.TableName,
			value: settling, says: []string{`"settlement: started"`},
		},
	} {
		all = append(all, s.variant())
	}
	return all
}

// inModule are the states that change how the module is made or what its events carry.
var inModule = []Variant{
	{
		Name: "rules' plans", Text: "the plans of a counting rule stand behind the file's",
		Module: func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
			return policy.New(countingrule.WithRulePlans(site, []countingrule.Rule{byCustomer}), seed, host)
		},
	},
	{
		Name: "preferring", Text: "each task prefers the owner of a further, elective server",
		Module: elective(preferred),
	},
	{
		Name: "electives beside", Text: "the list has an elective server, and no task prefers its owner",
		Module: elective(0), Never: []string{"push * elective"},
	},
}

const preferred = 2 // the owner of the elective servers

// electing is a module whose list has an elective server more, with tasks that prefer its owner or nobody's.
type electing struct {
	Module
	prefer int
}

func elective(prefer int) func(policy.Settings, int64, policy.Host) (Module, error) {
	return func(site policy.Settings, seed int64, host policy.Host) (Module, error) {
		g, err := policy.New(site, seed, host)
		return electing{g, prefer}, err
	}
}

func (e electing) HandleEndpoints(now time.Duration, kind policy.ListKind, list []policy.Endpoint) {
	more := policy.Endpoint{Server: servers + 1, State: policy.Ready, Capacity: 1, Owner: preferred, Elective: true}
	e.Module.HandleEndpoints(now, kind, append(list, more))
}

func (e electing) HandleRequest(now time.Duration, t policy.Request) {
	t.PreferOwner = e.prefer
	e.Module.HandleRequest(now, t)
}
