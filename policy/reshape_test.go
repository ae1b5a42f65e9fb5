package policy

import (
	"testing"
	"time"
)

// other is the settings of another shape: lanes and plans in another order, one of each gone and one new, other
// limits, no time to come back.
func other() Deployment {
	d := site()
	d.Lanes = []Lane{
		{Name: "read", SoftLimit: 300 * ms, Patience: time.Second, Gain: 1, Effect: Pure},
		{Name: "mark", SoftLimit: 500 * ms, Patience: 2 * time.Second, Gain: 2, Effect: Receipted, Group: GroupHall, Window: 300 * ms},
		{Name: "look", SoftLimit: 500 * ms, Patience: 2 * time.Second, Gain: 1, Effect: Pure},
	}
	d.Plans = []Plan{{Name: "out", AtOnce: 1}, {Name: "new", Rate: 5, Burst: 10}, {Name: "small", Rate: 4, Burst: 4},
		{Name: "wide", AtOnce: 2}}
	d.RetryAfter, d.Meter = false, time.Second
	return d
}

func (s *story) reshape(d Deployment) Deployment {
	s.Helper()
	now, err := s.g.Reshape(s.now, d)
	if err != nil {
		s.Fatal(err)
	}
	return now
}

func TestReshapedLanesAndPlansKeepTheirPlacesByName(t *testing.T) {
	s := begin(t, site(), 4)
	there := s.reshape(other())
	for i, want := range []string{"look", "hold", "pay", "mark", "read"} {
		if l := there.Lanes[i]; l.Name != want || l.Closed != (want == "hold" || want == "pay") {
			t.Errorf("lane %d is %s, closed %v", i, l.Name, l.Closed)
		}
	}
	back := s.reshape(site())
	if len(back.Lanes) != 5 || back.Lanes[1].Closed || !back.Lanes[4].Closed || back.Plans[0].Rate != 1000 {
		t.Errorf("the way back gives %+v", back)
	}
	if again := s.reshape(other()); len(again.Lanes) != 5 || len(again.Plans) != len(there.Plans) {
		t.Errorf("a second time the lanes and plans grew: %d, %d", len(again.Lanes), len(again.Plans))
	}
}

func TestATaskInHandEndsUnderTheLaneItWasTakenWith(t *testing.T) {
	s := begin(t, site(), 4)
	s.take(1, 2, 0, 1) // pays, which is gone in the new settings
	s.reshape(other())
	s.end(1, Reset) // it may have run: it must not go out again, nor be called harmless to repeat
	s.wantPushed(1, 1)
	s.want("terminate 1", 1)
	s.take(2, 0, 0, 1)
	s.end(2, Answered)
	s.reshape(site())
	s.take(3, 2, 0, 1)
	s.end(3, Reset)
	s.want("terminate 3", 1)
}

func TestPushesOutGoOnToCountAgainstANewLimit(t *testing.T) {
	s := begin(t, site(), 4)
	for id := uint32(1); id <= 3; id++ {
		s.take(id, 0, 0, 1)
		s.wantPushed(id, 1)
	}
	s.reshape(other()) // two pushes at once now; three are out
	s.take(4, 0, 0, 1)
	s.wantPushed(4, 0)
	s.want("reject 4 away 0s", 1) // and no time to come back is to be named
	for id := uint32(1); id <= 3; id++ {
		s.end(id, Answered)
	}
	s.take(5, 0, 0, 1)
	s.wantPushed(5, 1)
}

func TestATotalOfAnOldWindowDecidesNothingInANewOne(t *testing.T) {
	s := begin(t, site(), 4)
	s.down = true
	s.take(1, 0, 1, 2) // waits for the total of its plan as it was
	d := site()
	d.Plans[1] = Plan{Name: "small", Rate: 4, Burst: 6}
	s.reshape(d)
	s.g.Counted(s.now, Tally{Name: s.calls[0].name, Total: 100, Took: ms}) // far over, if it were of this window
	s.calls = nil
	s.wantPushed(1, 1)
	if b := s.g.desk.books[0]; b.left < 0 || b.left > 4 || b.looks[0].window != -1 {
		t.Errorf("the book has %v left and looks %v", b.left, b.looks)
	}
}

func TestAServerTurnedAwayForAPlanStaysSoAfterReshaping(t *testing.T) {
	s := begin(t, site(), 4)
	s.take(1, 3, 4, 1)
	server := s.g.fleet.servers[s.pushes[0].server-1]
	s.end(1, Full)
	s.reshape(other())
	marked := &job{Task: Task{Lane: 3, Plan: 4}, row: &s.g.lanes[3]}
	fresh := &job{Task: Task{Lane: 4, Plan: 5}, row: &s.g.lanes[4]}
	if !server.sick(marked) || server.sick(fresh) {
		t.Errorf("set aside for what it turned away: %v, for a new lane and plan: %v", server.sick(marked), server.sick(fresh))
	}
}

func TestSettingsThatCannotBeUsedChangeNothing(t *testing.T) {
	s := begin(t, site(), 4)
	for name, bad := range map[string]func(*Deployment){
		"no lane":    func(d *Deployment) { d.Lanes = nil },
		"no gateway": func(d *Deployment) { d.Gateways = 0 },
	} {
		d := other()
		bad(&d)
		if _, err := s.g.Reshape(s.now, d); err == nil || s.g.site.Lanes[1].Closed || !s.g.site.RetryAfter {
			t.Errorf("%s: %v, and in force %+v", name, err, s.g.site)
		}
	}
}

func TestACounterThatGoesLeavesNobodyWaiting(t *testing.T) {
	s := begin(t, site(), 4)
	s.down = true
	s.take(1, 0, 0, 1)
	s.wantPushed(1, 0)
	d := site()
	d.HasCounter = false
	s.reshape(d)
	s.pass(200 * ms)
	s.wantPushed(1, 1)
	before := len(s.calls)
	s.take(2, 0, 0, 1)
	s.wantPushed(2, 1)
	if len(s.calls) != before {
		t.Error("a counter that is not there was called")
	}
}

// A plan with neither rate nor limit is unlimited: its customers have no windows, also those that had some before, and
// what comes late or twice for them counts once.
func TestAPlanWithNeitherRateNorLimitIsUnlimited(t *testing.T) {
	s := begin(t, site(), 4)
	s.down = true
	s.take(1, 0, 4, 1) // claims in a window
	d := site()
	d.Plans[4] = Plan{Name: "out"}
	s.reshape(d)
	s.down = false
	s.counter() // the total asked for before
	s.wantPushed(1, 1)
	for range 2 {
		s.g.Ended(s.now, Push{Task: 1, Server: s.pushes[0].server, Outcome: Answered, Took: 20 * ms, Done: true})
	}
	s.counter()
	if out := s.g.desk.books[0].out; out != 0 || len(s.g.jobs) != 0 {
		t.Errorf("%d out and %d tasks after their end came twice", out, len(s.g.jobs))
	}
	for id := uint32(2); id <= 9; id++ {
		s.take(id, 0, 4, 8)
		s.end(id, Answered)
		s.wantPushed(id, 1)
	}
	s.reshape(site())
	s.take(10, 0, 4, 1)
	s.wantPushed(10, 1)
}
