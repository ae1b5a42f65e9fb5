// Command verdict is go test where KNOWN-RED.txt names tests that may fail: it plays all others, then just these, each
// alone, and fails if one of them passes or is not there. .ci/run calls it with go test's own arguments.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile = "KNOWN-RED.txt"
	maxLines = 3 // lines: more is no longer a list of exceptions
)

// A line names package, test, cause and issue.
var linePattern = regexp.MustCompile(`^(\S+) (Test\w+): \S.* \(issue [0-9]+\)$`)

// knownFailure is a test that may fail.
type knownFailure struct{ importPath, test, line string }

// parseList reads the file's lines.
func parseList(text string) (known []knownFailure, err error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxLines {
		return nil, fmt.Errorf("%s: %d lines, and at most %d are allowed", listFile, len(lines), maxLines)
	}
	for _, text := range lines {
		found := linePattern.FindStringSubmatch(text)
		if found == nil {
			return nil, fmt.Errorf("%s: %q: package TestName: cause (issue N) is wanted", listFile, text)
		}
		failure := knownFailure{found[1], found[2], text}
		if slices.ContainsFunc(known, func(other knownFailure) bool {
			return other.importPath == failure.importPath && other.test == failure.test
		}) {
			return nil, fmt.Errorf("%s: %q: named twice", listFile, text)
		}
		known = append(known, failure)
	}
	return known, nil
}

// goTool runs a command of go and gives back what it printed.
type goTool func(args ...string) (printed string, err error)

// runTests plays the packages at the end of the arguments, by go test's flags before them, but for the tests named; of
// these it wants that they fail. Those of packages that are not played are left to the call that plays them, and under
// -race they are only left out: what fails there alone is a race, and no known one.
func runTests(text string, args []string, tool goTool, out io.Writer) error {
	known, err := parseList(text)
	if err != nil {
		return err
	}
	for _, failure := range known {
		if _, err := tool("list", failure.importPath); err != nil {
			return fmt.Errorf("%s: %s: there is no such package: %w", listFile, failure.line, err)
		}
	}
	first := slices.IndexFunc(args, func(arg string) bool { return !strings.HasPrefix(arg, "-") })
	if first < 0 {
		return errors.New("no package is named")
	}
	flags, paths := args[:first], args[first:]
	known = slices.DeleteFunc(known, func(failure knownFailure) bool { return !slices.Contains(paths, failure.importPath) })
	var faults []error
	run := func(more ...string) {
		if _, err := tool(slices.Concat([]string{"test"}, flags, more)...); err != nil {
			faults = append(faults, err)
		}
	}
	var unlisted []string
	for _, path := range paths {
		var names []string
		for _, failure := range known {
			if failure.importPath == path {
				names = append(names, failure.test)
			}
		}
		if names == nil {
			unlisted = append(unlisted, path)
		} else {
			run("-skip=^("+strings.Join(names, "|")+")$", path)
		}
	}
	if len(unlisted) > 0 {
		run(unlisted...)
	}
	if slices.Contains(flags, "-race") {
		return errors.Join(faults...)
	}
	for _, failure := range known {
		printed, err := tool(slices.Concat([]string{"test"}, flags, []string{"-run=^" + failure.test + "$", failure.importPath})...)
		switch {
		case err == nil && strings.Contains(printed, "no tests to run"):
			faults = append(faults, fmt.Errorf("%s: %s: there is no such test", listFile, failure.line))
		case err == nil:
			faults = append(faults, fmt.Errorf("%s: %s: it passes; take the line out", listFile, failure.line))
		case !strings.Contains(printed, "--- FAIL: "+failure.test+" ("): // did not build, ran out of time
			faults = append(faults, fmt.Errorf("%s: %s: %w, and not by this test", listFile, failure.line, err))
		default:
			fmt.Fprintln(out, "known red:", failure.line)
		}
	}
	return errors.Join(faults...)
}

func main() {
	text, err := os.ReadFile(listFile)
	if err == nil {
		err = runTests(string(text), os.Args[1:], func(args ...string) (string, error) {
			var printed strings.Builder
			cmd := exec.Command("go", args...)
			cmd.Stdout, cmd.Stderr = io.MultiWriter(os.Stdout, &printed), os.Stderr
			err := cmd.Run()
			return printed.String(), err
		}, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
