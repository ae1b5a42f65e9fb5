package listener

import (
	"io"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// goldenSettings returns settings with classes of all three effects, a small plan and a limit on
// units.
func goldenSettings() policy.Settings {
	given := testSettings()
	given.MaxUnits = 50
	given.MaxRetryAfter = 2 * time.Second
	given.Classes = append(given.Classes, policy.TrafficClass{
		Name: "book", LatencyObjective: 5 * time.Second, Timeout: 15 * time.Second,
		Effect: policy.Keyed, DedupWindow: 10 * time.Second,
	})
	given.Plans = append(given.Plans, policy.Plan{Name: "small", Rate: 0.001, Burst: 10})
	return given
}

const goldenCustomer = "0000000000000005"

func goldenQuery(list string) string {
	return fakes.FormatCommand("SVC.QUERY", goldenCustomer, uniqueID(), list)
}

func goldenSubmit(list, body string) string {
	return fakes.FormatCommand("SVC.SUBMIT", goldenCustomer, uniqueID(), list, body)
}

func goldenServed([]string) string { return fakes.FormatValue("hello", 3) }

func goldenFailed([]string) string { return "-ERR failed\r\n" }

// goldenAnswers holds a recorded answer of each form, by name.
var goldenAnswers = map[string]struct {
	sent      string
	isReady   bool
	server    func([]string) string // nil: no server is listed
	want      string
	staysOpen bool // the connection stays open afterwards
}{
	"ping before ready":  {fakes.FormatCommand("PING"), false, nil, "-ERR not ready\r\n", true},
	"ping":               {fakes.FormatCommand("PING"), true, nil, "+PONG\r\n", true},
	"ping in lower case": {fakes.FormatCommand("ping"), true, nil, "+PONG\r\n", true},
	"unknown command":    {fakes.FormatCommand("GET", "x"), true, nil, "-ERR unknown command\r\n", true},
	"too few words": {
		fakes.FormatCommand("SVC.QUERY", goldenCustomer), true, nil, "-ERR wrong number of words\r\n", true,
	},
	"query with a value": {
		fakes.FormatCommand("SVC.QUERY", goldenCustomer, "1", "c=look", "body"), true, nil,
		"-ERR wrong number of words\r\n", true,
	},
	"submit without a value": {
		fakes.FormatCommand("SVC.SUBMIT", goldenCustomer, "1", "c=pay"), true, nil,
		"-ERR wrong number of words\r\n", true,
	},
	"invalid customer": {
		fakes.FormatCommand("SVC.QUERY", "zz", "1", "c=look,t=wide,d=1"), true, nil, "-ERR no customer\r\n", true,
	},
	"customer out of range": {
		fakes.FormatCommand("SVC.QUERY", "ffffffffffffffff", "1", "c=look,t=wide,d=1"), true, nil,
		"-ERR no customer\r\n", true,
	},
	"duplicate parameter":   {goldenQuery("c=look,c=look"), true, nil, "-ERR an empty or doubled name\r\n", true},
	"empty parameter name":  {goldenQuery("=look"), true, nil, "-ERR an empty or doubled name\r\n", true},
	"empty parameter value": {goldenQuery("c=,t=wide"), true, nil, "-ERR an empty or doubled name\r\n", true},
	"unknown class": {
		goldenQuery("c=nope,t=wide,d=100"), true, nil, "-ERR unknown, no number or out of range: c\r\n", true,
	},
	"class with wrong effect": {
		goldenQuery("c=pay,t=wide,d=100"), true, nil, "-ERR unknown, no number or out of range: c\r\n", true,
	},
	"unknown plan": {
		goldenQuery("c=look,t=nope,d=100"), true, nil, "-ERR unknown, no number or out of range: t\r\n", true,
	},
	"malformed deadline": {
		goldenQuery("c=look,t=wide,d=x"), true, nil, "-ERR unknown, no number or out of range: d\r\n", true,
	},
	"zero deadline":     {goldenQuery("c=look,t=wide,d=0"), true, nil, "-ERR deadline passed\r\n", true},
	"deadline too long": {goldenQuery("c=look,t=wide,d=2147483647"), true, nil, "-ERR deadline passed\r\n", true},
	"malformed units": {
		goldenQuery("c=look,t=wide,d=100,units=x"), true, nil,
		"-ERR unknown, no number or out of range: units\r\n", true,
	},
	"units out of range": {
		goldenQuery("c=look,t=wide,d=100,units=51"), true, nil,
		"-ERR unknown, no number or out of range: units\r\n", true,
	},
	"malformed repeat flag": {
		goldenQuery("c=look,t=wide,d=100,r=2"), true, nil, "-ERR unknown, no number or out of range: r\r\n", true,
	},
	"gateway count out of range": {
		goldenQuery("c=look,t=wide,d=100,spread=2"), true, nil,
		"-ERR unknown, no number or out of range: spread\r\n", true,
	},
	"first gateway out of range": {
		goldenQuery("c=look,t=wide,d=100,first=1"), true, nil,
		"-ERR unknown, no number or out of range: first\r\n", true,
	},
	"missing class": {
		goldenQuery("t=wide,d=100"), true, nil, "-ERR class, plan, deadline or key is missing\r\n", true,
	},
	"missing plan": {
		goldenQuery("c=look,d=100"), true, nil, "-ERR class, plan, deadline or key is missing\r\n", true,
	},
	"missing deadline": {
		goldenQuery("c=look,t=wide"), true, nil, "-ERR class, plan, deadline or key is missing\r\n", true,
	},
	"missing key": {
		goldenSubmit("c=book,t=wide,d=100", "x"), true, nil, "-ERR class, plan, deadline or key is missing\r\n", true,
	},
	"missing id": {
		fakes.FormatCommand("SVC.QUERY", goldenCustomer, "", "c=look,t=wide,d=100"), true, nil,
		"-ERR no id of its own\r\n", true,
	},
	"served": {goldenQuery("c=look,t=wide,d=14000"), true, goldenServed, "$5\r\nhello\r\n", true},
	"served, with a key": {
		goldenSubmit("c=book,t=wide,d=14000,k=7", "x"), true, goldenServed,
		"$5\r\nhello\r\n", true,
	},
	"failed": {goldenSubmit("c=pay,t=wide,d=14000", "x"), true, goldenFailed, "-ERR failed\r\n", true},
	"quota exceeded": {
		goldenQuery("c=look,t=small,d=14000,units=20"), true, goldenServed,
		"-BUSY 2000\r\n", true,
	},
	"command without words":       {"*0\r\n", true, nil, "-ERR wrong number of words\r\n", false},
	"command with too many words": {"*6\r\n", true, nil, "-ERR wrong number of words\r\n", false},
	"null word":                   {"*1\r\n$-1\r\n", true, nil, "-ERR a word is missing\r\n", false},
	"inline command":              {"PING\r\n", true, nil, "-ERR no line of kind *\r\n", false},
	"malformed length":            {"*x\r\n", true, nil, "-ERR a length is no number\r\n", false},
	"word too long":               {"*1\r\n$1025\r\n", true, nil, "-ERR word too long\r\n", false},
	"value too long": {
		"*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65537\r\n", true, nil, "-ERR value too long\r\n", false,
	},
	"unterminated word": {"*1\r\n$4\r\nPINGxx", true, nil, "-ERR a value does not end where it says\r\n", false},
	"message too long":  {"*" + strings.Repeat("1", 70<<10), true, nil, "-ERR message too long\r\n", false},
}

// TestGoldenAnswers compares each form of answer byte by byte.
func TestGoldenAnswers(t *testing.T) {
	for name, golden := range goldenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*fakes.Server
			if golden.server != nil {
				servers = append(servers, fakes.NewServer(t, golden.server))
			}
			f := newFixtureWith(t, goldenSettings(), nil, 0, servers...)
			if golden.isReady {
				f.MarkReady()
			}
			f.start()
			client := f.dial()
			client.send(golden.sent)
			got := make([]byte, len(golden.want))
			n, err := io.ReadFull(client.reader, got)
			if string(got[:n]) != golden.want {
				t.Fatalf("answered %q (%v), want %q", got[:n], err, golden.want)
			}
			client.checkAfterGolden(golden.staysOpen)
		})
	}
}

// checkAfterGolden checks that the connection stays open after an answer, or that it is closed.
func (c *testClient) checkAfterGolden(staysOpen bool) {
	c.Helper()
	if !staysOpen {
		if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
			c.Fatalf("after the answer: read %q, error %v; want an orderly close", rest, err)
		}
		return
	}
	c.send(fakes.FormatCommand("FOO"))
	if line := c.readAnswer(); line != "-ERR unknown command" {
		c.Errorf("next command: answered %q", line)
	}
}

// A request with the ID of a request in flight is rejected.
func TestGoldenAnswers_duplicateRequestID(t *testing.T) {
	server := fakes.NewServer(t, answerNothing)
	f := newFixture(t, 0, server).start()
	first, second := f.dial(), f.dial()
	first.send(fakes.FormatCommand("SVC.QUERY", "0000000000000005", "same", "c=look,t=wide,d=14000"))
	fakes.Eventually(t, "the first request", func() bool { return server.PendingCommands() == 1 })
	second.send(fakes.FormatCommand("SVC.QUERY", "0000000000000005", "same", "c=look,t=wide,d=14000"))
	if line := second.readAnswer(); line != "-ERR no id of its own" {
		t.Errorf("answered %q", line)
	}
}
