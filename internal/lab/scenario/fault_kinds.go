package scenario

import (
	"maps"
	"slices"
)

// Kinds of faults, by the names in the file.
const (
	ServerLoss       = "server_lost"
	ServerErrors     = "server_errors"
	ServerSlowdown   = "server_slow"
	ClassSilence     = "lane_silent"
	RollingDeploy    = "deploy"
	MassReplacement  = "mass_change"
	ZoneLoss         = "hall_lost"
	ZoneIsolation    = "hall_cut"
	LinkCut          = "link_cut"
	GatewayIsolation = "blind"
	LeaderLoss       = "leader_lost"
	AnswerLoss       = "answers_lost"
	ConnectionResets = "resets"
	CounterSlowdown  = "counter_slow"
	CounterSilence   = "counter_silent"
	CounterRejection = "counter_refusing"
	CounterReset     = "counter_empty"
	CounterSplit     = "counter_split"
	LoadBurst        = "burst"
	PlanFlood        = "flood"
	Hotspot          = "crowd"
	GatewayKill      = "kill"
	RollingRestart   = "rolling"
	GatewayPause     = "standstill"
	DiscoveryLag     = "list_lag"
	DiscoveryLoss    = "list_lost"
)

// FaultKind describes a kind of fault, and what a scenario needs for it.
type FaultKind struct {
	Description  string // with what Fraction ("part") and Magnitude ("size") mean
	NeedsCounter bool
	NeedsZones   bool // two at least
	IsLink       bool // it is between two zones
}

// FaultKinds are the kinds of faults by name. Package simulation has a constructor for each.
var FaultKinds = map[string]FaultKind{
	ServerLoss:     {Description: "part of the servers fall silent; they come back warming up"},
	ServerErrors:   {Description: "part of the servers fail size of their requests at once"},
	ServerSlowdown: {Description: "part of the servers work size times slower"},
	ClassSilence:   {Description: "part of the servers never answer one class (lane)"},
	RollingDeploy: {
		Description: "part of the servers are replaced by new ones, evenly over the time; the old ones drain first",
	},
	MassReplacement: {Description: "part of the servers are replaced by new ones at once, without draining"},
	ZoneLoss: {
		Description: "servers of a zone (hall) fall silent, part of them or, at 0, all; they come back warming up",
		NeedsZones:  true,
	},
	ZoneIsolation:    {Description: "nothing passes between a zone (hall) and the others", NeedsZones: true},
	LinkCut:          {Description: "nothing passes between two zones (hall and to)", NeedsZones: true, IsLink: true},
	GatewayIsolation: {Description: "part of the gateways reach no server"},
	LeaderLoss:       {Description: "the voter that leads, where there is one, is killed; it restarts with its disk"},
	AnswerLoss:       {Description: "part of the answers are lost on their way"},
	ConnectionResets: {Description: "part of the attempts end as resets, half of them after they ran"},
	CounterSlowdown:  {Description: "calls take size times longer", NeedsCounter: true},
	CounterSilence:   {Description: "the counter counts calls and answers none", NeedsCounter: true},
	CounterRejection: {Description: "the counter rejects calls", NeedsCounter: true},
	CounterReset:     {Description: "the counter loses all counts, at once", NeedsCounter: true},
	CounterSplit: {
		Description:  "each half of the gateways has a counter; after it the first half's is for all",
		NeedsCounter: true,
	},
	LoadBurst: {Description: "size times the load"},
	PlanFlood: {Description: "size times the load of one plan"},
	Hotspot: {
		Description: "part of the tries come in through the gateways of one zone (hall), whatever their customers' own",
		NeedsZones:  true,
	},
	GatewayKill: {Description: "part of the gateways are killed at once and start again after the time"},
	RollingRestart: {
		Description: "part of the gateways are restarted in turn over the time, each down for size seconds",
	},
	GatewayPause:  {Description: "part of the gateways are paused for the time"},
	DiscoveryLag:  {Description: "discovery's notifications come size times later"},
	DiscoveryLoss: {Description: "part of the gateways get no notifications; all they missed come after it"},
}

// FaultKindNames are the names of all kinds in alphabetical order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
