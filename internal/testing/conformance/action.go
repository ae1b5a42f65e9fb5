package conformance

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// verb is the first word of a action.
type verb string

// The actions of a case, as it writes them.
const (
	// actionRequest is "request N units U [customer C] [class L]": a request arrives. Without C it
	// is the case's customer's, without L of class short.
	actionRequest verb = "request"
	// actionAnswer is "answer N [billed U]": the server answers request N. Without U the answer
	// reports no units.
	actionAnswer verb = "answer"
	// actionOthers is "others U": other gateways charge the case's customer, in its current window.
	actionOthers verb = "others"
	// actionCounter is "counter silent" (calls are accepted and not answered) or "counter
	// answering" (all are answered).
	actionCounter verb = "counter"
	// actionWait is "wait D": so much time passes.
	actionWait verb = "wait"
	// actionEdge is "edge": time passes until the next window of the case's customer starts.
	actionEdge verb = "edge"
	// actionMarker is "marker W": nothing happens, and the event "marker W" is recorded.
	actionMarker verb = "marker"
	// actionConnections is "connections": "connection X" is recorded for each other process that
	// the gateway is connected to.
	actionConnections verb = "connections"
)

const counterSilent, counterAnswering = "silent", "answering"

// action is one action of a case.
type action struct {
	verb     verb
	request  int
	units    float64
	customer uint64 // 0: the case's
	class    int    // index in classes
	argument string
	duration time.Duration
}

// class is a traffic class of the cases' requests.
type class struct {
	name               string
	objective, timeout time.Duration
}

// classes are the traffic classes of the cases; both are idempotent. A check may take a quarter of
// the latency objective. A process has to be quick within that quarter, so the objective is long.
// Requests of class long outlive a minute, so that the state of a customer with a stale charge is
// kept.
var classes = []class{
	{"short", 4 * time.Second, 8 * time.Second},
	{"long", 4 * time.Second, 2 * time.Minute},
}

var (
	errEmptyAction   = errors.New("an empty action")
	errUnknownAction = errors.New("no such action")
	errIncomplete    = errors.New("a request needs a number, units and a class")
)

// parseAction reads a action.
func parseAction(text string) (action, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return action{}, errEmptyAction
	}
	todo := action{verb: verb(words[0])}
	if err := todo.parseArguments(words[1:]); err != nil {
		return todo, fmt.Errorf("action %q: %w", text, err)
	}
	return todo, nil
}

// argumentCount is how many words follow the verb, for all verbs but those of requests and answers.
var argumentCount = map[verb]int{
	actionOthers: 1, actionWait: 1, actionMarker: 1, actionCounter: 1, actionEdge: 0, actionConnections: 0,
}

func (a *action) parseArguments(words []string) (err error) {
	if a.verb == actionRequest || a.verb == actionAnswer {
		return a.parseRequest(words)
	}
	if count, known := argumentCount[a.verb]; !known || len(words) != count {
		return errUnknownAction
	}
	switch a.verb {
	case actionOthers:
		a.units, err = strconv.ParseFloat(words[0], 64)
	case actionWait:
		a.duration, err = time.ParseDuration(words[0])
	case actionMarker, actionCounter:
		a.argument = words[0]
	default: // has no argument
	}
	if a.verb == actionCounter && a.argument != counterSilent && a.argument != counterAnswering {
		return errUnknownAction
	}
	return err
}

// parseRequest reads the number of a request or an answer, and pairs of a word and its value.
func (a *action) parseRequest(words []string) (err error) {
	if len(words)%2 == 0 {
		return errUnknownAction
	}
	a.request, err = strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	for pair := range slices.Chunk(words[1:], 2) {
		if err := a.parsePair(pair[0], pair[1]); err != nil {
			return err
		}
	}
	lacksUnits := a.verb == actionRequest && a.units <= 0
	if a.request < 1 || a.class < 0 || lacksUnits {
		return errIncomplete
	}
	return nil
}

func (a *action) parsePair(word, value string) (err error) {
	switch {
	case word == "units" && a.verb == actionRequest, word == "billed" && a.verb == actionAnswer:
		a.units, err = strconv.ParseFloat(value, 64)
	case word == "customer" && a.verb == actionRequest:
		a.customer, err = strconv.ParseUint(value, 10, 64)
	case word == "class" && a.verb == actionRequest:
		a.class = slices.IndexFunc(classes, func(c class) bool { return c.name == value })
	default:
		err = fmt.Errorf("no %q there", word)
	}
	return err
}
