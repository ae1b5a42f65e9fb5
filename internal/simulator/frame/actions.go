package frame

import (
	"encoding/binary"
	"math"
	"time"
)

// The codes of actions; beside them the format's own names.
const (
	ActionAttempt          = 10  // send
	ActionReject           = 20  // busy
	ActionTerminate        = 30  // drop_request
	ActionCancel           = 40  // cancel
	ActionSetTimer         = 50  // schedule
	ActionCheckHealth      = 60  // ask_load
	ActionCloseConnections = 70  // disconnect
	ActionSendPeer         = 80  // tell
	ActionLog              = 90  // log
	ActionInternalError    = 100 // internal_error
	ActionWatchEndpoints   = 110 // tail
	ActionFetchEndpoints   = 120 // lookup
	ActionCount            = 130 // add_and_get
	ActionInstance         = 140 // by
)

// AllPeers is the peer index that means all of them.
const AllPeers = 0xffff

// Reply builds one frame of actions.
type Reply struct {
	buffer      []byte
	records     uint32
	instance    uint32
	hasInstance bool
}

// NewReply begins the reply to the batch of that serial.
func NewReply(serial uint32) *Reply {
	r := &Reply{buffer: make([]byte, replyHeaderSize, 4096)}
	binary.LittleEndian.PutUint32(r.buffer[8:], serial)
	return r
}

// begin writes a record's header.
func (r *Reply) begin(code uint8, bodySize int) {
	r.buffer = append(r.buffer, code)
	r.u32(uint32(bodySize))
	r.records++
}

func (r *Reply) u16(v uint16)  { r.buffer = binary.LittleEndian.AppendUint16(r.buffer, v) }
func (r *Reply) u32(v uint32)  { r.buffer = binary.LittleEndian.AppendUint32(r.buffer, v) }
func (r *Reply) u64(v uint64)  { r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// milliseconds writes a span or time, which is sent in milliseconds.
func (r *Reply) milliseconds(d time.Duration) { r.f64(float64(d) / float64(time.Millisecond)) }

// SetInstance names the instance whose actions follow. Named again, it is left out.
func (r *Reply) SetInstance(instance uint32) {
	if r.hasInstance && r.instance == instance {
		return
	}
	r.hasInstance = true
	r.instance = instance
	r.record32(ActionInstance, instance)
}

// Attempt forwards a request to a server; by the deadline the attempt ends.
func (r *Reply) Attempt(requestID uint32, deadline time.Duration, server uint32) {
	r.begin(ActionAttempt, 16)
	r.u32(requestID)
	r.milliseconds(deadline)
	r.u32(server)
}

// Reject is a final answer: the client may ask again after a time.
func (r *Reply) Reject(requestID uint32, retryAfter time.Duration) {
	r.begin(ActionReject, 12)
	r.u32(requestID)
	r.milliseconds(retryAfter)
}

// Terminate is a final answer that says nothing of whether the request ran.
func (r *Reply) Terminate(requestID uint32) { r.record32(ActionTerminate, requestID) }

// CheckHealth asks a server for its load report.
func (r *Reply) CheckHealth(server uint32) { r.record32(ActionCheckHealth, server) }

// CloseConnections closes the idle connections to a server.
func (r *Reply) CloseConnections(server uint32) { r.record32(ActionCloseConnections, server) }

// record32 is a record whose body is one number.
func (r *Reply) record32(code uint8, v uint32) {
	r.begin(code, 4)
	r.u32(v)
}

// Cancel ends the wait on an attempt.
func (r *Reply) Cancel(requestID uint32, attempt uint16) {
	r.begin(ActionCancel, 6)
	r.u32(requestID)
	r.u16(attempt)
}

// SetTimer asks for a timer event with that token.
func (r *Reply) SetTimer(token uint64, after time.Duration) {
	r.begin(ActionSetTimer, 16)
	r.u64(token)
	r.milliseconds(after)
}

// SendPeer sends a message to a peer, or to all of them with AllPeers.
func (r *Reply) SendPeer(peer uint16, message []byte) {
	r.begin(ActionSendPeer, 4+len(message))
	r.u16(peer)
	r.u16(uint16(len(message)))
	r.buffer = append(r.buffer, message...)
}

// Log leaves a line in the simulator's report.
func (r *Reply) Log(text string) { r.text(ActionLog, text) }

// InternalError ends the run with a text.
func (r *Reply) InternalError(text string) { r.text(ActionInternalError, text) }

// text is a record with a text, cut where the format can hold no more.
func (r *Reply) text(code uint8, text string) {
	text = text[:min(len(text), maxTextSize)]
	r.begin(code, 2+len(text))
	r.u16(uint16(len(text)))
	r.buffer = append(r.buffer, text...)
}

// WatchEndpoints subscribes to changes of the endpoint list, or unsubscribes.
func (r *Reply) WatchEndpoints(enable bool) {
	r.begin(ActionWatchEndpoints, 1)
	var v byte
	if enable {
		v = 1
	}
	r.buffer = append(r.buffer, v)
}

// FetchEndpoints asks for the full endpoint list once.
func (r *Reply) FetchEndpoints() { r.begin(ActionFetchEndpoints, 0) }

// Count adds units to a number of the counter, which keeps it for a time after, and asks for its
// total.
func (r *Reply) Count(name uint64, ttl time.Duration, units float32) {
	r.begin(ActionCount, 20)
	r.u64(name)
	r.milliseconds(ttl)
	r.u32(math.Float32bits(units))
}

// Bytes closes the frame and gives it.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buffer, uint32(len(r.buffer)))
	binary.LittleEndian.PutUint32(r.buffer[4:], r.records)
	return r.buffer
}
