package host

import (
	"harrierhoist/internal/simulator/frame"
	"harrierhoist/policy"
)

// percent is the unit in which a customer's use of its rate is reported.
const percent = 100

func requestOf(message frame.Request) policy.Request {
	return policy.Request{
		ID: message.ID, Class: int(message.Class), Plan: int(message.Plan), Customer: message.Customer,
		FirstGateway: int(message.FirstGateway), GatewayCount: int(message.GatewayCount), Units: float64(message.Units),
		Deadline: message.Deadline, Repeat: message.Options&frame.OptionRepeat != 0,
	}
}

func attemptResultOf(message frame.AttemptResult) policy.AttemptResult {
	return policy.AttemptResult{
		RequestID: message.RequestID, Attempt: int(message.Attempt), Server: message.Server,
		Outcome: outcomeOf(message.Outcome), Latency: message.Elapsed, Final: message.Final,
		ActualUnits: float64(message.ActualUnits), Usage: usageOf(message.UsagePercent), LoadReport: message.LoadReport,
	}
}

func countResultOf(message frame.Count) policy.CountResult {
	return policy.CountResult{
		Name: message.Name, Total: float64(message.Total), Latency: message.Elapsed,
		Outcome: outcomeOf(message.Outcome),
	}
}

// outcomes are the codes by which the frames tell how an attempt, a call or a health check ended.
var outcomes = map[uint8]policy.Outcome{
	0:   policy.Answered,
	5:   policy.Errored,
	11:  policy.Rejected,
	104: policy.Reset,
	110: policy.TimedOut,
	111: policy.ConnectFailed,
	114: policy.NotSent,
	125: policy.Cancelled,
}

// outcomeOf takes a code that is not known for an error: what it means may have run.
func outcomeOf(code uint8) policy.Outcome {
	if outcome, known := outcomes[code]; known {
		return outcome
	}
	return policy.Errored
}

// usageOf turns 1 + a customer's use in percent of its rate, or its limit, into 1 + the part; 0
// stays not reported.
func usageOf(percentPlusOne uint16) float64 {
	if percentPlusOne == 0 {
		return 0
	}
	return 1 + float64(percentPlusOne-1)/percent
}

// listKindOf takes a code that is not known for a failure: the earlier list stands.
func listKindOf(code uint8) policy.ListKind {
	switch code {
	case frame.ListDelta:
		return policy.ListDelta
	case frame.ListFull:
		return policy.ListFull
	case frame.ListCached:
		return policy.ListCached
	default:
		return policy.ListFailed
	}
}

// stateOf takes a code that is not known for a removal.
func stateOf(code uint8) policy.EndpointState {
	switch code {
	case frame.StateReady:
		return policy.Ready
	case frame.StateDraining:
		return policy.Draining
	default:
		return policy.Removed
	}
}

func endpointsOf(list []frame.Endpoint) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, 0, len(list))
	for _, endpoint := range list {
		endpoints = append(endpoints, policy.Endpoint{
			Server: endpoint.Server, State: stateOf(endpoint.State), Capacity: float64(endpoint.Capacity),
			StartedAt: endpoint.StartedAt, Rack: int(endpoint.Rack), Zone: int(endpoint.Zone),
			Hardware: int(endpoint.Hardware),
		})
	}
	return endpoints
}
