// Package cases runs the scripts of the review, so that KNOWN-RED.txt can name them. It lies outside ./... and takes part
// in no test run of its own. Before: the build of deploy/balancer.toml, and review/build.sh.
package cases

import (
	"os/exec"
	"testing"
)

// root is the repository's root, from this folder.
const root = "../../.."

func play(t *testing.T, script string, args ...string) {
	t.Helper()
	command := exec.CommandContext(t.Context(), "sh", append([]string{script}, args...)...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		t.Errorf("%s %v: %v\n%s", script, args, err, out)
	}
}

func TestCase_requestsLostAtRestart(t *testing.T)          { play(t, "review/1/run.sh") }
func TestCase_keyedRequestInTwoHalls(t *testing.T)         { play(t, "review/2/run.sh") }
func TestCase_crashWithoutCounter(t *testing.T)            { play(t, "review/3/run.sh") }
func TestScene_debtsCountedTwice(t *testing.T)             { play(t, "review/scene.sh", "debts") }
func TestScene_replacedPlanAfterShorterLease(t *testing.T) { play(t, "review/scene.sh", "lease") }
func TestScene_ruleInForceIsNoCandidate(t *testing.T)      { play(t, "review/scene.sh", "rule") }
func TestScene_attemptAfterClientLeft(t *testing.T)        { play(t, "review/scene.sh", "left") }
