// Package boot reads what a gateway is told at its start: the settings, which the simulator hands over as
// lines and a configuration file as nested JSON, and what goes with them on sockets.
package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Values are settings: a value at each path. Unknown paths are simply never asked for.
type Values struct {
	byPath map[string]string
	err    error
}

// ParseLines reads settings written as lines.
func ParseLines(text string) (*Values, error) {
	values := &Values{byPath: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d has no '='", i+1)
		}
		values.byPath[path] = value
	}
	return values, nil
}

// Err is the first thing found wrong by the getters.
func (values *Values) Err() error { return values.err }

func (values *Values) fail(path, what string) {
	if values.err == nil {
		values.err = fmt.Errorf("settings: %s %s", path, what)
	}
}

// Require says that a path must be there.
func (values *Values) Require(paths ...string) {
	for _, path := range paths {
		if _, ok := values.byPath[path]; !ok {
			values.fail(path, "is missing")
		}
	}
}

// Text gives the words at a path, empty where there are none.
func (values *Values) Text(path string) string { return values.byPath[path] }

// Number gives the number at a path, 0 where there is none.
func (values *Values) Number(path string) float64 {
	text, ok := values.byPath[path]
	if !ok || text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		values.fail(path, fmt.Sprintf("is not a number: %q", text))
		return 0
	}
	return v
}

// RequireRange says that a figure, where it is told, must lie between two, both allowed.
func (values *Values) RequireRange(path string, least, most float64) {
	if v := values.Number(path); values.Text(path) != "" && (v < least || v > most) {
		values.fail(path, fmt.Sprintf("must be from %g to %g, not %g", least, most, v))
	}
}

// requireUnique says that names under a path must not be told twice; names left out are no names.
func (values *Values) requireUnique(path string, n int, name func(int) string) {
	for i := range n {
		for k := range i {
			if name(i) != "" && name(i) == name(k) {
				values.fail(fmt.Sprintf("%s.%d.Name", path, i), fmt.Sprintf("must be another than that of %s.%d: %q", path, k, name(i)))
			}
		}
	}
}

// Int gives the whole number at a path, 0 where there is none.
func (values *Values) Int(path string) int { return int(values.Number(path)) }

// Bool gives the truth at a path, false where there is none.
func (values *Values) Bool(path string) bool {
	switch text := values.byPath[path]; text {
	case "true":
		return true
	case "false", "":
		return false
	default:
		values.fail(path, fmt.Sprintf("is neither true nor false: %q", text))
		return false
	}
}

// Enum gives the place of the value at a path among words; other values are an error.
func (values *Values) Enum(path string, words ...string) int {
	text := values.byPath[path]
	for i, w := range words {
		if text == w {
			return i
		}
	}
	values.fail(path, fmt.Sprintf("is none of %s: %q", strings.Join(words, ", "), text))
	return 0
}

// List gives the values at a path, none where it is empty.
func (values *Values) List(path string) []string {
	if values.byPath[path] == "" {
		return nil
	}
	return strings.Split(values.byPath[path], ",")
}
