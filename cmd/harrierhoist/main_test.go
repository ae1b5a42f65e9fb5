package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"go.uber.org/goleak"
)

// program is the path of the built program under test.
var program string

// TestMain builds the program, and fails if a test leaves a goroutine behind.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "harrierhoist")
	if err == nil {
		program = filepath.Join(folder, "harrierhoist")
		var output []byte
		if output, err = exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, output)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}
