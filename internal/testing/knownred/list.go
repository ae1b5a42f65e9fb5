package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// The keys of an entry, each once, in this order; the last one only where the test fails now and
// then.
const (
	keyTest         = "test"         // package path and name of the test
	keyCommand      = "command"      // what shows the failure, with its seed
	keySeen         = "seen"         // what was seen
	keyIssue        = "issue"        // the number of the open issue
	keyIntermittent = "intermittent" // when the test fails
)

// valuePatterns say what the value of each key looks like.
var valuePatterns = map[string]*regexp.Regexp{
	keyTest:         regexp.MustCompile(`^(\S+) (Test\w+)$`),
	keyCommand:      regexp.MustCompile(`^\S.*\bseed\b`),
	keySeen:         regexp.MustCompile(`^\S`),
	keyIssue:        regexp.MustCompile(`^[0-9]+$`),
	keyIntermittent: regexp.MustCompile(`^\S`),
}

// entryForm is what a refusal says is wanted.
const entryForm = "an entry has the lines \"test: PACKAGE TestName\", " +
	"\"command: ... seed N\" (seed none, where it has none), " +
	"\"seen: ...\" and \"issue: N\", and where the test fails only now and then " +
	"\"intermittent: ...\" (when it fails) after these; an empty line parts entries"

// knownFailure is a test that may fail. Where intermittent says when it fails, it may also pass.
type knownFailure struct{ importPath, test, seen, issue, intermittent string }

// isIntermittent reports whether the test may also pass.
func (f knownFailure) isIntermittent() bool { return f.intermittent != "" }

// errorf returns an error that names the list and the test.
func (f knownFailure) errorf(format string, args ...any) error {
	return fmt.Errorf("%s: %s %s: %w", listFile, f.importPath, f.test, fmt.Errorf(format, args...))
}

// failedSummary is the line that CI prints for a failure that it passes over.
func (f knownFailure) failedSummary() string {
	return fmt.Sprintf("known red: %s %s: %s (issue %s)", f.importPath, f.test, f.seen, f.issue)
}

// passedSummary is the line that CI prints where an intermittent test passed.
func (f knownFailure) passedSummary() string {
	return fmt.Sprintf("known red, intermittent: %s %s passed this time: %s (issue %s)",
		f.importPath, f.test, f.seen, f.issue)
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

// parseEntry reads one entry, of four lines or of five.
func parseEntry(entry string) (knownFailure, error) {
	keys := []string{keyTest, keyCommand, keySeen, keyIssue}
	lines := strings.Split(entry, "\n")
	if len(lines) == len(keys)+1 {
		keys = append(keys, keyIntermittent)
	}
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
	return knownFailure{importPath, test, values[keySeen], values[keyIssue], values[keyIntermittent]}, nil
}
