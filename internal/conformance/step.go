package conformance

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// step is one thing that happens, as a row writes it:
//
//	task N units U [customer C] [lane L]   a task comes; without C it is the row's customer's, without L lane short
//	answer N [billed U]                    the server answers its push; without U the answer reports no units
//	others U                               other gateways charge the row's customer, in its present window
//	counter silent, counter back           calls are taken and not answered; all are answered
//	wait D, edge                           time passes: so long; until the next window of the row's customer starts
//	mark W                                 nothing; "mark W" is seen
//	talks                                  "talks X" is seen for each other process that the gateway is connected with
type step struct {
	verb     string
	request  int
	units    float64
	customer uint64 // 0: the row's
	class    int
	argument string
	duration time.Duration
}

type class struct {
	name               string
	objective, timeout time.Duration
}

// lanes are those of the rows. Both are pure; a check may take a quarter of a soft limit. A process has to be quick
// within that quarter, so it is long. Long tasks outlive a minute, so that a book with an old charge is kept.
var classes = []class{
	{"short", 4 * time.Second, 8 * time.Second},
	{"long", 4 * time.Second, 2 * time.Minute},
}

// read reads a step.
func parseStep(text string) (step, error) {
	words := strings.Fields(text)
	if len(words) == 0 {
		return step{}, fmt.Errorf("an empty step")
	}
	s, rest := step{verb: words[0]}, words[1:]
	var err error
	note := func(e error) {
		if err == nil && e != nil {
			err = e
		}
	}
	number := func(word string) float64 {
		v, e := strconv.ParseFloat(word, 64)
		note(e)
		return v
	}
	switch {
	case (s.verb == "task" || s.verb == "answer") && len(rest)%2 == 1:
		s.request = int(number(rest[0]))
		for i := 1; i < len(rest); i += 2 {
			switch value := rest[i+1]; {
			case rest[i] == "units" && s.verb == "task", rest[i] == "billed" && s.verb == "answer":
				s.units = number(value)
			case rest[i] == "customer" && s.verb == "task":
				s.customer = uint64(number(value))
			case rest[i] == "lane" && s.verb == "task":
				s.class = slices.IndexFunc(classes, func(l class) bool { return l.name == value })
			default:
				note(fmt.Errorf("no %q there", rest[i]))
			}
		}
		if s.request < 1 || s.class < 0 || s.verb == "task" && s.units <= 0 {
			note(fmt.Errorf("a task needs a number, units and a lane"))
		}
	case s.verb == "others" && len(rest) == 1:
		s.units = number(rest[0])
	case s.verb == "wait" && len(rest) == 1:
		var e error
		s.duration, e = time.ParseDuration(rest[0])
		note(e)
	case s.verb == "mark" && len(rest) == 1, text == "counter silent", text == "counter back":
		s.argument = rest[0]
	case (s.verb == "edge" || s.verb == "talks") && len(rest) == 0:
	default:
		note(fmt.Errorf("no such step"))
	}
	if err != nil {
		return s, fmt.Errorf("step %q: %w", text, err)
	}
	return s, nil
}

// windows reckons a customer's windows from what the clauses say of their length and names, apart from the module.
type windows struct {
	customer       uint64
	key            uint64 // that names are made of: the customer, or what a counting rule has in its place
	length, offset time.Duration
}

const (
	burstsPerWindow    = 2.0 // bursts that come at the rate in a window
	maxWindow          = 30 * time.Second
	minWindow          = time.Second
	customerMultiplier = 0x9e3779b97f4a7c15
	finalMultiplier    = 0xbf58476d1ce4e5b9
	finalShift         = 31
	offsetIndex        = 0 // the number whose name gives the offset of a customer's windows
)

func newWindows(customer uint64, plan Plan) windows {
	length := time.Duration(burstsPerWindow * plan.Burst / plan.Rate * float64(time.Second))
	w := windows{customer: customer, key: customer, length: min(max(length, minWindow), maxWindow)}
	w.offset = time.Duration(w.counterName(offsetIndex) % uint64(w.length))
	return w
}

func (w windows) counterName(number int64) uint64 {
	x := (w.key*customerMultiplier + uint64(number)) * finalMultiplier
	return x ^ x>>finalShift
}

func (w windows) index(at time.Duration) int64 { return int64((at + w.offset) / w.length) }

// edge is how long it is until the next window starts.
func (w windows) untilNext(at time.Duration) time.Duration {
	return time.Duration(w.index(at)+1)*w.length - w.offset - at
}

// call gives the faces of a call to the counter: by the window's place beside the present one, and by its name. A name
// that is none of these windows' is strange.
func (w windows) callEvents(at time.Duration, name uint64, units float64) []string {
	place := "strange"
	for i, word := range []string{"last", "now", "next"} {
		if w.counterName(w.index(at)+int64(i)-1) == name {
			place = word
		}
	}
	return []string{fmt.Sprintf("count %s %g", place, units), fmt.Sprintf("count %016x %g", name, units)}
}
