package conformance

import (
	"fmt"
	"net"
	"os"
	"slices"
	"testing"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := Cleanup(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = max(code, 1)
	}
	os.Exit(code)
}

func loadSuite(t *testing.T) *Suite {
	t.Helper()
	suite, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	return suite
}

// TestCases runs each case with each variant: TestCases/VARIANT/CASE/module and
// TestCases/VARIANT/CASE/process.
func TestCases(t *testing.T) {
	suite := loadSuite(t)
	for _, variant := range Variants {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			for _, testCase := range suite.Cases {
				t.Run(testCase.ID, func(t *testing.T) {
					t.Parallel()
					Run(t, suite, testCase, variant)
				})
			}
		})
	}
}

// Under load a closed listener lived on in a program that was just starting, and a case's gateway
// found its address taken.
func TestStart_retriesAddressInUse(t *testing.T) {
	taken, err := net.Listen("tcp", listenAddress(portsUsed.Load()+1))
	if err == nil { // else another process listens there
		t.Cleanup(func() { _ = taken.Close() })
	}
	suite := loadSuite(t)
	i := slices.IndexFunc(suite.Cases, func(testCase Case) bool { return testCase.ID == "first-check" })
	before := portsUsed.Load()
	RunProcess(t, suite, suite.Cases[i], Plain)
	if n := portsUsed.Load() - before; n < 2 {
		t.Errorf("%d addresses used, want another after the one that is taken", n)
	}
}
