package upstream

import (
	"testing"

	"go.uber.org/goleak"
)

// A test that leaves a goroutine behind fails the package.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
