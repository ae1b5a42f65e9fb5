package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// Guards against a process that ends with a nil pointer: counting rules call the counter also where
// the settings have none. Such a call fails, with nothing added, after Count has returned.
func TestCount_withoutACounterFails(t *testing.T) {
	t.Parallel()
	gateway := &instance{configuration: &config.Gateway{}, upstreams: upstream.New(time.Second, time.Second, nil, 1)}
	count := gateway.dependencies().Count
	outcomes := make(chan policy.Outcome, 1)
	var hasReturned atomic.Bool
	release := make(chan bool)
	count(7, 1, time.Second, func(_ float64, outcome policy.Outcome) {
		<-release
		if !hasReturned.Load() {
			t.Error("replied before Count returned")
		}
		outcomes <- outcome
	})
	hasReturned.Store(true)
	close(release)
	if outcome := <-outcomes; outcome != policy.ConnectFailed {
		t.Errorf("outcome %v, want ConnectFailed", outcome)
	}
}
