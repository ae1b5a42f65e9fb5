package listener

import "time"

// maxInFlightPerConn is the maximum number of commands in flight on a connection.
const maxInFlightPerConn = 16

// awaitToken waits until one more command may be in flight. Once a drain has stopped forwarding, it
// waits no longer: further commands are rejected, and would be lost if they stayed unread behind
// requests that hang. It returns false if the client disconnects.
func (c *client) awaitToken() bool {
	select {
	case <-c.inFlightTokens:
		return true
	default:
	}
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for !c.listener.drain.hasStoppedForwarding() {
		select {
		case <-c.inFlightTokens:
			return true
		case <-ticker.C:
			if c.conn.IsPeerClosed() {
				return false
			}
		}
	}
	return true
}

// returnTokens returns the tokens of answered commands. It discards those beyond maxInFlightPerConn:
// commands that a drain rejected have none.
func (c *client) returnTokens(commands int) {
	for range min(commands, maxInFlightPerConn) {
		select {
		case c.inFlightTokens <- struct{}{}:
		default:
			return
		}
	}
}
