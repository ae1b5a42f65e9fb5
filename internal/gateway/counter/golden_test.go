package counter

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// The text of each call is compared byte for byte, without its line end.
func TestGolden_callsAreWrittenAsBefore(t *testing.T) {
	for _, row := range []struct {
		name     uint64
		units    float64
		lifetime time.Duration
		want     string
	}{
		{7, 2.5, 4 * time.Second, "incr 7 2.5 4000"},
		{0, -0.1, 0, "incr 0 -0.1 1"},
		{1, 0, -time.Second, "incr 1 0 1"},
		{18446744073709551615, 1e21, 1999 * time.Microsecond, "incr 18446744073709551615 1000000000000000000000 1"},
		{9223372036854775808, 1e-7, 36 * time.Hour, "incr 9223372036854775808 0.0000001 129600000"},
		{8, 0.30000000000000004, 2 * time.Millisecond, "incr 8 0.30000000000000004 2"},
	} {
		t.Run(row.want, func(t *testing.T) {
			server := fakes.NewCounter(t)
			counter := New(server.Addr, time.Second, zap.NewNop())
			defer counter.Close()
			ended := make(chan struct{})
			counter.Add(row.name, row.units, row.lifetime, func(float64, policy.Outcome) { close(ended) })
			if got := server.NextCall(t); got != row.want {
				t.Errorf("called %q", got)
			}
			<-ended
		})
	}
}

// Each answer is compared by its total and the number of its outcome.
func TestGolden_answersAreReadAsBefore(t *testing.T) {
	const malformed = "malformed"
	for line, want := range map[string]string{
		"ok 4.5\r\n": "4.5 0", "ok -3\r\n": "-3 0", "ok 1e9\r\n": "1e+09 0", "ok 0x1p4\r\n": "16 0", "ok +7\r\n": "7 0",
		"ok 1_0\r\n": "10 0", "ok nan\r\n": malformed, "ok inf\r\n": malformed, "ok 1e999\r\n": malformed,
		"ok\r\n": malformed, "ok \r\n": malformed, "ok  1\r\n": malformed, "busy\r\n": "0 2", "error\r\n": "0 2",
		"busybusy\r\n": malformed, "pong\r\n": malformed, "\r\n": malformed, "ok 7\n": malformed, "OK 7\r\n": malformed,
		"busy": malformed, "ok 7": malformed,
	} {
		total, outcome, valid := parseAnswer(line)
		got := fmt.Sprint(total, " ", uint8(outcome))
		if !valid {
			got = malformed
		}
		if got != want {
			t.Errorf("%q: %q", line, got)
		}
	}
}
