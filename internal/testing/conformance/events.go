package conformance

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// eventLog records what a gateway was observed to do, in order. An event is written as words:
//
//	count W U        a call to the counter: W is the window (current, previous, next or unknown) or the count's name
//	                 in 16 hex digits; U the units added
//	attempt N        request N is sent to a server; "attempt N elective" matches too where the server is elective
//	answered N, rejected N, terminated N, no answer N
//	                 the final answer of its client
//	cancel N, peer-message, health-check
//	                 what else the module asks of its host
//	connection X     the gateway is connected to X
//	marker W           the case's action of that name
//
// A pattern is written likewise; a * in it matches any one word.
type eventLog struct {
	mu     sync.Mutex
	events [][]string // each with all its forms, of which a pattern may match any
}

func (l *eventLog) add(forms ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, forms)
}

// since returns the events after the first n.
func (l *eventLog) since(n int) [][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events[n:])
}

// matches reports whether a form of an event matches a pattern word by word.
func matches(event []string, pattern string) bool {
	want := strings.Fields(pattern)
	return slices.ContainsFunc(event, func(form string) bool {
		return slices.EqualFunc(strings.Fields(form), want, func(word, wanted string) bool {
			return word == wanted || wanted == "*"
		})
	})
}

// violations compares events with a case and returns what is wrong.
func violations(events [][]string, testCase Case, forbidden []string) []string {
	return append(missingEvents(events, testCase),
		forbiddenEvents(events, slices.Concat(testCase.Forbidden, forbidden))...)
}

// forbiddenEvents returns a message for each pattern that matches although it must not.
func forbiddenEvents(events [][]string, patterns []string) (problems []string) {
	for _, pattern := range patterns {
		unwanted, end, hasEnd := strings.Cut(pattern, " before ")
		for _, event := range events {
			if hasEnd && matches(event, end) {
				break
			}
			if matches(event, unwanted) {
				problems = append(problems, fmt.Sprintf("%q must not be seen (%s)", event[0], pattern))
				break
			}
		}
	}
	return problems
}

// missingEvents returns the first expected pattern that did not match, or the first event too many,
// as a message.
func missingEvents(events [][]string, testCase Case) []string {
	next := 0
	for _, event := range events {
		if next < len(testCase.Expected) && matches(event, testCase.Expected[next]) {
			next++
		} else if testCase.Exactly {
			return []string{fmt.Sprintf("%q is not expected, or too early", event[0])}
		}
	}
	if next < len(testCase.Expected) {
		return []string{fmt.Sprintf("%q is not seen", testCase.Expected[next])}
	}
	return nil
}

// formatEvents writes events for a failure's message.
func formatEvents(events [][]string) string {
	var out []string
	for _, event := range events {
		out = append(out, strings.Join(event, " = "))
	}
	return strings.Join(out, "; ")
}
