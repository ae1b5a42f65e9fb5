package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// The keys of an entry, each once, in this order.
const (
	keyTest    = "test"    // package path and name of the test
	keyCommand = "command" // what shows the failure, with its seed
	keySeen    = "seen"    // what was seen
	keyIssue   = "issue"   // the number of the open issue
)

// valuePatterns say what the value of each key looks like.
var valuePatterns = map[string]*regexp.Regexp{
	keyTest:    regexp.MustCompile(`^(\S+) (Test\w+)$`),
	keyCommand: regexp.MustCompile(`^\S.*\bseed\b`),
	keySeen:    regexp.MustCompile(`^\S`),
	keyIssue:   regexp.MustCompile(`^[0-9]+$`),
}

// entryForm is what a refusal says is wanted.
const entryForm = "an entry has the lines \"test: PACKAGE TestName\", " +
	"\"command: ... seed N\" (seed none, where it has none), " +
	"\"seen: ...\" and \"issue: N\"; an empty line parts entries"

// knownFailure is a test that may fail.
type knownFailure struct{ importPath, test, seen, issue string }

// errorf returns an error that names the list and the test.
func (f knownFailure) errorf(format string, args ...any) error {
	return fmt.Errorf("%s: %s %s: %w", listFile, f.importPath, f.test, fmt.Errorf(format, args...))
}

// summary is the line that CI prints for a failure that it passes over.
func (f knownFailure) summary() string {
	return fmt.Sprintf("%s %s: %s (issue %s)", f.importPath, f.test, f.seen, f.issue)
}

// isSameTest reports whether two entries name one test.
func (f knownFailure) isSameTest(other knownFailure) bool {
	return f.importPath == other.importPath && f.test == other.test
}

// parseList reads the list. It refuses an entry that lacks a key, has one twice or has a value of
// another form, and a test that is named twice.
func parseList(text string) ([]knownFailure, error) {
	var known []knownFailure
	for _, entry := range strings.Split(strings.TrimSuffix(text, "\n"), "\n\n") {
		failure, err := parseEntry(entry)
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(known, failure.isSameTest) {
			return nil, failure.errorf("named twice")
		}
		known = append(known, failure)
	}
	return known, nil
}

// parseEntry reads one entry.
func parseEntry(entry string) (knownFailure, error) {
	keys := []string{keyTest, keyCommand, keySeen, keyIssue}
	lines := strings.Split(entry, "\n")
	if len(lines) != len(keys) {
		return knownFailure{}, fmt.Errorf("%s: %q: %s is wanted", listFile, entry, entryForm)
	}
	values := map[string]string{}
	for i, key := range keys {
		value, hasKey := strings.CutPrefix(lines[i], key+": ")
		if !hasKey || !valuePatterns[key].MatchString(value) {
			return knownFailure{}, fmt.Errorf("%s: %q: %s is wanted", listFile, lines[i], entryForm)
		}
		values[key] = value
	}
	importPath, test, _ := strings.Cut(values[keyTest], " ")
	return knownFailure{importPath, test, values[keySeen], values[keyIssue]}, nil
}
