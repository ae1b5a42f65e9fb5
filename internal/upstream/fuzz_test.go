package upstream

import (
	"testing"

	"harrierhoist/internal/resp"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Whatever a server answers: no panic, only the outcomes of an answer, a value with Answered alone, and figures that
// can be reckoned with.
func FuzzParseReply(f *testing.F) {
	for _, text := range []string{
		fakes.FormatValue("hello", 3), "*3\r\n$5\r\nhello\r\n$-1\r\n$26\r\ninflight=7,queue=2,util=.61\r\n", "-BUSY\r\n", "-BUSY 20\r\n",
		"-BUSY used=37\r\n", "-ERR failed\r\n", "-ERR failed used=37,cost=4 inflight=7,util=0.61\r\n", "-ERR\r\n", "-ERR failed used=,=\r\n",
		"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "$5\r\nhello\r\n", "+OK\r\n", ":7\r\n", "-ERR failed used=nan,cost=-1 util=inf\r\n", "*1\r\n$0\r\n\r\n",
		"*3\r\n$1\r\nv\r\n$9\r\nused=0x1p\r\n$-1\r\n", "-ERR failed used=1_0,cost=+2\r\n", "-\r\n", "- \r\n",
		"-ERR failed cost=1e300 inflight=1e300\r\n", "-ERR failed used=1000000000,cost=1000000001\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := resp.NewConn(&fakes.ScriptedConn{Input: data})
		if c.Await() != nil {
			return
		}
		reply, err := c.ReadReply()
		if err != nil {
			return
		}
		held := reply.Value != nil
		got, value, good := newTestPool(1).parseReply(reply)
		defer value.Free()
		switch got.Outcome {
		case policy.Answered:
			if !held {
				t.Fatal("answered with no value")
			}
		case policy.Errored, policy.Rejected, policy.Reset:
		default:
			t.Fatalf("%q ended %v", data, got.Outcome)
		}
		if (value != nil) != (got.Outcome == policy.Answered) || good != (got.Outcome != policy.Reset) {
			t.Fatalf("%q ended %v with value %v, good %v", data, got.Outcome, value != nil, good)
		}
		figures := []float64{got.Billed, got.Use}
		for _, v := range got.LoadReport {
			figures = append(figures, float64(v))
		}
		if len(got.LoadReport) > 2 {
			t.Fatalf("%q reports %v", data, got.LoadReport)
		}
		for _, v := range figures {
			if !(v >= 0 && v <= maxFigure) { // Use is 1 and a hundredth
				t.Fatalf("%q tells %+v", data, got)
			}
		}
	})
}
