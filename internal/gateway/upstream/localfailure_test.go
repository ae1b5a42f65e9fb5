package upstream

import (
	"syscall"
	"testing"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// A socket that this machine cannot open for a moment says nothing of the server, which would be
// ejected for it; what the network says of the server does. Nothing was sent in either case, and
// the slot is free again.
func TestAttempt_localDialFailureSaysNothingOfTheServer(t *testing.T) {
	for failure, want := range map[syscall.Errno]policy.Outcome{
		syscall.EMFILE: policy.NotSent, syscall.ENFILE: policy.NotSent, syscall.ENOBUFS: policy.NotSent,
		syscall.ENOMEM: policy.NotSent, syscall.EADDRNOTAVAIL: policy.NotSent, syscall.ENETUNREACH: policy.NotSent,
		syscall.ECONNREFUSED: policy.ConnectFailed, syscall.EHOSTUNREACH: policy.ConnectFailed,
		syscall.ETIMEDOUT: policy.ConnectFailed, syscall.ECONNRESET: policy.ConnectFailed,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			server := fakes.NewServer(t, func([]string) string { return fakes.FormatValue("hello", 1) })
			pool := newTestPool(1)
			pool.connections.controlSocket = func(string, string, syscall.RawConn) error { return failure }
			attemptOnce(t, pool, server, want)
			attemptOnce(t, pool, server, want) // twice: the first has given its slot back
			pool.connections.controlSocket = nil
			attemptOnce(t, pool, server, policy.Answered)
		})
	}
}

// A health check that cannot be begun for such a cause is none of the server's failures either.
func TestCheckHealth_localDialFailureSaysNothingOfTheServer(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return "+PONG\r\n" })
	pool := newTestPool(1)
	pool.connections.controlSocket = func(string, string, syscall.RawConn) error { return syscall.ENFILE }
	pool.CheckHealth(dispatch.Server{Address: server.Addr}, func(result dispatch.Result) {
		if result.Outcome != policy.NotSent {
			t.Errorf("outcome %v", result.Outcome)
		}
	})
}
