package upstream

import (
	"testing"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// For any bytes that a server sends, parseReply must not panic. It may return only the outcomes of
// a reply, a value only with Answered, and numbers only within their range.
func FuzzParseReply(f *testing.F) {
	for _, text := range []string{
		fakes.FormatValue("hello", 3), "*3\r\n$5\r\nhello\r\n$-1\r\n$26\r\ninflight=7,queue=2,util=.61\r\n",
		"-BUSY\r\n", "-BUSY 20\r\n",
		"-BUSY used=37\r\n", "-ERR failed\r\n", "-ERR failed used=37,cost=4 inflight=7,util=0.61\r\n", "-ERR\r\n",
		"-ERR failed used=,=\r\n",
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n", "+OK\r\n", ":7\r\n",
		"-ERR failed used=nan,cost=-1 util=inf\r\n",
		"*1\r\n$0\r\n\r\n",
		"*3\r\n$1\r\nv\r\n$9\r\nused=0x1p\r\n$-1\r\n", "-ERR failed used=1_0,cost=+2\r\n", "-\r\n", "- \r\n",
		"-ERR failed cost=1e300 inflight=1e300\r\n", "-ERR failed used=1000000000,cost=1000000001\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := resp.NewConn(&fakes.ScriptedConn{Input: data})
		if conn.Await() != nil {
			return
		}
		reply, err := conn.ReadReply()
		if err != nil {
			return
		}
		hasValue := reply.Value != nil
		got, value, wellFormed := newTestPool(1).parseReply(reply)
		defer value.Free()
		switch got.Outcome {
		case policy.Answered:
			if !hasValue {
				t.Fatal("outcome Answered for a reply without a value")
			}
		case policy.Errored, policy.Rejected, policy.Reset:
		default:
			t.Fatalf("%q: outcome %v", data, got.Outcome)
		}
		if (value != nil) != (got.Outcome == policy.Answered) || wellFormed != (got.Outcome != policy.Reset) {
			t.Fatalf("%q: outcome %v with value %v, well-formed %v", data, got.Outcome, value != nil, wellFormed)
		}
		checkNumbers(t, data, got)
	})
}

// checkNumbers fails the test if a number of the result is out of range.
func checkNumbers(t *testing.T, data []byte, got dispatch.Result) {
	t.Helper()
	numbers := []float64{got.ActualUnits, got.Usage}
	for _, v := range got.LoadReport {
		numbers = append(numbers, float64(v))
	}
	if len(got.LoadReport) > 2 {
		t.Fatalf("%q: load report %v", data, got.LoadReport)
	}
	for _, v := range numbers {
		if !(v >= 0 && v <= maxAttributeNumber) { // Usage is 1 + a hundredth of the reported number
			t.Fatalf("%q: result %+v", data, got)
		}
	}
}
