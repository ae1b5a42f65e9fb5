package conformance

import (
	"slices"
	"time"

	"harrierhoist/internal/control/countingrule"
	"harrierhoist/internal/control/failover"
	"harrierhoist/internal/control/settlement"
)

// The zones of the cases' settings.
const zoneA, zoneB = "hall-a", "hall-b"

// What processes log once a state is in force.
const (
	coordinationLine = `"coordination: started"`
	tableLine        = `"counting: table changed"`
	uncertainLine    = "counting: version in force uncertain"
	planLine         = `"routing: plan in force"`
	noPlanLine       = `"routing: no plan in force`
	settlementLine   = `"settlement: started"`
)

// coordinatedVariants returns the states that processes reach by following a voter.
func coordinatedVariants() (all []Variant) {
	idle := partState{
		name: "coordinated", description: "a follower of a voter; nothing is decided",
		zone: zoneA, readyLines: []string{coordinationLine},
	}
	for _, s := range slices.Concat([]partState{idle}, failoverStates(), countingStates(), settlementStates()) {
		all = append(all, s.variant())
	}
	return all
}

func failoverStates() []partState {
	return []partState{
		{
			name:        "zone drained",
			description: "the failover plan in force drains the gateway's own zone: all goes to the other",
			zone:        zoneB, zones: []string{zoneB, zoneA}, config: failoverConfig,
			table: failover.TableName, value: drainedZonePlan, readyLines: []string{planLine},
		},
		{
			name:        "plan's lease expired",
			description: "a plan was in force, the voter has stopped, its lease has expired: served locally",
			zone:        zoneA, zones: []string{zoneA, zoneB}, config: failoverConfig, table: failover.TableName,
			value: drainedZonePlan, readyLines: []string{planLine}, leaseLostLines: []string{noPlanLine},
		},
		{
			name:        "shedding",
			description: "a plan sheds all requests: the counter is not called, and no other case can hold",
			zone:        zoneB, zones: []string{zoneB, zoneA}, config: failoverConfig, table: failover.TableName,
			value: sheddingPlan, readyLines: []string{planLine}, onlyNamedCases: true,
		},
	}
}

func countingStates() []partState {
	states := []partState{
		{
			name: "canary", description: "a new rule is tried on the case's customer beside the old one",
			value: countingTable(countingrule.PhaseCanary, 0), acceptsCustomer: isSampled,
		},
		{
			name: "activation scheduled",
			description: "the new rule's activation is scheduled, an hour ahead; " +
				"it is still tried on the case's customer",
			value: countingTable(countingrule.PhaseScheduled, time.Hour), acceptsCustomer: isSampled,
		},
		{
			name: "activated",
			description: "past the activation: a rule whose key is the customer, with weight 1, " +
				"counts by its own names",
			value: countingTable(countingrule.PhaseScheduled, -time.Minute), counterKey: ruleKey,
			acceptsCustomer: isSampled,
		},
		{
			name: "activated while serving", description: "the same, with the activation while the process served",
			value:      countingTable(countingrule.PhaseScheduled, activationDelay),
			settleTime: activationDelay, counterKey: ruleKey, acceptsCustomer: isSampled,
		},
		{
			name:        "unconfirmed",
			description: "a canary was known, the voter has stopped, its lease has expired: both rules must admit",
			value:       countingTable(countingrule.PhaseCanary, 0), leaseLostLines: []string{uncertainLine},
		},
	}
	for i := range states {
		s := &states[i]
		s.zone = zoneA
		s.config = countingConfig
		s.table = countingrule.TableName
		s.readyLines = []string{tableLine}
		s.makesOwnCalls = true
	}
	return states
}

func settlementStates() []partState {
	return []partState{{
		name:        "settlement",
		description: "a settlement table with shares is in force, and half of the creditor's servers are a debtor's",
		zone:        zoneA, zones: []string{zoneA, zoneB}, lastServerElsewhere: true, config: settlementConfig,
		table: settlement.TableName, value: settlementState, readyLines: []string{settlementLine},
	}}
}
