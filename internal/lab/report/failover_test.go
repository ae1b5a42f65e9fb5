package report

import (
	"bytes"
	"testing"

	"harrierhoist/internal/lab/experiment"
)

func TestWriteFailover_nothingWithoutPlans(t *testing.T) {
	var out bytes.Buffer
	err := WriteFailover(&out, []*experiment.Result{{Scenario: "calm", LengthSeconds: 1}})
	if err != nil || out.Len() > 0 {
		t.Errorf("%v, %q", err, out.String())
	}
}
