package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const goldenRequests = 2500 // requests, including repeats, after which a run starts no new ones

// goldenWorld simulates the environment of one module from a seed: clients, servers, the endpoint
// list, the counter and the timers. It is also the module's Host, and writes each call to a hash.
type goldenWorld struct {
	*testing.T
	goldenCase
	digest      hash.Hash
	calls       map[string]int // number of recorded calls by kind
	module      *Gateway
	random      *rand.Rand
	now         time.Duration
	queue       []goldenEvent // pending events, the next one first
	eventsAdded int           // number of events that were ever in the queue
	requests    map[uint32]*goldenRequest
	lastID      uint32             // ID of the latest request
	totals      map[uint64]float64 // the counter's totals by name
	listed      []Endpoint         // the endpoint list
	inForce     Settings           // the module's settings
}

// goldenEvent is an action at a time: the expiry of a timer or any other event.
type goldenEvent struct {
	at      time.Duration
	number  int // position in the order in which events were added
	isTimer bool
	token   uint64 // token of the timer
	do      func()
}

type goldenRequest struct {
	request  Request
	attempts []uint32 // server of each attempt
}

func newGoldenWorld(t *testing.T, c goldenCase, seed int64) *goldenWorld {
	t.Helper()
	w := &goldenWorld{
		T: t, goldenCase: c, digest: sha256.New(), calls: map[string]int{}, random: rand.New(rand.NewSource(seed)),
		now: time.Minute, requests: map[uint32]*goldenRequest{}, totals: map[uint64]float64{}, inForce: c.settings,
	}
	var err error
	if w.module, err = New(c.settings, seed, w); err != nil {
		t.Fatal(err)
	}
	for n := range c.servers {
		w.listed = append(w.listed, w.server(uint32(n+1)))
	}
	return w
}

// run processes events until none is left and returns the hash of all calls.
func (w *goldenWorld) run() string {
	w.module.HandleEndpoints(w.now, ListCached, w.listed)
	w.module.SetSharingGateways(w.sharingGateways)
	w.after(0, w.arrival)
	w.after(time.Second, w.changeList)
	w.after(3*time.Second, w.injectFault)
	for i, change := range w.changes {
		w.after(time.Duration(i+1)*60*time.Second/time.Duration(len(w.changes)+1), func() { w.reconfigure(change) })
	}
	for len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, next.at)
		next.do()
	}
	return hex.EncodeToString(w.digest.Sum(nil))
}

// after schedules an action after a pause.
func (w *goldenWorld) after(pause time.Duration, do func()) {
	w.add(goldenEvent{at: w.now + pause, do: do})
}

// add inserts an event into the queue by time, and after earlier events of the same time.
func (w *goldenWorld) add(e goldenEvent) {
	w.eventsAdded++
	e.number = w.eventsAdded
	at, _ := slices.BinarySearchFunc(w.queue, e, func(a, b goldenEvent) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.number - b.number
	})
	w.queue = slices.Insert(w.queue, at, e)
}

// chance returns true with the given probability.
func (w *goldenWorld) chance(probability float64) bool { return w.random.Float64() < probability }

// between returns a random duration from low to high.
func (w *goldenWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int63n(int64(high-low)+1))
}

// phase returns the current fault. 0: none; 1: some servers fail; 2: all servers are slow; 3: the
// counter fails; 4: some answers are slow; 5: most servers fail.
func (w *goldenWorld) phase() int { return int(w.now/(5*time.Second)) % 6 }

// arrival sends a first try and schedules the next one, with a long pause after every 1000
// requests.
func (w *goldenWorld) arrival() {
	r := w.randomRequest()
	w.send(r)
	if r.ID%5 == 0 {
		w.after(w.between(0, time.Second), func() { w.module.HandleDisconnect(w.now, r.ID) })
	}
	pause := w.between(0, []time.Duration{60, 40, 20, 60, 15, 60}[w.phase()]*ms)
	switch {
	case len(w.requests) >= goldenRequests:
		return
	case len(w.requests)%1000 == 0:
		pause = 65 * time.Second
	}
	w.after(pause, w.arrival)
}

// randomRequest returns a random request. The customer's number determines its plan.
func (w *goldenWorld) randomRequest() Request {
	customer := w.random.Intn(3 * len(w.inForce.Plans))
	if w.chance(0.05) {
		customer += 1000 * len(w.inForce.Plans) * w.random.Intn(100) // a customer that rarely sends another request
	}
	class := w.random.Intn(len(w.inForce.Classes))
	timeout := w.inForce.Classes[class].Timeout
	if w.chance(0.1) {
		timeout = w.between(0, timeout)
	}
	return Request{
		Class: class, Plan: customer % len(w.inForce.Plans), Customer: uint64(customer), FirstGateway: w.random.Intn(3),
		GatewayCount: w.random.Intn(w.settings.Gateways + 2), Units: float64(w.random.Intn(16)) / 4,
		Deadline: w.now + timeout, PreferredOwner: w.random.Intn(w.owners + 1),
	}
}

// send sends a request under a new ID. If its class or plan is retired, it uses the first active
// ones.
func (w *goldenWorld) send(r Request) {
	w.lastID++
	r.ID = w.lastID
	if class := w.inForce.Classes[r.Class]; class.Retired || w.inForce.Plans[r.Plan].Retired {
		r.Class, r.Plan = w.firstActive()
	}
	w.requests[r.ID] = &goldenRequest{request: r}
	w.module.HandleRequest(w.now, r)
	w.record("admitted", r.ID, w.module.IsAdmitted(r.ID))
}

// firstActive returns the first class and the first plan that are not retired.
func (w *goldenWorld) firstActive() (class, plan int) {
	return slices.IndexFunc(w.inForce.Classes, func(c TrafficClass) bool { return !c.Retired }),
		slices.IndexFunc(w.inForce.Plans, func(p Plan) bool { return !p.Retired })
}

// injectFault causes a rare event: a pause of the process, a counter that lost its totals, events
// of unknown requests, calls and timers, ignored events, or a change in the number of sharing
// gateways.
func (w *goldenWorld) injectFault() {
	if len(w.requests) >= goldenRequests {
		return
	}
	unknown := w.lastID + 1000
	switch w.random.Intn(8) {
	case 0, 1:
		w.now += w.between(20*ms, 400*ms)
	case 2:
		clear(w.totals)
	case 3:
		w.module.SetSharingGateways(w.sharingGateways * w.random.Float64() * 2)
	case 4:
		w.module.HandleAttemptResult(w.now, AttemptResult{RequestID: unknown})
		w.module.HandleDisconnect(w.now, unknown)
		w.module.HandleStreamStart(w.now, unknown, 0)
	case 5:
		w.module.HandleCount(w.now, CountResult{Name: w.random.Uint64(), Total: 5})
		w.module.HandleTimer(w.now, w.random.Uint64())
	case 6:
		w.module.HandleHealthCheck(w.now, 1, Answered, ms, []float32{1, 2})
		w.module.HandlePeerMessage(w.now, 1, []byte("gossip"))
	case 7:
		w.module.HandleDisconnect(w.now, w.lastID)
		w.record("window", w.lastID, w.module.RetryDeadline(w.lastID), w.module.RetryDeadline(unknown),
			w.module.IsAdmitted(unknown))
	}
	w.after(w.between(100*ms, 2*time.Second), w.injectFault)
}

func (w *goldenWorld) reconfigure(change Settings) {
	inForce, err := w.module.Reconfigure(w.now, change)
	w.inForce = inForce
	w.record("settings", err == nil, inForce.Gateways, inForce.SendsRetryAfter, inForce.HasCounter)
	for _, class := range inForce.Classes {
		w.record("class", class.Name, class.Retired, class.LatencyObjective)
	}
	for _, plan := range inForce.Plans {
		w.record("plan", plan.Name, plan.Retired, plan.Rate, plan.MaxInFlight)
	}
}

// record writes a call and its arguments to the hash, with durations and floats in full precision.
func (w *goldenWorld) record(kind string, values ...any) {
	w.calls[kind]++
	if _, err := fmt.Fprintln(w.digest, append([]any{int64(w.now), kind}, values...)...); err != nil {
		w.Fatal(err) // does not happen: a hash returns no errors
	}
}
