package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// intermittentOf is a complete entry of a test that fails now and then.
func intermittentOf(test string) string {
	return entryOf(test) + "intermittent: beside busy processes\n"
}

// The lines that are printed for a test of testModule, before and after its name.
const (
	failedBefore = "known red: "
	failedAfter  = ": it is so (issue 7)\n"
	passedBefore = "known red, intermittent: "
	passedAfter  = " passed this time: it is so (issue 7)\n"
)

// intermittentCases are lists and arguments; in wantError what the error has (empty: there is
// none), in wantPrinted all that is printed.
var intermittentCases = map[string]struct{ list, args, wantError, wantPrinted string }{
	"it fails":  {intermittentOf("m/one TestRed"), "m/one", "", failedBefore + "m/one TestRed" + failedAfter},
	"it passes": {intermittentOf("m/good TestGood"), "m/good", "", passedBefore + "m/good TestGood" + passedAfter},
	"one fails, one passes": {
		intermittentOf("m/one TestRed") + "\n" + intermittentOf("m/one TestGood"), "m/one", "",
		failedBefore + "m/one TestRed" + failedAfter + passedBefore + "m/one TestGood" + passedAfter,
	},
	"one fails, another entry's too": {
		intermittentOf("m/two TestRed") + "\n" + entryOf("m/two TestRedToo"), "m/two", "",
		failedBefore + "m/two TestRed" + failedAfter + failedBefore + "m/two TestRedToo" + failedAfter,
	},
	"one passes, another entry's too": {
		intermittentOf("m/good TestGood") + "\n" + entryOf("m/one TestGood"), "m/good m/one",
		"m/one TestGood: it passes", passedBefore + "m/good TestGood" + passedAfter,
	},
	"an entry without the line passes": {entryOf("m/good TestGood"), "m/good", "it passes; take the line out", ""},
	"an unlisted one fails": {
		intermittentOf("m/two TestRed"), "m/two", "exit status 1", failedBefore + "m/two TestRed" + failedAfter,
	},
	"of another package":         {intermittentOf("m/one TestRed"), "m/good", "", ""},
	"under -race it is left out": {intermittentOf("m/one TestRed"), "-race m/one", "", ""},
	"it is not there":            {intermittentOf("m/good TestNone"), "m/good", "no such test", ""},
	"its package is not there":   {intermittentOf("m/nowhere TestRed"), "m/one", "no such package", ""},
	"its package does not build": {intermittentOf("m/none TestNone"), "m/none", "not by this test", ""},
	"it hangs":                   {intermittentOf("m/long TestLong"), "m/long", "not by this test", ""},
	"it panics":                  {intermittentOf("m/boom TestBoom"), "m/boom", "it panics", ""},
	"it is skipped":              {intermittentOf("m/good TestSkipped"), "m/good", "it is skipped", ""},
	"it passes in a leaking one": {intermittentOf("m/leak TestGood"), "m/leak", "not by this test", ""},
	"named twice": {
		intermittentOf("m/one TestRed") + "\n" + entryOf("m/one TestRed"), "m/one", "named twice", "",
	},
	"not said when":                 {entryOf("m/one TestRed") + "intermittent: \n", "m/one", "is wanted", ""},
	"only a key":                    {entryOf("m/one TestRed") + "intermittent\n", "m/one", "is wanted", ""},
	"said twice":                    {intermittentOf("m/one TestRed") + "intermittent: x\n", "m/one", "is wanted", ""},
	"before the other lines":        {"intermittent: x\n" + entryOf("m/one TestRed"), "m/one", "is wanted", ""},
	"in the place of the issue":     {withLine(keyIssue, "intermittent: x\n"), "m/one", "is wanted", ""},
	"an entry of its own":           {entryOf("m/one TestRed") + "\nintermittent: x\n", "m/one", "is wanted", ""},
	"of another form, and the line": {withLine(keySeen, "seen: \n") + "intermittent: x\n", "m/one", "is wanted", ""},
}

// An intermittent test may fail or pass, and is printed either way; nothing else is let through.
func TestRunTests_letsIntermittentTestsFailOrPass(t *testing.T) {
	runInModule := goIn(writeModule(t))
	for name, test := range intermittentCases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			args := append([]string{"-timeout=5s"}, strings.Fields(test.args)...)
			err := runTests(test.list, args, runInModule, &out)
			hasWantedError := err == nil
			if test.wantError != "" {
				hasWantedError = strings.Contains(fmt.Sprint(err), test.wantError)
			}
			if !hasWantedError {
				t.Errorf("error %v, want %q", err, test.wantError)
			}
			if out.String() != test.wantPrinted {
				t.Errorf("printed %q, want %q", out.String(), test.wantPrinted)
			}
		})
	}
}

// A refusal names the line that an entry of an intermittent test has.
func TestParseList_refusalNamesIntermittentLine(t *testing.T) {
	_, err := parseList(entryOf("m/one TestRed") + "note: x\n")
	if !strings.Contains(fmt.Sprint(err), `"intermittent: ..."`) {
		t.Errorf("error %v", err)
	}
}
