package host

import (
	"fmt"
	"time"

	"harrierhoist/internal/gateway/config"
	"harrierhoist/internal/simulator/frame"
	"harrierhoist/policy"
)

// instance is one gateway, and the policy.Host that it calls.
type instance struct {
	number  uint32
	gateway *policy.Gateway
	reply   *frame.Reply // to the batch that is run
	failed  bool
}

func newInstance(number uint32, start frame.Start) (*instance, error) {
	lines, err := config.ParseLines(string(start.Settings))
	if err != nil {
		return nil, err
	}
	settings, err := config.ReadSettings(lines)
	if err != nil {
		return nil, err
	}
	i := &instance{number: number}
	i.gateway, err = policy.New(settings, int64(start.Seed), i)
	if err != nil {
		return nil, err
	}
	return i, nil
}

// handleRecovering hands the gateway an event. A panic in its decisions becomes one internal error,
// and the instance is silent from there on.
func (i *instance) handleRecovering(now time.Duration, message frame.Message) {
	if i.failed {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			i.failed = true
			i.nextAction().InternalError(fmt.Sprint(cause))
		}
	}()
	i.handle(now, message)
}

// handle hands the gateway an event in the types of package policy.
func (i *instance) handle(now time.Duration, message frame.Message) {
	switch message := message.(type) {
	case frame.Endpoints:
		i.gateway.HandleEndpoints(now, listKindOf(message.Kind), endpointsOf(message.Endpoints))
	case frame.Request:
		i.gateway.HandleRequest(now, requestOf(message))
	case frame.AttemptResult:
		i.gateway.HandleAttemptResult(now, attemptResultOf(message))
	case frame.StreamStart:
		i.gateway.HandleStreamStart(now, message.RequestID, int(message.Attempt))
	case frame.Disconnect:
		i.gateway.HandleDisconnect(now, message.RequestID)
	case frame.Timer:
		i.gateway.HandleTimer(now, message.Token)
	case frame.Count:
		i.gateway.HandleCount(now, countResultOf(message))
	case frame.HealthCheck:
		i.gateway.HandleHealthCheck(
			now,
			message.Server,
			outcomeOf(message.Outcome),
			message.Elapsed,
			message.LoadReport,
		)
	case frame.PeerMessage:
		i.gateway.HandlePeerMessage(now, int(message.From), message.Bytes)
	}
}

// nextAction gives the reply with this instance named.
func (i *instance) nextAction() *frame.Reply {
	i.reply.SetInstance(i.number)
	return i.reply
}

// Attempt sends a request to a server.
func (i *instance) Attempt(requestID, server uint32, deadline time.Duration) {
	i.nextAction().Attempt(requestID, deadline, server)
}

// Cancel ends the wait on an attempt.
func (i *instance) Cancel(requestID uint32, attempt int) {
	i.nextAction().Cancel(requestID, uint16(attempt))
}

// Reject is a final answer that makes asking again harmless.
func (i *instance) Reject(requestID uint32, retryAfter time.Duration) {
	i.nextAction().Reject(requestID, retryAfter)
}

// Terminate is a final answer that promises nothing.
func (i *instance) Terminate(requestID uint32) { i.nextAction().Terminate(requestID) }

// Count calls the counter.
func (i *instance) Count(name uint64, ttl time.Duration, units float64) {
	i.nextAction().Count(name, ttl, float32(units))
}

// CheckHealth asks a server for its load report.
func (i *instance) CheckHealth(server uint32) { i.nextAction().CheckHealth(server) }

// SendPeer sends a message to a peer, or to all of them where its number is below 0.
func (i *instance) SendPeer(gateway int, message []byte) {
	peer := uint16(frame.AllPeers)
	if gateway >= 0 {
		peer = uint16(gateway)
	}
	i.nextAction().SendPeer(peer, message)
}

// WatchEndpoints subscribes to the endpoint list.
func (i *instance) WatchEndpoints() { i.nextAction().WatchEndpoints(true) }

// SetTimer asks for a timer.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.nextAction().SetTimer(token, after)
}

// CancelTimer does nothing: timers of the simulator cannot be taken back.
func (i *instance) CancelTimer(uint64) {}

// Log leaves a line in the simulator's report.
func (i *instance) Log(line string) { i.nextAction().Log(line) }
