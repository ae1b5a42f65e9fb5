package policy

import (
	"testing"
	"time"
)

// restartServer delivers a list in which server 1 has started anew, beside count others.
func (h *harness) restartServer(others int) {
	list := []Endpoint{{Server: 1, State: Ready, Capacity: 1, StartedAt: h.now - time.Hour}}
	for i := range others {
		list = append(list, Endpoint{Server: uint32(i + 2), State: Ready, Capacity: 1})
	}
	h.gateway.HandleEndpoints(h.now, ListFull, list)
}

// Guards against a new process that is ejected for the failures of the one before at its address.
func TestServer_failuresOfAnEarlierProcessDoNotCount(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	const attempts = 8
	for id := uint32(1); id <= attempts; id++ {
		h.request(id, 2, 0, 1)
	}
	h.restartServer(0)
	for id := uint32(1); id <= attempts; id++ {
		h.finishAttempt(id, Reset)
	}
	h.wantLogged("log server ejected", 0)
	server := h.gateway.balancer.serversByID[1]
	if server.failureScore != 0 || server.lastFailure.happened() {
		t.Errorf("failure score %d", server.failureScore)
	}
}

// Guards against a keyed request that runs twice: the process that would drop its repeat has gone, and a
// new one has come up under its name.
func TestRetry_restartedServerMayNotKnowTheKey(t *testing.T) {
	const keyedByRack, keyedByAll, idempotent = 1, 3, 0
	for name, row := range map[string]struct{ class, others, attempts int }{
		"the only server of its rack": {keyedByRack, 0, 1},
		"another one in its rack":     {keyedByRack, 1, 2},
		"keyed for all servers":       {keyedByAll, 0, 1},
		"idempotent":                  {idempotent, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 1)
			h.request(1, row.class, 0, 1)
			h.restartServer(row.others)
			h.advance(20 * ms)
			h.finishAttempt(1, Reset)
			h.wantAttempts(1, row.attempts)
			if row.others > 0 && h.attempts[1].server == 1 {
				t.Error("retried at the restarted server")
			}
		})
	}
}
