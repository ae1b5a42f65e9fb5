package listener

import (
	"testing"

	"go.uber.org/goleak"
)

// A test that leaves a goroutine behind fails the package. Carriers that are free are left out: they stay, by design, for
// as long as the process does (startWork). One with a task in hand still counts.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("harrierhoist/internal/listener.(*Listener).startWork.func1"))
}
