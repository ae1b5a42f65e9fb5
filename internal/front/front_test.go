package front

import (
	"testing"
	"time"

	"harrierhoist/internal/resp"
	"harrierhoist/internal/standin"
)

// full is a front of eight places: so many clients have just come and say nothing, the others were answered.
func full(t *testing.T, young int) *Front {
	t.Helper()
	f := &Front{places: make(chan struct{}, 8), clients: map[*client]struct{}{}}
	for i := range cap(f.places) {
		near, _ := standin.Pair(t)
		c := &client{conn: resp.NewConn(near), used: time.Now(), fresh: i < young}
		if c.fresh {
			c.used = c.used.Add(time.Hour) // young throughout
		}
		f.clients[c] = struct{}{}
	}
	return f
}

func (f *Front) left() (n int) {
	for c := range f.clients {
		if c.over {
			n++
		}
	}
	return n
}

func TestClientsThatAskOnceAndStayMakeRoomAtOnce(t *testing.T) {
	f := full(t, 2)
	if f.evict(0); f.left() != 1 {
		t.Errorf("%d of those answered a moment ago made room", f.left())
	}
}

func TestFloodOfThoseWhoSayNothingTakesNoAnsweredClientsPlace(t *testing.T) {
	f := full(t, 7)
	if f.evict(0); f.left() != 0 {
		t.Error("a client lost its place to a flood")
	}
}

func TestWhoHasJustConnectedIsNotIdle(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		client *client
		idle   bool
	}{
		"answered":           {&client{used: now}, true},
		"with a task":        {&client{used: now, busy: 1}, false},
		"ended":              {&client{used: now, over: true}, false},
		"just connected":     {&client{used: now.Add(time.Hour), fresh: true}, false},
		"connected, and mum": {&client{used: now.Add(-freshMost), fresh: true}, true},
	} {
		if _, _, idle := c.client.idle(); idle != c.idle {
			t.Errorf("%s: idle %v", name, idle)
		}
	}
}
