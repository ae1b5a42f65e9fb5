// Package config reads the configuration of a gateway. The settings of the decision module come
// from the simulator as lines of text and from a configuration file as nested JSON; a file also has
// the addresses and limits of a process.
package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Values are settings by their path, such as "Rules.DrainGraceMs" or "RequestClasses.0.Name".
// Getters of a value that is malformed return zero, and the first such error stays in Err. Unknown
// paths are ignored.
type Values struct {
	byPath map[string]string
	err    error
}

// SettingError is a setting that is missing or has a value that is not allowed.
type SettingError struct {
	Path    string
	Problem string // what is wrong, with what is allowed; it follows the path in a sentence
}

// Error names the path first.
func (e *SettingError) Error() string { return "settings: " + e.Path + " " + e.Problem }

const floatBits = 64 // of the figures of settings

func newValues() *Values { return &Values{byPath: map[string]string{}} }

// ParseLines reads settings written one to a line as PATH=VALUE. Empty lines are skipped.
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

// flatten adds nested JSON in the form of lines: plain values by path, plain lists joined by
// commas, lists of objects by their count and their indexes.
func (v *Values) flatten(path string, nested any) {
	under := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch value := nested.(type) {
	case map[string]any:
		for key, inner := range value {
			v.flatten(under(key), inner)
		}
	case []any:
		var plain []string
		for i, inner := range value {
			if _, isObject := inner.(map[string]any); isObject {
				v.flatten(under(strconv.Itoa(i)), inner)
			} else {
				plain = append(plain, fmt.Sprint(inner))
			}
		}
		v.byPath[under("count")] = strconv.Itoa(len(value))
		v.byPath[path] = strings.Join(plain, ",")
	case float64:
		v.byPath[path] = strconv.FormatFloat(value, 'g', -1, floatBits)
	case nil: // as if the key were absent
	default:
		v.byPath[path] = fmt.Sprint(value)
	}
}

// Err returns the first error that a getter or a check found; it is a *SettingError.
func (v *Values) Err() error { return v.err }

func (v *Values) fail(path, problem string) {
	if v.err == nil {
		v.err = &SettingError{Path: path, Problem: problem}
	}
}

// Require checks that paths have a value.
func (v *Values) Require(paths ...string) {
	for _, path := range paths {
		if _, ok := v.byPath[path]; !ok {
			v.fail(path, "is missing")
		}
	}
}

// RequireRange checks that the number at a path, if there is one, lies from least to most, both
// included.
func (v *Values) RequireRange(path string, least, most float64) {
	if number := v.Number(path); v.Text(path) != "" && (number < least || number > most) {
		v.fail(path, fmt.Sprintf("must be from %g to %g, not %g", least, most, number))
	}
}

// requireUnique checks that no two of the first n entries under a path have one name; an empty name
// is none.
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

// Text returns the value at a path as it is written; empty where there is none.
func (v *Values) Text(path string) string { return v.byPath[path] }

// Number returns the number at a path; 0 where there is none.
func (v *Values) Number(path string) float64 {
	text, ok := v.byPath[path]
	if !ok || text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, floatBits)
	if err != nil || number != number { // NaN
		v.fail(path, fmt.Sprintf("is not a number: %q", text))
		return 0
	}
	return number
}

// Int returns the number at a path without its fraction; 0 where there is none.
func (v *Values) Int(path string) int { return int(v.Number(path)) }

// Span returns the duration that a path has in milliseconds; 0 where there is none.
func (v *Values) Span(path string) time.Duration { return Milliseconds(v.Number(path)) }

// Bool returns the truth value at a path; false where there is none.
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

// Enum returns the index of the value at a path among the allowed words.
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

// List returns the values at a path, which are separated by commas; none where it is empty.
func (v *Values) List(path string) []string {
	if v.byPath[path] == "" {
		return nil
	}
	return strings.Split(v.byPath[path], ",")
}
