package listener

import "time"

// disconnectPollInterval is the time between checks for a disconnect while nothing is read from the
// client. The gateway must stop attempting a client's requests within 100 ms of its disconnect.
const disconnectPollInterval = 25 * time.Millisecond

// waitConnected waits for done while nothing is read from the client. It returns false if limit
// fires first, or if the client disconnects. It polls for the disconnect because a read reports it
// only after all earlier bytes. Without the polling, the requests of a client that pipelines many
// and disconnects would be attempted and retried although no client waits for the answers.
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
