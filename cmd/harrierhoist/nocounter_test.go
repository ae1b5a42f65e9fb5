package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// countingRuleTable is a counting rule that is in the files and not in force.
const countingRuleTable = `[counting]
try = 0
[[counting.rule]]
version = 1
key = ["customer", "lane"]
[counting.canary]
sample = 20
calls = 60
deadline_s = 1800
wrong = 50
rejected = 30
let_in = 100
beyond = 50
leave = 100
watch_s = 600
`

// Guards against gateways that end with a nil pointer: their settings have no counter, their files a
// counting rule, and no voter answers, so that every rule that may be in force has to admit a request.
// All requests are answered. The same holds after a reload that brings a counter, and one that takes
// it away.
func TestCountingRules_withoutACounterAndVoters(t *testing.T) {
	t.Parallel()
	voters := newVoterCluster(t, "v1", "v2", "v3") // none is started
	gateway := newGateway(t, answerHello)
	gateway.discovery = fakes.NewDiscovery(t, gateway.host())
	withCounter := gateway.configuration()
	without := strings.NewReplacer(`"HasCounter":true`, `"HasCounter":false`, gateway.counter.Addr, "").
		Replace(withCounter)
	replaceFile(t, gateway.configPath, without)
	common := filepath.Join(voters.dir, "g1.toml")
	replaceFile(t, common, "[process]\nname = \"g1\"\nhall = \"hall-a\"\n"+voters.voters+countingRuleTable)
	gateway.process, gateway.log = startProgram(t, "RELAY_CONFIG="+gateway.configPath, "RELAY_COMMON="+common)
	waitForLog(t, gateway.log, "gateway: ready")
	waitForLog(t, gateway.log, "counting: version in force uncertain")
	client := gateway.connect()
	for _, configuration := range []string{withCounter, without} {
		for range 20 {
			client.query(queryList, "hello")
			time.Sleep(time.Millisecond)
		}
		gateway.reload(configuration, reloadLine)
	}
	client.query(queryList, "hello")
	gateway.terminate()
	gateway.waitForCleanExit()
}
