package policy

import (
	"slices"
	"time"
)

// The methods of goldenWorld that implement Host.

func (w *goldenWorld) Attempt(requestID, server uint32, until time.Duration) {
	w.record("attempt", requestID, server, until, w.module.RetryDeadline(requestID))
	r := w.requests[requestID]
	number := len(r.attempts)
	r.attempts = append(r.attempts, server)
	outcome, latency := w.outcome(server, r.request.Units)
	if latency > until-w.now || outcome == TimedOut {
		outcome, latency = TimedOut, max(until-w.now, 0)
	}
	if w.inForce.Classes[r.request.Class].Stream && w.chance(0.7) {
		w.after(latency/3, func() { w.module.HandleStreamStart(w.now, requestID, number) })
	}
	w.after(latency, func() { w.end(requestID, number, outcome, latency) })
	if w.chance(0.02) {
		w.after(latency, func() { w.end(requestID, number, outcome, latency) }) // the result is reported twice
	}
}

// outcome draws an attempt's outcome and latency, depending on the phase.
func (w *goldenWorld) outcome(server uint32, units float64) (Outcome, time.Duration) {
	latency := time.Duration((5 + 15*units) * float64(ms) * (0.5 + w.random.Float64()) * float64(1+server%3))
	failureProbability := 0.05
	switch phase := w.phase(); {
	case phase == 1 && server%4 == 1, phase == 5 && server%4 > 0:
		failureProbability = 0.7
	case phase == 2, phase == 4 && w.chance(0.2):
		latency *= 6
	}
	if !w.chance(failureProbability) {
		return Answered, latency
	}
	outcomes := []Outcome{Errored, Rejected, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}
	outcome := outcomes[w.random.Intn(len(outcomes))]
	if w.chance(0.7) {
		latency = w.between(0, 3*ms)
	}
	return outcome, latency
}

// end reports the result of an attempt.
func (w *goldenWorld) end(requestID uint32, number int, outcome Outcome, latency time.Duration) {
	r := w.requests[requestID]
	result := AttemptResult{
		RequestID: requestID, Attempt: number, Server: r.attempts[number], Outcome: outcome, Latency: latency,
		Final: outcome == Answered || outcome == Errored && w.chance(0.3), LoadReport: []float32{1},
	}
	if w.inForce.ReportsUnits && w.chance(0.8) {
		result.ActualUnits = r.request.Units * (0.5 + w.random.Float64())
	}
	if w.inForce.UsageSpan > 0 && w.chance(0.5) {
		result.Usage = 1 + 1.5*w.random.Float64()
	}
	w.module.HandleAttemptResult(w.now, result)
	w.record("admitted", requestID, w.module.IsAdmitted(requestID))
}

func (w *goldenWorld) Cancel(requestID uint32, number int) {
	w.record("cancel", requestID, number)
	if w.chance(0.8) {
		latency := w.between(ms, 5*ms)
		w.after(latency, func() { w.end(requestID, number, Cancelled, latency+w.between(0, time.Second)) })
	}
}

func (w *goldenWorld) Reject(requestID uint32, retryAfter time.Duration) {
	w.record("reject", requestID, retryAfter, w.module.IsAdmitted(requestID))
	repeat := w.requests[requestID].request
	if repeat.Repeat = true; w.chance(0.3) && len(w.requests) < goldenRequests {
		w.after(retryAfter/2+w.between(0, 200*ms), func() { w.send(repeat) })
	}
}

func (w *goldenWorld) Terminate(requestID uint32) { w.record("terminate", requestID) }

func (w *goldenWorld) Count(name uint64, ttl time.Duration, units float64) {
	w.record("count", name, ttl, units)
	latency, outcome := w.between(0, 5*ms), Answered
	if w.phase() == 3 || w.chance(0.03) {
		switch w.random.Intn(12) {
		case 0, 1:
			latency, outcome = w.settings.LateCountAfter, TimedOut
		case 2:
			outcome = []Outcome{Rejected, ConnectFailed, Errored, NotSent, Reset}[w.random.Intn(5)]
		case 3:
			latency = 2 * w.settings.LateCountAfter // late
		case 4:
			latency, outcome = 200*ms, []Outcome{Answered, TimedOut}[w.random.Intn(2)] // no request waits this long
		}
	}
	w.after(latency, func() {
		if outcome == Answered || outcome == TimedOut && w.chance(0.5) {
			w.totals[name] += units
		}
		if w.chance(0.2) {
			w.totals[name] += float64(w.random.Intn(4)) // charged by another gateway
		}
		answer := CountResult{Name: name, Latency: latency, Outcome: outcome}
		if outcome == Answered {
			answer.Total = w.totals[name]
		}
		w.module.HandleCount(w.now, answer)
	})
}

func (w *goldenWorld) CheckHealth(server uint32)         { w.record("health check", server) }
func (w *goldenWorld) SendPeer(gateway int, text []byte) { w.record("peer", gateway, text) }

func (w *goldenWorld) WatchEndpoints() {
	w.record("watch")
	kind := []ListKind{ListFull, ListFull, ListCached, ListFailed}[w.random.Intn(4)]
	if kind == ListCached && w.inForce.PollList {
		kind = ListFull // the module requests the list again immediately after a cached one
	}
	if len(w.requests) < goldenRequests {
		w.after(w.between(ms, 50*ms), func() { w.module.HandleEndpoints(w.now, kind, slices.Clone(w.listed)) })
	}
}

func (w *goldenWorld) SetTimer(token uint64, after time.Duration) {
	w.record("timer", token, after)
	fire := func() { w.module.HandleTimer(w.now, token) }
	w.add(goldenEvent{at: w.now + after, isTimer: true, token: token, do: fire})
}

func (w *goldenWorld) CancelTimer(token uint64) {
	w.record("stop timer", token)
	if w.chance(0.9) {
		w.queue = slices.DeleteFunc(w.queue, func(e goldenEvent) bool { return e.isTimer && e.token == token })
	}
}

// Log records that a line was written, but not its text, which may change.
func (w *goldenWorld) Log(string) { w.record("log") }

// server returns a random list entry for a server number.
func (w *goldenWorld) server(number uint32) Endpoint {
	s := Endpoint{
		Server: number, State: Ready, Capacity: float64(w.random.Intn(3)), Rack: int(number / 2), Zone: int(number % 2),
		Hardware: int(number % 3),
	}
	if w.owners > 0 && number%3 == 0 {
		s.Owner, s.Elective = 1+w.random.Intn(w.owners), w.chance(0.7)
	}
	return s
}

// changeList changes a server of the list and reports the change, a full or cached list, or a
// failure.
func (w *goldenWorld) changeList() {
	if len(w.requests) >= goldenRequests {
		return
	}
	index := w.random.Intn(len(w.listed))
	switch s := &w.listed[index]; w.random.Intn(12) {
	case 0:
		s.State = Draining
	case 1:
		s.State = Removed
	case 2:
		s.State, s.StartedAt = Ready, w.now-w.between(0, time.Second) // restarted
	case 3:
		*s = w.server(uint32(len(w.listed) + w.random.Intn(1000) + 2)) // replaced by another server
		s.StartedAt = w.now
	default:
		s.State = Ready
	}
	switch w.random.Intn(16) {
	case 0:
		w.module.HandleEndpoints(w.now, ListFull, slices.Clone(w.listed))
	case 1:
		w.module.HandleEndpoints(w.now, ListCached, slices.Clone(w.listed))
	case 2:
		w.module.HandleEndpoints(w.now, ListFailed, nil)
	case 3:
		w.module.HandleEndpoints(w.now, ListFull, slices.Clone(w.listed[:index]))
	default:
		w.module.HandleEndpoints(w.now, ListDelta, []Endpoint{w.listed[index]})
	}
	w.after(w.between(200*ms, 3*time.Second), w.changeList)
}
