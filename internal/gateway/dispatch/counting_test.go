package dispatch

import (
	"testing"
	"time"

	"harrierhoist/policy"
)

// fakeRules count all requests under one key. Each request gets the next of the weights, and
// requests after the last weight get the last one again. checkOthers is the CheckOtherCounts of all
// assignments.
type fakeRules struct {
	weights     []float64
	checkOthers func(func(bool))
	completed   []float64
}

func (r *fakeRules) WithRulePlans(s policy.Settings) policy.Settings { return s }
func (r *fakeRules) ApplySettings(s policy.Settings) policy.Settings { return s }
func (r *fakeRules) Assign(_ time.Duration, spec RequestSpec) CountAssignment {
	assignment := CountAssignment{
		Key: 77, Plan: spec.Plan, GatewayCount: spec.GatewayCount, Weight: r.weights[0],
		CheckOtherCounts: r.checkOthers,
		Completed:        func(_ bool, units float64) { r.completed = append(r.completed, units) },
	}
	if len(r.weights) > 1 {
		r.weights = r.weights[1:]
	}
	return assignment
}

func (r *fakeRules) HandleCounterCall() {}

func (f *fixture) setRules(rules *fakeRules) {
	f.Helper()
	if err := f.dispatcher.SetCountingRules(rules); err != nil {
		f.Fatal(err)
	}
}

// A request is charged by the weight that it was assigned at its admission, no matter how late its
// answer arrives.
func TestCountAssignment_lateAnswerKeepsWeightOfAdmission(t *testing.T) {
	f := newFixture(t)
	rules := &fakeRules{weights: []float64{3, 1}}
	f.setRules(rules)
	request, _ := f.forwardRequest(0, time.Second)
	request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 5, Usage: 1.5})
	f.admit(0, 0, time.Second)
	for call := range f.counterCalls { // a call that opens a new window may come first
		if call.units > 0 {
			if call.units != 15 || len(rules.completed) != 1 || rules.completed[0] != 15 {
				t.Errorf("charged %v, completed with %v", call.units, rules.completed)
			}
			return
		}
	}
}

// A request that another count rejects never reaches the module. A client that disconnects during
// the check gets no answer.
func TestCountAssignment_otherCountsAreCheckedFirst(t *testing.T) {
	f := newFixture(t)
	answers := make(chan func(bool), 2)
	f.setRules(&fakeRules{weights: []float64{1}, checkOthers: func(then func(bool)) { answers <- then }})
	refused, disconnected := f.admit(0, 0, time.Second), f.admit(0, 0, time.Second)
	(<-answers)(false)
	f.expectAction(refused, Reject)
	disconnected.Disconnect()
	(<-answers)(true)
	f.expectAction(disconnected, Disconnected)
	if len(f.counterCalls) > 0 || len(f.dispatcher.requests) > 0 {
		t.Errorf("%d calls, %d requests in flight", len(f.counterCalls), len(f.dispatcher.requests))
	}
}

// An answer that coincides with the final decision or with the disconnect of the client does not
// complete the request a second time.
func TestRequest_completesOnceWhenEventsCoincide(t *testing.T) {
	for name, want := range map[string]Action{"final decision": Reject, "client disconnects": Disconnected} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, withLongTimeouts)
			rules := &fakeRules{weights: []float64{1}}
			f.setRules(rules)
			request, forward := f.forwardRequest(0, time.Hour)
			forward.BeginSend()
			if want == Disconnected {
				request.Disconnect()
			} else {
				f.expireTimeout(request)
			}
			f.expectAction(request, want) // the final decision is made; the answer arrives after it
			request.Disconnect()
			request.ReportResult(Result{Outcome: policy.Answered, ActualUnits: 5})
			request.Disconnect()
			f.dispatcher.lock()
			defer f.dispatcher.unlock()
			if len(rules.completed) != 1 || len(request.decisions) != 0 || len(f.dispatcher.requests) != 0 {
				t.Errorf("completed %d times, %d more decisions, %d requests in flight",
					len(rules.completed), len(request.decisions), len(f.dispatcher.requests))
			}
		})
	}
}
