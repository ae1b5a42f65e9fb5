package listener

import (
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/resp"
	"harrierhoist/internal/testing/fakes"
	"harrierhoist/policy"
)

// Whatever words a client puts in a command: no panic; a task that is taken holds what the module takes for granted,
// and passes on as it was worded but for the time; one that is not leaves no id open.
func FuzzParse(f *testing.F) {
	const customer, id = "00000000b4d65521", "9b1f03aa5c7e2d41"
	for _, list := range []string{
		"c=look,t=open,d=480,units=2,spread=3,first=1", "c=book,t=open,d=480,k=5c0f,units=2,r=1", "c=once,t=open,d=0.5",
		"c=book,t=open,d=480", "c=look,t=open,d=0", "c=look,t=open,d=-1", "c=look,t=open,d=1e3", "c=look,t=open,d=NaN", "d=1,d=2",
		"c=look,t=open,d=99999999999", "c=look,t=open,d=480,units=inf", "c=look,t=open,d=480,units=0.0001,spread=9", "",
		"c=look,t=open,d=480,first=-1", "c=look,t=open,d=480,units=51", "c=look,t=open,d=480,units=0", "c=look,t=open,d=2001",
		"c=look,t=open,d=480,x=1,", "=,=", "c=look,,", "c=look,t=shut,d=480", "c=gone,t=open,d=480",
		"c=look,t=open,d=480,r=2", "c=look,t=open,d=480,spread=6",
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
	site := &policy.Settings{
		Gateways: 5, MaxUnits: 50, Plans: []policy.Plan{{Name: "open"}, {Name: "shut", Retired: true}},
		Classes: []policy.TrafficClass{
			{Name: "look", Timeout: 2 * time.Second},
			{Name: "gone", Timeout: time.Second, Retired: true},
			{Name: "book", Timeout: time.Second, Effect: policy.Keyed},
			{Name: "once", Timeout: 3 * time.Second, Effect: policy.NonIdempotent},
		},
	}
	f.Fuzz(func(t *testing.T, verb, customer, id, list, value string, body bool, n uint8) {
		words := []string{verb, customer, id, list}[:1+int(n)%4]
		text := fakes.FormatCommand(words...)
		if body {
			text = fakes.FormatCommand(append(words, value)...)
		}
		c := &client{listener: New(site, nil, nil, 1, 0, nil), conn: resp.NewConn(&fakes.ScriptedConn{Input: []byte(text)})}
		if c.conn.Await() != nil {
			t.Fatal("no command")
		}
		read, err := c.conn.ReadCommand(maxCommandWords, nil)
		if err != nil {
			return
		}
		defer read.Body.Free()
		task, e, line := c.parse(&pendingCommand{Command: read}, 0)
		if line != "" {
			if e != nil || len(c.listener.openIDs) > 0 || strings.ContainsAny(line, "\r\n") {
				t.Fatalf("refused by %q, with %+v and %d open", line, e, len(c.listener.openIDs))
			}
			return
		}
		lane := site.Classes[task.Class]
		if task.Plan != 0 || lane.Retired || task.Customer >= maxCustomer || task.Repeat && !strings.Contains(list, "r=1") {
			t.Fatalf("%q was taken for %+v", list, task)
		}
		if task.Timeout <= 0 || task.Timeout > lane.Timeout || !(task.Units > 0) || task.Units > site.MaxUnits {
			t.Fatalf("%q was taken for %+v: patience or units out of range", list, task)
		}
		if task.GatewayCount < 1 || task.GatewayCount > site.Gateways || task.FirstGateway < 0 || task.FirstGateway >= site.Gateways {
			t.Fatalf("%q was taken for %+v: a set out of range", list, task)
		}
		if (lane.Effect == policy.Idempotent) != (verb == "SVC.QUERY") || lane.Effect == policy.Keyed && !strings.Contains(list, "k=") {
			t.Fatalf("%q was taken for lane %s", list, lane.Name)
		}
		time, whole := strings.CutPrefix(list, e.ParamsBefore)
		time, end := strings.CutSuffix(time, e.ParamsAfter)
		if ms, good := parseDecimal(time); !whole || !end || !good || !(ms > 0) ||
			!strings.HasSuffix(","+e.ParamsBefore, ",d=") || e.ParamsAfter != "" && e.ParamsAfter[0] != ',' {
			t.Fatalf("%q was cut into %q, %q and %q", list, e.ParamsBefore, time, e.ParamsAfter)
		}
		if e.Verb != verb || e.Customer != customer || e.ID != id || (e.Body != nil) != body || body && e.Body.String() != value {
			t.Fatalf("worded %+v", e)
		}
		if _, open := c.listener.openIDs[id]; !open || len(c.listener.openIDs) != 1 {
			t.Fatalf("%q is not open", id)
		}
	})
}
