package conformance

import (
	"slices"
	"strconv"
	"testing"
)

// target is what a case runs against.
type target interface {
	execute(todo action)
	// awaitEvents waits until the recorded events are enough, or no more are to be expected, and
	// returns the log.
	awaitEvents(enough func(events [][]string) bool) *eventLog
}

// Run runs a case against the module and against a process, each as subtest, where the case and the
// variant say so.
func Run(t *testing.T, suite *Suite, testCase Case, variant Variant) {
	t.Helper()
	if !testCase.runsWith(variant) {
		return
	}
	if testCase.runsAgainst(againstModule) && variant.Module != nil {
		t.Run(againstModule, func(t *testing.T) { RunModule(t, suite, testCase, variant) })
	}
	if testCase.runsAgainst(againstProcess) && variant.Process != nil {
		t.Run(againstProcess, func(t *testing.T) { RunProcess(t, suite, testCase, variant) })
	}
}

// RunModule runs a case against the module.
func RunModule(tb testing.TB, suite *Suite, testCase Case, variant Variant) {
	tb.Helper()
	run(tb, suite, testCase, variant, func(plan Plan) target { return newModuleTarget(tb, testCase, plan, variant) })
}

// RunProcess runs a case against a process of the program.
func RunProcess(tb testing.TB, suite *Suite, testCase Case, variant Variant) {
	tb.Helper()
	run(tb, suite, testCase, variant, func(plan Plan) target { return newProcessTarget(tb, testCase, plan, variant) })
}

func run(tb testing.TB, suite *Suite, testCase Case, variant Variant, newTarget func(Plan) target) {
	tb.Helper()
	plan, err := suite.findPlan(testCase.Plan)
	if err != nil {
		tb.Fatal(err)
	}
	subject := newTarget(plan)
	executeAll(tb, subject, testCase.Given...)
	before := len(subject.awaitEvents(func([][]string) bool { return true }).since(0))
	executeAll(tb, subject, testCase.Events...)
	events := subject.awaitEvents(func(events [][]string) bool { // the case passes, or can no longer pass
		return len(missingEvents(events[before:], testCase)) == 0 ||
			len(forbiddenEvents(events[before:], testCase.Forbidden)) > 0
	}).since(before)
	for _, problem := range violations(events, testCase, slices.Concat(suite.Forbidden, variant.Forbidden)) {
		tb.Errorf("%s: %s\nseen: %s", testCase.Text, problem, formatEvents(events))
	}
}

// executeAll parses actions and executes them in order.
func executeAll(tb testing.TB, subject target, texts ...string) {
	tb.Helper()
	for _, text := range texts {
		todo, err := parseAction(text)
		if err != nil {
			tb.Fatal(err)
		}
		subject.execute(todo)
	}
}

func decimal(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
