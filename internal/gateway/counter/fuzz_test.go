package counter

import (
	"math"
	"strings"
	"testing"

	"harrierhoist/policy"
)

// FuzzAnswer parses arbitrary lines. Parsing must not panic, a total must be finite, and only the
// answers of the protocol may be valid.
func FuzzAnswer(f *testing.F) {
	for _, line := range []string{
		"ok 4.5", "ok -3", "ok 1e9", "ok 0x1p4", "ok nan", "ok inf", "ok 1e999", "ok", "ok ", "ok  1", "busy", "error",
		"busybusy", "pong", "", "ok 7\r\nok 8", "ok 7\n", "OK 7", "ok 1_0",
	} {
		f.Add(line + "\r\n")
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		total, outcome, valid := parseAnswer(line)
		if !valid {
			return
		}
		text, hasLineEnd := strings.CutSuffix(line, "\r\n")
		if !hasLineEnd || strings.ContainsAny(text, "\r\n") || math.IsNaN(total) || math.IsInf(total, 0) {
			t.Fatalf("%q was read as %v", line, total)
		}
		isTotal := outcome == policy.Answered
		isRejection := outcome == policy.Rejected
		if !isTotal && !isRejection {
			t.Fatalf("%q was read as %v", line, outcome)
		}
		if isTotal && !strings.HasPrefix(text, "ok ") {
			t.Fatalf("%q was read as a total", line)
		}
		isRejectionText := text == "busy" || text == "error"
		if isRejection && (!isRejectionText || total != 0) {
			t.Fatalf("%q was read as %v with %v", line, outcome, total)
		}
	})
}
