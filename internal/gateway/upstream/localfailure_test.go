package upstream

import (
	"syscall"
	"testing"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// A dial error caused by this machine, such as a lack of file descriptors, must not count against
// the server, which would otherwise be ejected. Errors caused by the server or the network do
// count. In either case nothing is sent and the slot in the pool is released.
func TestAttempt_localDialFailureIsNotSent(t *testing.T) {
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
			attemptOnce(t, pool, server, want) // the first attempt must have released the only slot
			pool.connections.controlSocket = nil
			attemptOnce(t, pool, server, policy.Answered)
		})
	}
}

// A health check that fails because of this machine must not count against the server either.
func TestCheckHealth_localDialFailureIsNotSent(t *testing.T) {
	server := fakes.NewServer(t, func([]string) string { return "+PONG\r\n" })
	pool := newTestPool(1)
	pool.connections.controlSocket = func(string, string, syscall.RawConn) error { return syscall.ENFILE }
	pool.CheckHealth(dispatch.Server{Address: server.Addr}, func(result dispatch.Result) {
		if result.Outcome != policy.NotSent {
			t.Errorf("outcome %v", result.Outcome)
		}
	})
}
