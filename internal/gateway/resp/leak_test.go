package resp

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package if goroutines are still running after its tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
