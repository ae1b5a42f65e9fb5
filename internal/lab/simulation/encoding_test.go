package simulation

import (
	"encoding/json"
	"testing"

	"harrierhoist/internal/lab/invariants"
)

// TestResult_encodingIsStable holds the keys of a result in JSON; files of earlier runs have them.
func TestResult_encodingIsStable(t *testing.T) {
	r := Result{Timeline: []Second{{}}, Violations: []invariants.Violation{{}}}
	got, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != goldenResult {
		t.Errorf("got %s\nwant %s", got, goldenResult)
	}
}

// goldenResult is an empty result with one second and one violation.
const goldenResult = `{"world":"","seed":0,"Offered":0,"Due":0,"InTime":0,"Late":0,"Refused":0,"Failed":0,` +
	`"Ends":{"Between":0,"Terminated":0,"Died":0,"Out":0},"GainDue":0,"GainServed":0,"Tries":0,` +
	`"Rejected":0,"Terminated":0,"BrokenConnections":0,"Pushes":0,"Handshakes":0,"Crossed":0,"Far":0,` +
	`"Hottest":0,"Warmest":0,"Plans":0,"Wrong":0,"PlanMs":null,"Held":{"Digests":0,"Merged":0,"Reads":0},` +
	`"Led":{"Digests":0,"Merged":0,"Reads":0},"Calls":0,"CallsRefused":0,"Units":0,"Beyond":0,` +
	`"BeyondGain":0,"Uneven":0,"Broken":[0,0,0,0,0],"Breaches":[{"Rule":0,"At":0,"Task":0,"Gateway":0,` +
	`"Server":0,"Customer":0,"What":""}],"Seconds":[{"Offered":0,"InTime":0,"Refused":0,"Failed":0,` +
	`"Gain":0,"Due":0,"Pushes":0,"Crossed":0}],"Events":0,"Lanes":null,"P50":null,"P99":null,"P999":null}`
