package listener

import (
	"net"
	"testing"
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/internal/testing/fakes"
)

// fullConnectionTable returns a table whose eight slots are occupied: newCount by connections that
// stay new, and the others by connections that were just answered.
func fullConnectionTable(t *testing.T, newCount int) *connectionTable {
	t.Helper()
	table := newConnectionTable(8)
	for i := range cap(table.slots) {
		serverSide, _ := fakes.ConnPair(t)
		c := newConnection(resp.NewConn(serverSide), newDrainState())
		c.state.hasAnswered = i >= newCount
		if !c.state.hasAnswered {
			c.state.lastUsed = c.state.lastUsed.Add(time.Hour)
		}
		table.connections[c] = struct{}{}
	}
	return table
}

func (t *connectionTable) closedCount() (count int) {
	for c := range t.connections {
		if c.state.isClosed() {
			count++
		}
	}
	return count
}

func TestEvict_idleAnsweredClients(t *testing.T) {
	table := fullConnectionTable(t, 2)
	if table.evictForSlot(); table.closedCount() != 1 {
		t.Errorf("%d connections were closed, want 1", table.closedCount())
	}
}

func TestEvict_floodOfSilentClientsEvictsNoAnsweredClient(t *testing.T) {
	table := fullConnectionTable(t, 7)
	if table.evictForSlot(); table.closedCount() != 0 {
		t.Error("an answered client was evicted in a flood")
	}
}

// Guards against the eviction of a client that was just answered, for one that has left before it.
func TestEvict_clientThatHasLeftMakesRoom(t *testing.T) {
	table := newConnectionTable(2)
	var clients []net.Conn
	for i := range cap(table.slots) {
		serverSide, client := fakes.ConnPair(t)
		c := newConnection(resp.NewConn(serverSide), newDrainState())
		c.state.hasAnswered = true
		c.state.lastUsed = c.state.lastUsed.Add(time.Duration(i))
		table.connections[c] = struct{}{}
		clients = append(clients, client)
	}
	if err := clients[0].Close(); err != nil {
		t.Fatal(err)
	}
	if table.evictForSlot(); table.closedCount() != 0 {
		t.Error("the client that stays was evicted")
	}
}

func TestActivity(t *testing.T) {
	now := time.Now()
	accepted := now.Add(-newClientGrace)
	for name, c := range map[string]struct {
		state connectionState
		want  activity
	}{
		"answered":             {connectionState{lastUsed: now, hasAnswered: true}, activityIdleAnswered},
		"command in flight":    {connectionState{lastUsed: now, hasAnswered: true, inFlight: 1}, activityBusy},
		"half closed":          {connectionState{hasAnswered: true, phase: phaseHalfClosed}, activityBusy},
		"ended":                {connectionState{hasAnswered: true, phase: phaseEnded}, activityBusy},
		"just connected":       {connectionState{lastUsed: now.Add(time.Hour)}, activityNew},
		"first command":        {connectionState{lastUsed: accepted, inFlight: 1}, activityBusy},
		"connected and silent": {connectionState{lastUsed: accepted}, activitySilent},
		"silent and ended":     {connectionState{lastUsed: accepted, phase: phaseEnded}, activityNew},
	} {
		t.Run(name, func(t *testing.T) {
			connection := connection{state: c.state}
			if got, _ := connection.currentActivity(time.Now()); got != c.want {
				t.Errorf("activity %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against clients that count as a flood while their answers are being written.
func TestHoldsNoRequest(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		state connectionState
		want  bool
	}{
		"idle":                   {connectionState{hasAnswered: true}, false},
		"command":                {connectionState{inFlight: 1}, true},
		"request":                {connectionState{inFlight: 2, requests: 1}, false},
		"answer of a request":    {connectionState{inFlight: 1, requestEnded: now}, false},
		"command after requests": {connectionState{inFlight: 1, requestEnded: now.Add(-newClientGrace)}, true},
		"command, ended":         {connectionState{inFlight: 1, phase: phaseEnded}, false},
	} {
		if got := c.state.holdsNoRequest(now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func halfClosed(at time.Time) (state connectionState) {
	state.markHalfClosed(at)
	return state
}

func TestNextCloseStep(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		state             connectionState
		hasUnacknowledged bool
		want              closeStep
	}{
		"command in flight":       {connectionState{inFlight: 1}, false, keepWaiting},
		"all answered":            {connectionState{}, false, closeSendingHalf},
		"half closed just now":    {halfClosed(now), false, keepWaiting},
		"client has not closed":   {halfClosed(now.Add(-closeTimeout)), false, stopWaiting},
		"client still reads":      {halfClosed(now.Add(-closeTimeout)), true, keepWaiting},
		"client reads no further": {halfClosed(now.Add(-writeTimeout)), true, stopWaiting},
		"ended":                   {connectionState{phase: phaseEnded}, false, keepWaiting},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.state.nextCloseStep(now, func() bool { return c.hasUnacknowledged }); got != c.want {
				t.Errorf("step %d, want %d", got, c.want)
			}
		})
	}
}
