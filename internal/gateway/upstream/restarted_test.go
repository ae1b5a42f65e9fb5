package upstream

import (
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Guards against connections to a process that has gone, which a new one at its address would get.
func TestPool_newProcessGetsNoConnectionOfAnEarlierOne(t *testing.T) {
	t.Parallel()
	server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
	pool := newTestPool(10)
	for _, startedAt := range []time.Duration{0, time.Hour, time.Hour, 2 * time.Hour} {
		decision := decisionWithin(server.Addr, time.Minute)
		decision.Server.Endpoint.StartedAt = startedAt
		if got := <-pool.attemptAsync(decision); got != policy.Answered {
			t.Fatalf("outcome %v", got)
		}
		time.Sleep(2 * minIdleBeforeReuse)
	}
	if n := server.ConnCount(); n != 3 {
		t.Errorf("%d connections, want one for each process", n)
	}
}
