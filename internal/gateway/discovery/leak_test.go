package discovery

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines are still running after all tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
