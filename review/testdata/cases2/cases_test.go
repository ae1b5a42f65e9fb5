// Package cases2 runs the scripts of the second review, so that KNOWN-RED.txt can name them. It lies outside ./... and
// takes part in no test run of its own. Before: the build of deploy/balancer.toml, and review/build-2.sh.
package cases2

import (
	"os/exec"
	"testing"
)

// root is the repository's root, from this folder.
const root = "../../.."

func play(t *testing.T, script string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), "sh", script)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		t.Errorf("%s: %v\n%s", script, err, out)
	}
}

func TestCase_answerOfAnotherRequest(t *testing.T)         { play(t, "review/6/run.sh") }
func TestCase_requestInPiecesLost(t *testing.T)            { play(t, "review/7/run.sh") }
func TestCase_lateAnswerBeforeAnotherRequest(t *testing.T) { play(t, "review/8/run.sh") }
func TestCase_requestsLostAtShortShutdown(t *testing.T)    { play(t, "review/9/run.sh") }
func TestCase_attemptsForClientsThatHaveGone(t *testing.T) { play(t, "review/10/run.sh") }
