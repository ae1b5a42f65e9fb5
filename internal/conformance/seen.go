package conformance

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// seen is what a gateway was seen to do, in order. What is seen has words:
//
//	count P U       a call to the counter: P is now, last, next or strange, or the name in 16 hex digits; U the units
//	push N          the task goes to a server
//	answered N, rejected N, terminated N: its client's final answer
//	tell, probe, cancel N: what the module asks of its host besides
type eventLog struct {
	mu     sync.Mutex
	events [][]string // each with all its faces, of which a pattern may match any
}

func (s *eventLog) add(faces ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, faces)
}

// from gives what was seen after the first n.
func (s *eventLog) since(n int) [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events[n:])
}

// fits tells whether a line matches a pattern: word by word, * is any.
func matches(faces []string, pattern string) bool {
	want := strings.Fields(pattern)
	return slices.ContainsFunc(faces, func(face string) bool {
		return slices.EqualFunc(strings.Fields(face), want, func(a, b string) bool { return a == b || b == "*" })
	})
}

// judge holds what was seen against what a row says, and gives what is wrong.
func violations(lines [][]string, row Row, never []string) []string {
	return append(missingEvents(lines, row), forbiddenEvents(lines, slices.Concat(row.Forbidden, never))...)
}

// forbidden gives what must not have been seen.
func forbiddenEvents(lines [][]string, patterns []string) (wrong []string) {
	for _, pattern := range patterns {
		bad, end, ends := strings.Cut(pattern, " before ")
		for _, l := range lines {
			if ends && matches(l, end) {
				break
			}
			if matches(l, bad) {
				wrong = append(wrong, fmt.Sprintf("%q must not be seen (%s)", l[0], pattern))
				break
			}
		}
	}
	return wrong
}

// follows gives what is lacking or too much of what must follow.
func missingEvents(lines [][]string, row Row) []string {
	next := 0
	for _, l := range lines {
		if next < len(row.Expected) && matches(l, row.Expected[next]) {
			next++
		} else if row.Exactly {
			return []string{fmt.Sprintf("%q is too much, or comes too early", l[0])}
		}
	}
	if next < len(row.Expected) {
		return []string{fmt.Sprintf("%q is not seen", row.Expected[next])}
	}
	return nil
}

// told writes what was seen, for a failure.
func formatEvents(lines [][]string) string {
	var out []string
	for _, l := range lines {
		out = append(out, strings.Join(l, " = "))
	}
	return strings.Join(out, "; ")
}
