// Package sim hosts gateways on the simulator's wire: any number of instances that share nothing. It
// translates records into the module's types and the module's calls into records, and decides nothing.
package host

import (
	"fmt"
	"io"
	"time"

	"harrierhoist/internal/config"
	"harrierhoist/internal/simulator/frame"
	"harrierhoist/policy"
)

// Run answers batches until the input ends.
func Run(in io.Reader, out io.Writer) error {
	reader := frame.NewReader(in)
	instances := map[uint32]*instance{}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply, malformed := runBatch(instances, batch)
		if malformed != nil {
			malformed.Batch = reader.BatchesBegun()
			return malformed
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", reader.BatchesBegun(), err)
		}
	}
}

// runBatch plays one batch. Actions stand in the order of the events, under the instance that each event is
// for.
func runBatch(instances map[uint32]*instance, batch *frame.Batch) ([]byte, *frame.FormatError) {
	reply := frame.NewReply(batch.Serial)
	now := config.Milliseconds(batch.ClockMs)
	var id uint32
	addressed := false
	for _, event := range batch.Events {
		if event.Code == frame.EventAddressee {
			id, addressed = event.Instance, true
			continue
		}
		if !addressed {
			return nil, &frame.FormatError{Offset: event.Offset, Reason: fmt.Sprintf("event %d before any 'to'", event.Code)}
		}
		if event.Code == frame.EventStart {
			i, err := newInstance(id, event.Payload.(frame.Start))
			if err != nil {
				return nil, &frame.FormatError{Offset: event.Offset, Reason: err.Error()}
			}
			instances[id] = i
			continue
		}
		i := instances[id]
		if i == nil {
			reason := fmt.Sprintf("event %d for gateway %d, which is not running", event.Code, id)
			return nil, &frame.FormatError{Offset: event.Offset, Reason: reason}
		}
		if event.Code == frame.EventStop {
			delete(instances, id)
			continue
		}
		i.reply = reply
		i.handleRecovering(now, event)
	}
	return reply.Bytes(), nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// instance is one gateway and the host that it calls.
type instance struct {
	id      uint32
	gateway *policy.Gateway
	reply   *frame.Reply
	failed  bool
}

func newInstance(id uint32, start frame.Start) (*instance, error) {
	pairs, err := config.ParseLines(string(start.Settings))
	if err != nil {
		return nil, err
	}
	settings, err := config.ReadSettings(pairs)
	if err != nil {
		return nil, err
	}
	i := &instance{id: id}
	i.gateway, err = policy.New(settings, int64(start.Seed), i)
	if err != nil {
		return nil, err
	}
	return i, nil
}

// handleRecovering delivers an event; a panic in the decisions becomes one internal_error, and the instance stays
// silent then.
func (i *instance) handleRecovering(now time.Duration, event frame.Event) {
	if i.failed {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			i.failed = true
			i.reply.SetInstance(i.id)
			i.reply.InternalError(fmt.Sprint(r))
		}
	}()
	i.handle(now, event)
}

func (i *instance) handle(now time.Duration, event frame.Event) {
	gateway := i.gateway
	switch event.Code {
	case frame.EventEndpoints:
		list := event.Payload.(frame.Endpoints)
		gateway.HandleEndpoints(now, listKindOf(list.Kind), endpointsOf(list.Endpoints))
	case frame.EventRequest:
		request := event.Payload.(frame.Request)
		gateway.HandleRequest(now, policy.Request{ID: request.ID, Class: int(request.Class), Plan: int(request.Plan), Customer: request.Customer,
			FirstGateway: int(request.FirstGateway), GatewayCount: int(request.GatewayCount), Units: float64(request.Units), Deadline: config.Milliseconds(request.DeadlineMs),
			Repeat: request.Options&2 != 0})
	case frame.EventAttemptResult:
		result := event.Payload.(frame.AttemptResult)
		gateway.HandleAttemptResult(now, policy.AttemptResult{RequestID: result.RequestID, Attempt: int(result.Attempt), Server: result.Server, Outcome: outcomeOf(result.Outcome),
			Latency: config.Milliseconds(result.ElapsedMs), Final: result.Final, ActualUnits: float64(result.BilledUnits),
			Usage: quotaUse(result.UsePercent), LoadReport: result.LoadReport})
	case frame.EventStreamStart:
		started := event.Payload.(frame.StreamStart)
		gateway.HandleStreamStart(now, started.RequestID, int(started.Attempt))
	case frame.EventDisconnect:
		gateway.HandleDisconnect(now, event.RequestID)
	case frame.EventTimer:
		gateway.HandleTimer(now, event.TimerToken)
	case frame.EventCount:
		count := event.Payload.(frame.Count)
		gateway.HandleCount(now, policy.CountResult{Name: count.Name, Total: float64(count.Total), Latency: config.Milliseconds(count.ElapsedMs),
			Outcome: outcomeOf(count.Outcome)})
	case frame.EventHealthCheck:
		check := event.Payload.(frame.HealthCheck)
		gateway.HandleHealthCheck(now, check.Server, outcomeOf(check.Outcome), config.Milliseconds(check.ElapsedMs), check.LoadReport)
	case frame.EventPeerMessage:
		message := event.Payload.(frame.PeerMessage)
		gateway.HandlePeerMessage(now, int(message.From), message.Bytes)
	}
}

func outcomeOf(outcome uint8) policy.Outcome {
	switch outcome {
	case 0:
		return policy.Answered
	case 11:
		return policy.Rejected
	case 110:
		return policy.TimedOut
	case 111:
		return policy.ConnectFailed
	case 104:
		return policy.Reset
	case 125:
		return policy.Cancelled
	case 114:
		return policy.NotSent
	}
	return policy.Errored // 5, and whatever else may have run
}

// quotaUse turns 1 + a customer's use in percent of its rate, or its limit, into 1 + the part; 0 stays not told.
func quotaUse(percent uint16) float64 {
	if percent == 0 {
		return 0
	}
	return 1 + float64(percent-1)/100
}

func listKindOf(kind uint8) policy.ListKind {
	switch kind {
	case 0:
		return policy.ListDelta
	case 1:
		return policy.ListFull
	case 2:
		return policy.ListCached
	}
	return policy.ListFailed
}

func endpointsOf(list []frame.Endpoint) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, 0, len(list))
	for _, endpoint := range list {
		stage := policy.Removed
		switch endpoint.Stage {
		case 2:
			stage = policy.Ready
		case 3:
			stage = policy.Draining
		}
		endpoints = append(endpoints, policy.Endpoint{Server: endpoint.Server, State: stage, Capacity: float64(endpoint.Power),
			StartedAt: config.Milliseconds(endpoint.StartedMs), Rack: int(endpoint.Rack), Zone: int(endpoint.Zone), Hardware: int(endpoint.Hardware)})
	}
	return endpoints
}

// The calls of policy.Host.

func (i *instance) nextAction() *frame.Reply {
	i.reply.SetInstance(i.id)
	return i.reply
}

// Attempt sends a task to a server.
func (i *instance) Attempt(requestID, server uint32, deadline time.Duration) {
	i.nextAction().Attempt(requestID, milliseconds(deadline), server)
}

// Cancel ends the wait on a push.
func (i *instance) Cancel(requestID uint32, number int) {
	i.nextAction().Cancel(requestID, uint16(number))
}

// Reject is a final answer that makes trying again harmless.
func (i *instance) Reject(requestID uint32, retryAfter time.Duration) {
	i.nextAction().Reject(requestID, milliseconds(retryAfter))
}

// Terminate is a final answer that promises nothing.
func (i *instance) Terminate(requestID uint32) { i.nextAction().Terminate(requestID) }

// Count calls the counter.
func (i *instance) Count(name uint64, ttl time.Duration, units float64) {
	i.nextAction().Count(name, milliseconds(ttl), float32(units))
}

// CheckHealth asks a server for its load.
func (i *instance) CheckHealth(server uint32) { i.nextAction().CheckHealth(server) }

// SendPeer sends words to a peer.
func (i *instance) SendPeer(gateway int, message []byte) {
	peer := uint16(frame.AllPeers)
	if gateway >= 0 {
		peer = uint16(gateway)
	}
	i.nextAction().SendPeer(peer, message)
}

// WatchEndpoints subscribes to the list.
func (i *instance) WatchEndpoints() { i.nextAction().WatchEndpoints(true) }

// SetTimer asks for a timer.
func (i *instance) SetTimer(token uint64, after time.Duration) {
	i.nextAction().SetTimer(token, milliseconds(after))
}

// CancelTimer does nothing: timers of the simulator cannot be taken back.
func (i *instance) CancelTimer(uint64) {}

// Log leaves a line in the report.
func (i *instance) Log(line string) { i.nextAction().Log(line) }
