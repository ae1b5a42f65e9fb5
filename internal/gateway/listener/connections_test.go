package listener

import (
	"testing"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/testing/fakes"
)

// fullConnectionTable has eight slots, all of them taken: by newCount connections that are new and stay so, and by others that
// were just answered.
func fullConnectionTable(t *testing.T, newCount int) *connectionTable {
	t.Helper()
	table := newConnectionTable(8)
	for i := range cap(table.slots) {
		near, _ := fakes.ConnPair(t)
		c := newConnection(resp.NewConn(near), newDrainState())
		if c.unanswered = i < newCount; c.unanswered {
			c.lastUsed = c.lastUsed.Add(time.Hour)
		}
		table.connections[c] = struct{}{}
	}
	return table
}

func (t *connectionTable) closedCount() (count int) {
	for c := range t.connections {
		if c.closed {
			count++
		}
	}
	return count
}

func TestEvict_idleAnsweredClients(t *testing.T) {
	table := fullConnectionTable(t, 2)
	if table.evict(0); table.closedCount() != 1 {
		t.Errorf("%d connections were closed, want 1", table.closedCount())
	}
}

func TestEvict_floodOfSilentClientsEvictsNoAnsweredClient(t *testing.T) {
	table := fullConnectionTable(t, 7)
	if table.evict(0); table.closedCount() != 0 {
		t.Error("a client lost its slot to a flood")
	}
}

func TestIdleState(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		connection *connection
		isIdle     bool
	}{
		"answered":             {&connection{lastUsed: now}, true},
		"command in flight":    {&connection{lastUsed: now, commands: 1}, false},
		"closed":               {&connection{lastUsed: now, closed: true}, false},
		"just connected":       {&connection{lastUsed: now.Add(time.Hour), unanswered: true}, false},
		"connected and silent": {&connection{lastUsed: now.Add(-newClientGrace), unanswered: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, isIdle := c.connection.idleState(); isIdle != c.isIdle {
				t.Errorf("idle: %v, want %v", isIdle, c.isIdle)
			}
		})
	}
}
