package listener

import (
	"time"

	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

// The gateway must stop attempting a client's requests within 100 ms of its disconnect.
const (
	// disconnectPollInterval is the time between checks for a disconnect while nothing is read from
	// the client.
	disconnectPollInterval = 25 * time.Millisecond
	// maxPresenceAge is how long a client counts as connected after it was last known to be.
	maxPresenceAge = 75 * time.Millisecond
)

// presence returns the presence of the client for the request whose answer has the given pipeline ID.
// While unread bytes may hide a disconnect, answers show whether the client is connected. So the
// presence is unverifiable if the request's own answer is the next one and the client has received
// all earlier ones.
func (c *client) presence(pipelineID uint) policy.Presence {
	isNext := c.isNextWritten(pipelineID) // before the system is queried, so that the query covers the answer before
	presence := c.conn.presence()
	if presence == policy.ClientUnverifiable && !isNext {
		return policy.ClientUnknown
	}
	return presence
}

// presence returns the presence of the client. It is unknown or unverifiable if unread bytes may hide a
// disconnect: unknown while the client has yet to acknowledge an answer. It queries the system
// unless the client was known to be connected less than disconnectPollInterval ago.
func (c *connection) presence() policy.Presence {
	if time.Since(c.lastConnected()) <= disconnectPollInterval {
		return policy.ClientConnected
	}
	peer := c.checkPeer()
	switch {
	case peer.IsClosed:
		return policy.ClientDisconnected
	case time.Since(c.lastConnected()) <= maxPresenceAge:
		return policy.ClientConnected
	case peer.HasUnacknowledged:
		return policy.ClientUnknown
	default:
		return policy.ClientUnverifiable
	}
}

// checkPeer queries the system for the state of the client and records when it was connected.
func (c *connection) checkPeer() resp.PeerState {
	peer := c.PeerState()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.recordConnected(peer.OpenAt)
	return peer
}

// lastConnected returns the latest time at which the client is known to have been connected.
func (c *connection) lastConnected() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.connectedAt
}

// waitConnected waits for done while nothing is read from the client. It returns false if the client
// disconnects. It polls for the disconnect because a read reports it
// only after all earlier bytes. Without the polling, the requests of a client that pipelines many
// and disconnects would be attempted and retried although no client waits for the answers.
func (c *connection) waitConnected(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ticker.C:
			if c.IsPeerClosed() {
				return false
			}
		}
	}
}
