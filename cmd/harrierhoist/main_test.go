package main

import (
	"context"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"

	"harrierhoist/internal/testing/subprocess"
)

// program is the path of the built program under test.
var program string

// TestMain builds the program, and fails if a test leaves a goroutine behind.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "harrierhoist")
	if err == nil {
		program, err = subprocess.Build(context.Background(), folder)
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
