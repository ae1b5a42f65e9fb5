// Package config reads the configuration of a gateway. The simulator passes the settings of package
// policy as lines of text; a configuration file has them as nested JSON. A file also has the
// addresses and resource limits of a process.
package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Values holds settings by path, such as "Rules.DrainGraceMs" or "RequestClasses.0.Name". A getter
// returns the zero value if the setting is malformed. Err returns the first error that a getter or
// check found. Unknown paths are ignored. Values is not safe for concurrent use.
type Values struct {
	byPath map[string]string
	err    error
}

// SettingError reports a setting that is missing or has a value that is not allowed.
type SettingError struct {
	Path    string
	Problem string // predicate of the message, such as "is missing"; the path is its subject
}

// Error returns a message of the form "settings: PATH PROBLEM".
func (e *SettingError) Error() string { return "settings: " + e.Path + " " + e.Problem }

const floatBits = 64 // precision of numbers in settings

func newValues() *Values { return &Values{byPath: map[string]string{}} }

// ParseLines parses text with one setting per line, written as PATH=VALUE. It skips empty lines and
// accepts LF and CRLF line endings. If a path occurs more than once, the last value is used.
func ParseLines(text string) (*Values, error) {
	values := newValues()
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
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

// flatten adds decoded JSON under path, in the form that ParseLines reads. The path of a nested
// value is its keys and list indexes joined by dots. The elements of a list that are not objects
// are joined by commas under the path of the list. The length of the list is added under the key
// "count".
func (v *Values) flatten(path string, nested any) {
	childPath := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch value := nested.(type) {
	case map[string]any:
		for key, inner := range value {
			v.flatten(childPath(key), inner)
		}
	case []any:
		var elements []string
		for i, inner := range value {
			if _, isObject := inner.(map[string]any); isObject {
				v.flatten(childPath(strconv.Itoa(i)), inner)
			} else {
				elements = append(elements, fmt.Sprint(inner))
			}
		}
		v.byPath[childPath("count")] = strconv.Itoa(len(value))
		v.byPath[path] = strings.Join(elements, ",")
	case float64:
		v.byPath[path] = strconv.FormatFloat(value, 'g', -1, floatBits)
	case nil: // null is equivalent to an absent key
	default:
		v.byPath[path] = fmt.Sprint(value)
	}
}

// Err returns the first error that a getter or a check found, a *SettingError, or nil.
func (v *Values) Err() error { return v.err }

// fail records an error unless one is recorded already.
func (v *Values) fail(path, problem string) {
	if v.err == nil {
		v.err = &SettingError{Path: path, Problem: problem}
	}
}

// Require checks that each path has a value, which may be empty.
func (v *Values) Require(paths ...string) {
	for _, path := range paths {
		if _, ok := v.byPath[path]; !ok {
			v.fail(path, "is missing")
		}
	}
}

// RequireRange checks that the number at path is in the closed interval from minimum to maximum. It
// accepts a path that has no value.
func (v *Values) RequireRange(path string, minimum, maximum float64) {
	if number := v.Number(path); v.Text(path) != "" && (number < minimum || number > maximum) {
		v.fail(path, fmt.Sprintf("must be from %g to %g, not %g", minimum, maximum, number))
	}
}

// requireUnique checks that the first n entries of the list at path have different names. Several
// entries may have an empty name.
func (v *Values) requireUnique(path string, n int, name func(int) string) {
	for i := range n {
		for k := range i {
			if name(i) != "" && name(i) == name(k) {
				v.fail(
					fmt.Sprintf("%s.%d.Name", path, i),
					fmt.Sprintf("must be another than that of %s.%d: %q", path, k, name(i)),
				)
			}
		}
	}
}

// Text returns the value at path as text, or "" if there is none.
func (v *Values) Text(path string) string { return v.byPath[path] }

// Number returns the number at path, or 0 if there is none.
func (v *Values) Number(path string) float64 {
	text, ok := v.byPath[path]
	if !ok || text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, floatBits)
	if err != nil || number != number { // only NaN differs from itself
		v.fail(path, fmt.Sprintf("is not a number: %q", text))
		return 0
	}
	return number
}

// Int returns the number at path truncated to an integer, or 0 if there is none.
func (v *Values) Int(path string) int { return int(v.Number(path)) }

// Duration returns the number of milliseconds at path as a duration, or 0 if there is none.
func (v *Values) Duration(path string) time.Duration { return Milliseconds(v.Number(path)) }

// Bool returns the boolean at path, or false if there is none.
func (v *Values) Bool(path string) bool {
	switch text := v.byPath[path]; text {
	case "true":
		return true
	case "false", "":
		return false
	default:
		v.fail(path, fmt.Sprintf("is neither true nor false: %q", text))
		return false
	}
}

// Enum returns the index in words of the value at path. A value that is not among them is an error,
// and so is a missing one.
func (v *Values) Enum(path string, words ...string) int {
	text := v.byPath[path]
	for i, word := range words {
		if text == word {
			return i
		}
	}
	v.fail(path, fmt.Sprintf("is none of %s: %q", strings.Join(words, ", "), text))
	return 0
}

// List returns the comma-separated values at path, or nil if there are none.
func (v *Values) List(path string) []string {
	if v.byPath[path] == "" {
		return nil
	}
	return strings.Split(v.byPath[path], ",")
}
