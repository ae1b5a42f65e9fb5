package listener

import (
	"testing"

	"go.uber.org/goleak"
)

// A test that leaves a goroutine behind fails the package. Idle workers are excepted: by design
// they stay for as long as the process does. A worker that executes a request still counts.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("harrierhoist/internal/gateway/listener.(*workerPool).work"))
}
