// Command knownred runs go test where KNOWN-RED.txt lists tests that may fail. It runs all other tests of the packages,
// then each listed test alone, and fails if one of those passes or is not there. .ci/run calls it with the arguments of
// go test.
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
	maxLines = 3 // of the list: longer, it would be no list of exceptions
)

// linePattern has package, test, cause and issue.
var linePattern = regexp.MustCompile(`^(\S+) (Test\w+): \S.* \(issue [0-9]+\)$`)

// knownFailure is a test that may fail.
type knownFailure struct{ importPath, test, line string }

// errorf returns an error that names the list and the line.
func (f knownFailure) errorf(format string, args ...any) error {
	return fmt.Errorf("%s: %s: %w", listFile, f.line, fmt.Errorf(format, args...))
}

// parseList reads the list.
func parseList(text string) (known []knownFailure, err error) {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) > maxLines {
		return nil, fmt.Errorf("%s: %d lines, and at most %d are allowed", listFile, len(lines), maxLines)
	}
	for _, line := range lines {
		fields := linePattern.FindStringSubmatch(line)
		if fields == nil {
			return nil, fmt.Errorf("%s: %q: package TestName: cause (issue N) is wanted", listFile, line)
		}
		failure := knownFailure{fields[1], fields[2], line}
		if slices.ContainsFunc(known, func(other knownFailure) bool {
			return other.importPath == failure.importPath && other.test == failure.test
		}) {
			return nil, fmt.Errorf("%s: %q: named twice", listFile, line)
		}
		known = append(known, failure)
	}
	return known, nil
}

// goTool runs a command of go, and returns what it printed.
type goTool func(args ...string) (printed string, err error)

// runTests runs the packages at the end of the arguments, with the flags of go test before them, and without the tests
// that are listed; those it wants to fail. Listed tests of other packages are left to the call that runs these. With
// -race listed tests are left out and no more: what fails only there is a race, and not a known failure.
func runTests(list string, args []string, tool goTool, out io.Writer) error {
	known, err := parseList(list)
	if err != nil {
		return err
	}
	for _, failure := range known {
		if _, err := tool("list", failure.importPath); err != nil {
			return failure.errorf("there is no such package: %w", err)
		}
	}
	first := slices.IndexFunc(args, func(arg string) bool { return !strings.HasPrefix(arg, "-") })
	if first < 0 {
		return errors.New("no package is named")
	}
	flags, paths := args[:first], args[first:]
	known = slices.DeleteFunc(known, func(f knownFailure) bool { return !slices.Contains(paths, f.importPath) })
	faults := runUnlisted(known, flags, paths, tool)
	if slices.Contains(flags, "-race") {
		return errors.Join(faults...)
	}
	for _, failure := range known {
		if err := failure.run(flags, tool); err != nil {
			faults = append(faults, err)
		} else if _, err := fmt.Fprintln(out, "known red:", failure.line); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

// runUnlisted runs all tests of the packages but those that are listed.
func runUnlisted(known []knownFailure, flags, paths []string, tool goTool) (faults []error) {
	run := func(args ...string) {
		if _, err := tool(slices.Concat([]string{"test"}, flags, args)...); err != nil {
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
	return faults
}

// run runs the listed test alone. Its error says in what way the test did not fail as the list has it.
func (f knownFailure) run(flags []string, tool goTool) error {
	printed, err := tool(slices.Concat([]string{"test"}, flags, []string{"-run=^" + f.test + "$", f.importPath})...)
	switch {
	case err == nil && strings.Contains(printed, "no tests to run"):
		return f.errorf("there is no such test")
	case err == nil:
		return f.errorf("it passes; take the line out")
	case !strings.Contains(printed, "--- FAIL: "+f.test+" ("): // did not build, ran out of time
		return f.errorf("%w, and not by this test", err)
	}
	return nil
}

func main() {
	list, err := os.ReadFile(listFile)
	if err == nil {
		err = runTests(string(list), os.Args[1:], runGo, os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runGo runs a command of go, and prints what it prints.
func runGo(args ...string) (string, error) {
	var printed strings.Builder
	command := exec.Command("go", args...)
	command.Stdout, command.Stderr = io.MultiWriter(os.Stdout, &printed), os.Stderr
	err := command.Run()
	return printed.String(), err
}
