package listener

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// fuzzSettings has a class of each effect, a retired class and a retired plan.
var fuzzSettings = &policy.Settings{
	Gateways: 5, MaxUnits: 50, Plans: []policy.Plan{{Name: "open"}, {Name: "shut", Retired: true}},
	Classes: []policy.TrafficClass{
		{Name: "look", Timeout: 2 * time.Second},
		{Name: "gone", Timeout: time.Second, Retired: true},
		{Name: "book", Timeout: time.Second, Effect: policy.Keyed},
		{Name: "once", Timeout: 3 * time.Second, Effect: policy.NonIdempotent},
	},
}

// fuzzCommand is a command composed by the fuzzer: a prefix of its words, and a value if hasBody.
type fuzzCommand struct {
	verb, customer, id, list, body string
	hasBody                        bool
	wordCount                      uint8
}

func (c fuzzCommand) String() string {
	words := []string{c.verb, c.customer, c.id, c.list}[:1+int(c.wordCount)%4]
	if c.hasBody {
		words = append(words, c.body)
	}
	return fakes.FormatCommand(words...)
}

// Parsing does not panic for any words. A parsed request satisfies the preconditions of the policy,
// and is forwarded unchanged except for the deadline. A rejected request leaves no ID open.
func FuzzParse(f *testing.F) {
	const customer, id = "00000000b4d65521", "9b1f03aa5c7e2d41"
	for _, list := range []string{
		"c=look,t=open,d=480,units=2,spread=3,first=1", "c=book,t=open,d=480,k=5c0f,units=2,r=1",
		"c=once,t=open,d=0.5", "c=book,t=open,d=480", "c=look,t=open,d=0", "c=look,t=open,d=-1",
		"c=look,t=open,d=1e3", "c=look,t=open,d=NaN", "d=1,d=2", "c=look,t=open,d=99999999999",
		"c=look,t=open,d=480,units=inf", "c=look,t=open,d=480,units=0.0001,spread=9", "",
		"c=look,t=open,d=480,first=-1", "c=look,t=open,d=480,units=51", "c=look,t=open,d=480,units=0",
		"c=look,t=open,d=2001", "c=look,t=open,d=480,x=1,", "=,=", "c=look,,", "c=look,t=shut,d=480",
		"c=gone,t=open,d=480", "c=look,t=open,d=480,r=2", "c=look,t=open,d=480,spread=6",
		"c=look,t=open,d=00000000000000000000480.", "c=look,t=open,d=.", "c=look,t=open,d=480,x=d=9,units=7",
		"c=look,t=open,d=480\r\n,a=b",
	} {
		for _, verb := range []string{"SVC.QUERY", "SVC.SUBMIT"} {
			f.Add(verb, customer, id, list, "body", verb == "SVC.SUBMIT", uint8(3))
		}
	}
	f.Add("ping", "", "", "", "", false, uint8(0))
	f.Add("SVC.QUERY", "0000000200000000", id, "c=look,t=open,d=480", "", false, uint8(3))
	f.Add("SVC.QUERY", "+000000000000005", "", "c=look,t=open,d=480", "", false, uint8(3))
	f.Fuzz(func(t *testing.T, verb, customer, id, list, body string, hasBody bool, wordCount uint8) {
		checkParse(t, fuzzCommand{verb, customer, id, list, body, hasBody, wordCount})
	})
}

// checkParse reads and parses a command, and checks the result.
func checkParse(t *testing.T, sent fuzzCommand) {
	t.Helper()
	conn := resp.NewConn(&fakes.ScriptedConn{Input: []byte(sent.String())})
	if conn.Await() != nil {
		t.Fatal("no command")
	}
	command, err := conn.ReadCommand(maxCommandWords, nil)
	if err != nil {
		return
	}
	defer command.Body.Free()
	l := New(fuzzSettings, nil, nil, 1, 0, nil)
	spec, message, reply := l.parse(&pendingCommand{Command: command}, 0)
	openIDs := l.requestIDs.open
	if reply != "" {
		if message != nil || len(openIDs) > 0 || strings.ContainsAny(reply, "\r\n") {
			t.Fatalf("rejected with %q, message %+v and %d IDs open", reply, message, len(openIDs))
		}
		return
	}
	sent.checkSpec(t, spec)
	sent.checkClass(t, spec)
	sent.checkMessage(t, message)
	sent.checkDeadline(t, message)
	if _, isOpen := openIDs[sent.id]; !isOpen || len(openIDs) != 1 {
		t.Fatalf("ID %q is not the only open one", sent.id)
	}
}

// checkSpec checks that all numbers of a parsed request are in range.
func (c fuzzCommand) checkSpec(t *testing.T, spec dispatch.RequestSpec) {
	t.Helper()
	if spec.Plan != 0 || spec.Customer >= maxCustomer || spec.Repeat && !strings.Contains(c.list, "r=1") {
		t.Fatalf("%q was parsed as %+v", c.list, spec)
	}
	if spec.Timeout <= 0 || !(spec.Units > 0) || spec.Units > fuzzSettings.MaxUnits {
		t.Fatalf("%q was parsed as %+v: timeout or units out of range", c.list, spec)
	}
	first, count := spec.FirstGateway, spec.GatewayCount
	if count < 1 || count > fuzzSettings.Gateways || first < 0 || first >= fuzzSettings.Gateways {
		t.Fatalf("%q was parsed as %+v: gateways out of range", c.list, spec)
	}
}

// checkClass checks that a parsed request is valid for its class.
func (c fuzzCommand) checkClass(t *testing.T, spec dispatch.RequestSpec) {
	t.Helper()
	class := fuzzSettings.Classes[spec.Class]
	if class.Retired || spec.Timeout > class.Timeout {
		t.Fatalf("%q was parsed as %+v, of class %+v", c.list, spec, class)
	}
	isQuery, hasKey := c.verb == "SVC.QUERY", strings.Contains(c.list, "k=")
	if (class.Effect == policy.Idempotent) != isQuery || class.Effect == policy.Keyed && !hasKey {
		t.Fatalf("%q was parsed as of class %s", c.list, class.Name)
	}
}

// checkMessage checks that a message holds the words of the command.
func (c fuzzCommand) checkMessage(t *testing.T, message *upstream.Command) {
	t.Helper()
	if message.Verb != c.verb || message.Customer != c.customer || message.ID != c.id {
		t.Fatalf("message %+v for %+v", message, c)
	}
	if (message.Body != nil) != c.hasBody || c.hasBody && message.Body.String() != c.body {
		t.Fatalf("message %+v for %+v", message, c)
	}
}

// checkDeadline checks that a message's parameters equal those of the command, split around the
// value of the deadline.
func (c fuzzCommand) checkDeadline(t *testing.T, message *upstream.Command) {
	t.Helper()
	deadline, hasPrefix := strings.CutPrefix(c.list, message.ParamsBefore)
	deadline, hasSuffix := strings.CutSuffix(deadline, message.ParamsAfter)
	milliseconds, isValid := parseDecimal(deadline)
	endsValue := message.ParamsAfter == "" || message.ParamsAfter[0] == ','
	isCutOut := strings.HasSuffix(","+message.ParamsBefore, ",d=") && endsValue
	if !hasPrefix || !hasSuffix || !isCutOut || !isValid || !(milliseconds > 0) {
		t.Fatalf("%q was split into %q, %q and %q", c.list, message.ParamsBefore, deadline, message.ParamsAfter)
	}
}
