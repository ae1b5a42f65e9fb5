package conformance

import (
	"context"
	"errors"
	"os"
	"sync"

	"harrierhoist/internal/testing/subprocess"
)

// overlayVariable names the environment variable with the path of a file of replaced sources (go
// build -overlay): the program under test is then a deliberately broken one.
const overlayVariable = "CONFORMANCE_OVERLAY"

// buildDir holds the built program; empty before it is built.
var buildDir string

// buildProgram builds the program once for all cases and returns its path. Cleanup removes it.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "conformance")
	if err != nil {
		return "", err
	}
	buildDir = dir
	return subprocess.Build(context.Background(), dir, "-overlay="+os.Getenv(overlayVariable))
})

// Cleanup stops the shared voters and removes what was built. It is called when all tests have
// ended.
func Cleanup() error {
	var problems []error
	for _, voter := range sharedVoters {
		problems = append(problems, voter.stop())
	}
	if buildDir != "" {
		problems = append(problems, os.RemoveAll(buildDir))
	}
	return errors.Join(problems...)
}
