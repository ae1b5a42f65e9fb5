package baseline

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harrierhoist/policy"
)

// recordingHost records the calls that decide requests.
type recordingHost struct {
	policy.Host // nil: the baselines call nothing else
	calls       []string
}

func (h *recordingHost) record(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *recordingHost) Attempt(id, server uint32, _ time.Duration) {
	h.record("attempt %d at %d", id, server)
}

func (h *recordingHost) Cancel(id uint32, attempt int)     { h.record("cancel %d/%d", id, attempt) }
func (h *recordingHost) Reject(id uint32, _ time.Duration) { h.record("reject %d", id) }
func (h *recordingHost) Terminate(id uint32)               { h.record("terminate %d", id) }
func (h *recordingHost) SetTimer(uint64, time.Duration)    {}
func (h *recordingHost) CancelTimer(uint64)                {}

// Classes of the tests' settings.
const (
	idempotent = iota
	keyed
	nonIdempotent
)

func newTestPolicy(t *testing.T, newPolicy Constructor) (Policy, *recordingHost) {
	t.Helper()
	host := &recordingHost{}
	p, err := newPolicy(policy.Settings{
		Classes: []policy.TrafficClass{
			{Effect: policy.Idempotent}, {Effect: policy.Keyed}, {Effect: policy.NonIdempotent},
		},
		Plans: []policy.Plan{{Rate: 4, Burst: 4}},
	}, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	return p, host
}

func listReady(p Policy, servers ...uint32) {
	var list []policy.Endpoint
	for _, server := range servers {
		list = append(list, policy.Endpoint{Server: server, State: policy.Ready})
	}
	p.HandleEndpoints(0, policy.ListFull, list)
}

func TestPlainPolicy_answersOnce(t *testing.T) {
	timedOut := func(p Policy) { p.HandleTimer(time.Second, 1) }
	result := func(outcome policy.Outcome) func(p Policy) {
		return func(p Policy) {
			p.HandleAttemptResult(time.Second, policy.AttemptResult{RequestID: 1, Server: 5, Outcome: outcome})
		}
	}
	for _, test := range []struct {
		name  string
		class int
		event func(p Policy)
		want  []string
	}{
		{"rejected by the server", nonIdempotent, result(policy.Rejected), []string{"reject 1"}},
		{"not connected", keyed, result(policy.ConnectFailed), []string{"reject 1"}},
		{"not sent", nonIdempotent, result(policy.NotSent), []string{"reject 1"}},
		{"reset, idempotent", idempotent, result(policy.Reset), []string{"reject 1"}},
		{"reset, keyed", keyed, result(policy.Reset), []string{"terminate 1"}},
		{"reset, not idempotent", nonIdempotent, result(policy.Reset), []string{"terminate 1"}},
		{"deadline, idempotent", idempotent, timedOut, []string{"reject 1", "cancel 1/0"}},
		{"deadline, not idempotent", nonIdempotent, timedOut, []string{"terminate 1", "cancel 1/0"}},
		{"client disconnected", nonIdempotent, func(p Policy) {
			p.HandleDisconnect(time.Second, 1)
			timedOut(p)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, host := newTestPolicy(t, Random)
			listReady(p, 5)
			p.HandleRequest(0, policy.Request{ID: 1, Class: test.class, Units: 1, Deadline: time.Second})
			test.event(p)
			result(policy.Cancelled)(p) // a later result, or that of the attempt that was cancelled, answers nothing
			if want := append([]string{"attempt 1 at 5"}, test.want...); !slices.Equal(host.calls, want) {
				t.Errorf("calls %q, want %q", host.calls, want)
			}
		})
	}
}

func TestPlainPolicy_admitsItsShareOfTheQuota(t *testing.T) {
	for _, test := range []struct {
		name      string
		newPolicy Constructor
		want      int // admitted of ten requests at once, with a burst of 4 over two gateways
	}{{"random", Random, 10}, {"even", Even, 2}, {"bucket", Bucket, 4}} {
		t.Run(test.name, func(t *testing.T) {
			p, host := newTestPolicy(t, test.newPolicy)
			listReady(p, 5)
			for id := range uint32(10) {
				p.HandleRequest(0, policy.Request{ID: id, Units: 1, GatewayCount: 2, Deadline: time.Second})
			}
			admitted := 0
			for _, call := range host.calls {
				if call[0] == 'a' {
					admitted++
				}
			}
			if admitted != test.want || len(host.calls) != 10 {
				t.Errorf("%d of %d requests admitted, want %d of 10", admitted, len(host.calls), test.want)
			}
		})
	}
}

func TestPlainPolicy_sendsToReadyServersOnly(t *testing.T) {
	p, host := newTestPolicy(t, Even)
	listReady(p, 5, 6)
	p.HandleEndpoints(0, policy.ListDelta, []policy.Endpoint{{Server: 5, State: policy.Draining}})
	p.HandleEndpoints(0, policy.ListFailed, nil)
	p.HandleRequest(0, policy.Request{ID: 1, Units: 1, GatewayCount: 1, Deadline: time.Second})
	p.HandleEndpoints(0, policy.ListFull, nil)
	p.HandleRequest(0, policy.Request{ID: 2, Units: 1, GatewayCount: 1, Deadline: time.Second})
	if want := []string{"attempt 1 at 6", "reject 2"}; !slices.Equal(host.calls, want) {
		t.Errorf("calls %q, want %q", host.calls, want)
	}
}
