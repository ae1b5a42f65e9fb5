package scenario

import (
	"maps"
	"slices"
)

// Kind says what a trouble does, and what a world needs for it.
type FaultKind struct {
	Description  string // with what Part and Size mean
	NeedsCounter bool   // needs a counter
	NeedsZones   bool   // needs two halls
	IsLink       bool   // is between two halls
}

// Kinds are the troubles by name. The virtual world carries each out in one small type (package virtual).
var FaultKinds = map[string]FaultKind{
	"server_lost":   {Description: "part of the servers fall silent; they come back cold"},
	"server_errors": {Description: "part of the servers fail size of their tasks at once"},
	"server_slow":   {Description: "part of the servers work size times slower"},
	"lane_silent":   {Description: "part of the servers never answer one lane"},
	"deploy":        {Description: "part of the servers are replaced by cold ones, evenly over the time: draining is told first"},
	"mass_change":   {Description: "part of the servers are replaced at once: old ones are gone without draining"},
	"hall_lost": {
		Description: "servers of a hall fall silent, part of them or, at 0, all; they come back cold",
		NeedsZones:  true,
	},
	"hall_cut":         {Description: "nothing passes between a hall and the others", NeedsZones: true},
	"link_cut":         {Description: "nothing passes between hall and to", NeedsZones: true, IsLink: true},
	"blind":            {Description: "part of the gateways reach no server"},
	"leader_lost":      {Description: "the voter that leads, where there is one, is killed; it comes back with its disk"},
	"answers_lost":     {Description: "part of the answers are lost on their way"},
	"resets":           {Description: "part of the pushes end as resets, half of them after they ran"},
	"counter_slow":     {Description: "calls take size times longer", NeedsCounter: true},
	"counter_silent":   {Description: "the counter takes calls and answers none; it has added them", NeedsCounter: true},
	"counter_refusing": {Description: "the counter turns calls away", NeedsCounter: true},
	"counter_empty":    {Description: "the counter forgets all counts, at once", NeedsCounter: true},
	"counter_split":    {Description: "each half of the gateways has a counter; after it the first half's is for all", NeedsCounter: true},
	"burst":            {Description: "size times the load"},
	"flood":            {Description: "size times the load of one plan"},
	"crowd":            {Description: "part of the tries come through the gateways of one hall, whatever their customers' own", NeedsZones: true},
	"kill":             {Description: "part of the gateways are killed at once and start again after the time"},
	"rolling":          {Description: "part of the gateways are restarted in turn over the time, each away for size seconds"},
	"standstill":       {Description: "part of the gateways stand still for the time"},
	"list_lag":         {Description: "what discovery has to tell comes size times later"},
	"list_lost":        {Description: "part of the gateways are told nothing; all they missed comes after it"},
}

// KindNames are the names in order.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
