package listener

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package if a test leaks a goroutine. Idle workers are exempt, as they stay
// until the process ends. A worker that is executing a request counts as leaked.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("harrierhoist/internal/gateway/listener.(*workerPool).work"))
}
