package listener

import "time"

// disconnectPollInterval is how often a client is checked for a disconnect while nothing is read
// from it. 0.1 s after a client has disconnected, its requests must not be attempted any more.
const disconnectPollInterval = 25 * time.Millisecond

// waitConnected waits for done while nothing is read from the client. It returns false if limit
// fires first, or if the client disconnects. A disconnect behind unread bytes would not be noticed
// otherwise: the requests of a client that sends many at once and disconnects would be attempted
// and retried for nobody.
func (c *connection) waitConnected(done <-chan struct{}, limit <-chan time.Time) bool {
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
		case <-limit:
			return false
		case <-ticker.C:
			if c.IsPeerClosed() {
				return false
			}
		}
	}
}
