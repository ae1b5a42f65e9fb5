package conformance

import (
	"slices"
	"strconv"
	"testing"
)

// target is what a row runs against.
type target interface {
	execute(s step)
	// awaitEvents waits until the recorded events are enough, or no more are to be expected, and returns the log.
	awaitEvents(enough func(events [][]string) bool) *eventLog
}

// Run runs a row against the module and against a process, each as subtest, where the row and the variant say so.
func Run(t *testing.T, suite *Suite, row Row, variant Variant) {
	if !row.runsWith(variant) {
		return
	}
	if row.runsAgainst(againstModule) && variant.Module != nil {
		t.Run(againstModule, func(t *testing.T) { RunModule(t, suite, row, variant) })
	}
	if row.runsAgainst(againstProcess) && variant.Process != nil {
		t.Run(againstProcess, func(t *testing.T) { RunProcess(t, suite, row, variant) })
	}
}

// RunModule runs a row against the module.
func RunModule(t testing.TB, suite *Suite, row Row, variant Variant) {
	t.Helper()
	run(t, suite, row, variant, func(plan Plan) target { return newModuleTarget(t, row, plan, variant) })
}

// RunProcess runs a row against a process of the program.
func RunProcess(t testing.TB, suite *Suite, row Row, variant Variant) {
	t.Helper()
	run(t, suite, row, variant, func(plan Plan) target { return newProcessTarget(t, row, plan, variant) })
}

func run(t testing.TB, suite *Suite, row Row, variant Variant, newTarget func(Plan) target) {
	t.Helper()
	plan, err := suite.findPlan(row.Plan)
	if err != nil {
		t.Fatal(err)
	}
	subject := newTarget(plan)
	executeAll(t, subject, row.Given...)
	before := len(subject.awaitEvents(func([][]string) bool { return true }).since(0))
	executeAll(t, subject, row.Events...)
	events := subject.awaitEvents(func(events [][]string) bool { // the row passes, or can no longer pass
		return len(missingEvents(events[before:], row)) == 0 || len(forbiddenEvents(events[before:], row.Forbidden)) > 0
	}).since(before)
	for _, problem := range violations(events, row, slices.Concat(suite.Forbidden, variant.Forbidden)) {
		t.Errorf("%s: %s\nseen: %s", row.Text, problem, formatEvents(events))
	}
}

// executeAll parses steps and executes them in order.
func executeAll(t testing.TB, subject target, texts ...string) {
	t.Helper()
	for _, text := range texts {
		s, err := parseStep(text)
		if err != nil {
			t.Fatal(err)
		}
		subject.execute(s)
	}
}

func decimal(id uint32) string { return strconv.FormatUint(uint64(id), 10) }
