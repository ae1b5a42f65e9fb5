package dispatch

import (
	"testing"
	"time"

	"harrierhoist/policy"
)

// fakeRules counts all tasks under one key, each with the next weight, and asks nothing else unless told to.
type fakeRules struct {
	nextWeights []float64
	checkOthers func(func(bool))
	completed   []float64
}

func (rules *fakeRules) WithRulePlans(d policy.Settings) policy.Settings    { return d }
func (rules *fakeRules) WithoutRulePlans(d policy.Settings) policy.Settings { return d }
func (rules *fakeRules) Assign(_ time.Duration, spec RequestSpec) CountAssignment {
	assignment := CountAssignment{Key: 77, Plan: spec.Plan, Width: spec.GatewayCount, Weight: rules.nextWeights[0], CheckOthers: rules.checkOthers,
		Completed: func(pushed bool, units float64) { rules.completed = append(rules.completed, units) }}
	if len(rules.nextWeights) > 1 {
		rules.nextWeights = rules.nextWeights[1:]
	}
	return assignment
}

func (rules *fakeRules) HandleCounterCall() {}

func (f *fixture) setRules(rules *fakeRules) {
	f.Helper()
	if err := f.dispatcher.SetCountingRules(rules); err != nil {
		f.Fatal(err)
	}
}

// Its answer may come long after another rule holds: a task is charged what it weighed when it was taken.
func TestCountAssignment_lateAnswerKeepsWeightOfAdmission(t *testing.T) {
	f := newFixture(t)
	rules := &fakeRules{nextWeights: []float64{3, 1}}
	f.setRules(rules)
	r, _ := f.forwarded(0, time.Second)
	r.ReportResult(Result{Outcome: policy.Answered, Billed: 5, Use: 1.5})
	f.admit(0, 0, time.Second)
	for call := range f.counterCalls { // a new window may be opened first
		if call.units > 0 {
			if call.units != 15 || len(rules.completed) != 1 || rules.completed[0] != 15 {
				t.Errorf("charged %v, told %v", call.units, rules.completed)
			}
			return
		}
	}
}

// Whose other count says no is rejected before the module sees it, and a client that goes meanwhile is owed nothing.
func TestCountAssignment_otherCountsAreCheckedFirst(t *testing.T) {
	f := newFixture(t)
	answers := make(chan func(bool), 2)
	f.setRules(&fakeRules{nextWeights: []float64{1}, checkOthers: func(then func(bool)) { answers <- then }})
	no, gone := f.admit(0, 0, time.Second), f.admit(0, 0, time.Second)
	(<-answers)(false)
	f.expectAction(no, Reject)
	gone.Disconnect()
	(<-answers)(true)
	f.expectAction(gone, Disconnected)
	if len(f.counterCalls) > 0 || len(f.dispatcher.requests) > 0 {
		t.Errorf("%d calls, %d errands", len(f.counterCalls), len(f.dispatcher.requests))
	}
}

// An answer that comes in the instant of the final answer, or of the client's going, ends the task no second time.
func TestRequest_completesOnceWhenEventsCoincide(t *testing.T) {
	for name, want := range map[string]Action{"the final answer": Reject, "the client's going": Disconnected} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, withLongTimeouts)
			rules := &fakeRules{nextWeights: []float64{1}}
			f.setRules(rules)
			r, forward := f.forwarded(0, time.Hour)
			forward.Begin()
			if want == Disconnected {
				r.Disconnect()
			} else {
				f.expire(r)
			}
			f.expectAction(r, want) // the final word is given, and the answer is here as well
			r.Disconnect()
			r.ReportResult(Result{Outcome: policy.Answered, Billed: 5})
			r.Disconnect()
			f.dispatcher.lock()
			defer f.dispatcher.unlock()
			if len(rules.completed) != 1 || len(r.decisions) != 0 || len(f.dispatcher.requests) != 0 {
				t.Errorf("ended %d times, %d choices more, %d errands", len(rules.completed), len(r.decisions), len(f.dispatcher.requests))
			}
		})
	}
}
