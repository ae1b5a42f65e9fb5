// Command knownred runs go test where KNOWN-RED.txt lists tests that may fail: all other tests of
// the packages, then each listed test alone. It fails if one of those is not there, or passes
// although its entry does not say that it fails only now and then (intermittent).
// .ci/run calls it with the arguments of go test.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

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
	command.Stdout = io.MultiWriter(os.Stdout, &printed)
	command.Stderr = os.Stderr
	err := command.Run()
	return printed.String(), err
}

// goTool runs a command of go, and returns what it printed.
type goTool func(args ...string) (printed string, err error)

// runTests runs the packages at the end of the arguments, with the flags of go test before them,
// and without the tests that are listed; those it wants to fail, but lets intermittent ones pass.
// Listed tests of other packages are left to the call that runs these. With -race listed tests are
// left out and no more: what fails only there is a race, and not a known failure.
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
	flags := args[:first]
	paths := args[first:]
	known = slices.DeleteFunc(known, func(f knownFailure) bool { return !slices.Contains(paths, f.importPath) })
	faults := runUnlisted(known, flags, paths, tool)
	if slices.Contains(flags, "-race") {
		return errors.Join(faults...)
	}
	for _, failure := range known {
		if summary, err := failure.run(flags, tool); err != nil {
			faults = append(faults, err)
		} else if _, err := fmt.Fprintln(out, summary); err != nil {
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

// run runs the listed test alone, and returns the line that CI prints for its result. Its error
// says in what way the result is not one that the entry allows.
func (f knownFailure) run(flags []string, tool goTool) (summary string, err error) {
	printed, err := tool(f.arguments(flags)...)
	switch {
	case err == nil && strings.Contains(printed, "no tests to run"):
		return "", f.errorf("there is no such test")
	case err == nil && f.isIntermittent():
		return f.passed(printed)
	case err == nil:
		return "", f.errorf("it passes; take the line out")
	case !strings.Contains(printed, "--- FAIL: "+f.test+" ("): // it did not build, or timed out
		return "", f.errorf("%w, and not by this test", err)
	case f.isIntermittent() && strings.Contains(printed, "\npanic: "):
		return "", f.errorf("%w: it panics, and an intermittent test may only fail", err)
	}
	return f.failedSummary(), nil
}

// arguments are those of the command of go that runs the listed test alone. For an intermittent
// test it is to print more (-v), so that a pass can be told from a test that was skipped.
func (f knownFailure) arguments(flags []string) []string {
	args := slices.Concat([]string{"test"}, flags)
	if f.isIntermittent() {
		args = append(args, "-v")
	}
	return append(args, "-run=^"+f.test+"$", f.importPath)
}

// passed returns the line for an intermittent test that passed. Its error says that the test was
// skipped.
func (f knownFailure) passed(printed string) (summary string, err error) {
	if !strings.Contains(printed, "--- PASS: "+f.test+" (") {
		return "", f.errorf("it is skipped, and neither fails nor passes")
	}
	return f.passedSummary(), nil
}
