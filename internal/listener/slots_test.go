package listener

import (
	"testing"
	"time"

	"harrierhoist/internal/resp"
	"harrierhoist/internal/testing/fakes"
)

// fullListener is a front of eight places: so many clients have just come and say nothing, the others were answered.
func fullListener(t *testing.T, young int) *Listener {
	t.Helper()
	f := &Listener{slots: make(chan struct{}, 8), clients: map[*client]struct{}{}}
	for i := range cap(f.slots) {
		near, _ := fakes.ConnPair(t)
		c := &client{conn: resp.NewConn(near), lastUsed: time.Now(), unanswered: i < young}
		if c.unanswered {
			c.lastUsed = c.lastUsed.Add(time.Hour) // young throughout
		}
		f.clients[c] = struct{}{}
	}
	return f
}

func (f *Listener) closedClients() (n int) {
	for c := range f.clients {
		if c.closed {
			n++
		}
	}
	return n
}

func TestEvict_idleAnsweredClients(t *testing.T) {
	f := fullListener(t, 2)
	if f.evict(0); f.closedClients() != 1 {
		t.Errorf("%d of those answered a moment ago made room", f.closedClients())
	}
}

func TestEvict_floodOfSilentClientsEvictsNoAnsweredClient(t *testing.T) {
	f := fullListener(t, 7)
	if f.evict(0); f.closedClients() != 0 {
		t.Error("a client lost its place to a flood")
	}
}

func TestIdleState(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		client *client
		idle   bool
	}{
		"answered":           {&client{lastUsed: now}, true},
		"with a task":        {&client{lastUsed: now, commands: 1}, false},
		"ended":              {&client{lastUsed: now, closed: true}, false},
		"just connected":     {&client{lastUsed: now.Add(time.Hour), unanswered: true}, false},
		"connected, and mum": {&client{lastUsed: now.Add(-newClientGrace), unanswered: true}, true},
	} {
		if _, _, idle := c.client.idleState(); idle != c.idle {
			t.Errorf("%s: idle %v", name, idle)
		}
	}
}
