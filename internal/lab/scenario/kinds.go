package scenario

import (
	"maps"
	"slices"
)

// Kind says what a trouble does, and what a world needs for it.
type Kind struct {
	What    string // with what Part and Size mean
	Counter bool   // needs a counter
	Halls   bool   // needs two halls
	Link    bool   // is between two halls
}

// Kinds are the troubles by name. The virtual world carries each out in one small type (package virtual).
var Kinds = map[string]Kind{
	"server_lost":   {What: "part of the servers fall silent; they come back cold"},
	"server_errors": {What: "part of the servers fail size of their tasks at once"},
	"server_slow":   {What: "part of the servers work size times slower"},
	"lane_silent":   {What: "part of the servers never answer one lane"},
	"deploy":        {What: "part of the servers are replaced by cold ones, evenly over the time: draining is told first"},
	"mass_change":   {What: "part of the servers are replaced at once: old ones are gone without draining"},
	"hall_lost": {
		What:  "servers of a hall fall silent, part of them or, at 0, all; they come back cold",
		Halls: true,
	},
	"hall_cut":         {What: "nothing passes between a hall and the others", Halls: true},
	"link_cut":         {What: "nothing passes between hall and to", Halls: true, Link: true},
	"blind":            {What: "part of the gateways reach no server"},
	"leader_lost":      {What: "the voter that leads, where there is one, is killed; it comes back with its disk"},
	"answers_lost":     {What: "part of the answers are lost on their way"},
	"resets":           {What: "part of the pushes end as resets, half of them after they ran"},
	"counter_slow":     {What: "calls take size times longer", Counter: true},
	"counter_silent":   {What: "the counter takes calls and answers none; it has added them", Counter: true},
	"counter_refusing": {What: "the counter turns calls away", Counter: true},
	"counter_empty":    {What: "the counter forgets all counts, at once", Counter: true},
	"counter_split":    {What: "each half of the gateways has a counter; after it the first half's is for all", Counter: true},
	"burst":            {What: "size times the load"},
	"flood":            {What: "size times the load of one plan"},
	"crowd":            {What: "part of the tries come through the gateways of one hall, whatever their customers' own", Halls: true},
	"kill":             {What: "part of the gateways are killed at once and start again after the time"},
	"rolling":          {What: "part of the gateways are restarted in turn over the time, each away for size seconds"},
	"standstill":       {What: "part of the gateways stand still for the time"},
	"list_lag":         {What: "what discovery has to tell comes size times later"},
	"list_lost":        {What: "part of the gateways are told nothing; all they missed comes after it"},
}

// KindNames are the names in order.
func KindNames() []string { return slices.Sorted(maps.Keys(Kinds)) }
