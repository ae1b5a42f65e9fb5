package conformance

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// verb is the first word of a step.
type verb string

// The steps of a row, as it writes them.
const (
	// stepRequest is "request N units U [customer C] [class L]": a request arrives. Without C it is the row's
	// customer's, without L of class short.
	stepRequest verb = "request"
	// stepAnswer is "answer N [billed U]": the server answers request N. Without U the answer reports no units.
	stepAnswer verb = "answer"
	// stepOthers is "others U": other gateways charge the row's customer, in its current window.
	stepOthers verb = "others"
	// stepCounter is "counter silent" (calls are accepted and not answered) or "counter back" (all are answered).
	stepCounter verb = "counter"
	// stepWait is "wait D": so much time passes.
	stepWait verb = "wait"
	// stepEdge is "edge": time passes until the next window of the row's customer starts.
	stepEdge verb = "edge"
	// stepMark is "mark W": nothing happens, and the event "mark W" is recorded.
	stepMark verb = "mark"
	// stepConnections is "connections": "connection X" is recorded for each other process that the gateway is
	// connected to.
	stepConnections verb = "connections"
)

const counterSilent, counterBack = "silent", "back"

// step is one action of a row.
type step struct {
	verb     verb
	request  int
	units    float64
	customer uint64 // 0: the row's
	class    int    // index in classes
	argument string
	duration time.Duration
}

// class is a traffic class of the rows' requests.
type class struct {
	name               string
	objective, timeout time.Duration
}

// classes are the traffic classes of the rows; both are idempotent. A check may take a quarter of the latency objective.
// A process has to be quick within that quarter, so the objective is long. Requests of class long outlive a minute, so
// that the state of a customer with a stale charge is kept.
var classes = []class{
	{"short", 4 * time.Second, 8 * time.Second},
	{"long", 4 * time.Second, 2 * time.Minute},
}

var (
	errEmptyStep   = errors.New("an empty step")
	errUnknownStep = errors.New("no such step")
	errIncomplete  = errors.New("a request needs a number, units and a class")
)

// parseStep reads a step.
func parseStep(text string) (step, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return step{}, errEmptyStep
	}
	s := step{verb: verb(words[0])}
	if err := s.parseArguments(words[1:]); err != nil {
		return s, fmt.Errorf("step %q: %w", text, err)
	}
	return s, nil
}

// argumentCount is how many words follow the verb, for all verbs but those of requests and answers.
var argumentCount = map[verb]int{
	stepOthers: 1, stepWait: 1, stepMark: 1, stepCounter: 1, stepEdge: 0, stepConnections: 0,
}

func (s *step) parseArguments(words []string) (err error) {
	if s.verb == stepRequest || s.verb == stepAnswer {
		return s.parseRequest(words)
	}
	if count, known := argumentCount[s.verb]; !known || len(words) != count {
		return errUnknownStep
	}
	switch s.verb {
	case stepOthers:
		s.units, err = strconv.ParseFloat(words[0], 64)
	case stepWait:
		s.duration, err = time.ParseDuration(words[0])
	case stepMark, stepCounter:
		s.argument = words[0]
	}
	if s.verb == stepCounter && s.argument != counterSilent && s.argument != counterBack {
		return errUnknownStep
	}
	return err
}

// parseRequest reads the number of a request or an answer, and pairs of a word and its value.
func (s *step) parseRequest(words []string) (err error) {
	if len(words)%2 == 0 {
		return errUnknownStep
	}
	if s.request, err = strconv.Atoi(words[0]); err != nil {
		return err
	}
	for pair := range slices.Chunk(words[1:], 2) {
		if err := s.parsePair(pair[0], pair[1]); err != nil {
			return err
		}
	}
	if s.request < 1 || s.class < 0 || s.verb == stepRequest && s.units <= 0 {
		return errIncomplete
	}
	return nil
}

func (s *step) parsePair(word, value string) (err error) {
	switch {
	case word == "units" && s.verb == stepRequest, word == "billed" && s.verb == stepAnswer:
		s.units, err = strconv.ParseFloat(value, 64)
	case word == "customer" && s.verb == stepRequest:
		s.customer, err = strconv.ParseUint(value, 10, 64)
	case word == "class" && s.verb == stepRequest:
		s.class = slices.IndexFunc(classes, func(c class) bool { return c.name == value })
	default:
		err = fmt.Errorf("no %q there", word)
	}
	return err
}
