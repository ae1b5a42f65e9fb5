package listener

import (
	"time"

	"harrierhoist/internal/resp"
)

// disconnectPollInterval is how often a client is looked at while nothing is read from it: from its end on, what it asked counts as
// not wanted after 0.1 s.
const disconnectPollInterval = 25 * time.Millisecond

// waitConnected waits for something while nothing is read from the client. False: the time is over, or the client has gone.
// It guards against an end that stands behind bytes that are not read: a client that sends much at once and goes would
// have its tasks carried on, and tried again, for nobody.
func (c *client) waitConnected(done <-chan struct{}, limit <-chan time.Time) bool {
	select {
	case <-done:
		return true
	default:
	}
	look := time.NewTicker(disconnectPollInterval)
	defer look.Stop()
	for {
		select {
		case <-done:
			return true
		case <-limit:
			return false
		case <-look.C:
			if c.conn.IsPeerClosed() {
				return false
			}
		}
	}
}

// answerMalformed answers a message that could not be read, in its turn, and ends the connection. One that got stuck half-way has
// no answer of its own: those before it are answered.
func (c *client) answerMalformed(turn uint, stuck bool, bad resp.ProtocolError) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.answer(turn, func() error {
			if stuck {
				return nil
			}
			return c.conn.WriteLine("-ERR " + bad.Error())
		})
	}()
	if c.waitConnected(done, nil) {
		c.conn.CloseAfterError(malformedCloseTimeout)
	}
}
