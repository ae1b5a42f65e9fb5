// Package wire reads and writes the frames that the simulator and the adapter exchange: little-endian, a
// header, then records of a code, a length and packed fields. It knows the layouts and nothing of what they
// are for.
package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// The codes of events.
const (
	EventStart         = 10
	EventStop          = 20
	EventStreamStart   = 30
	EventDisconnect    = 40
	EventAddressee     = 50
	EventAttemptResult = 60
	EventPeerMessage   = 70
	EventRequest       = 80
	EventHealthCheck   = 90
	EventCount         = 100
	EventEndpoints     = 110
	EventTimer         = 120
)

// The codes of actions.
const (
	ActionAttempt          = 10
	ActionReject           = 20
	ActionTerminate        = 30
	ActionCancel           = 40
	ActionSetTimer         = 50
	ActionCheckHealth      = 60
	ActionCloseConnections = 70
	ActionSendPeer         = 80
	ActionLog              = 90
	ActionInternalError    = 100
	ActionWatchEndpoints   = 110
	ActionFetchEndpoints   = 120
	ActionCount            = 130
	ActionInstance         = 140
)

// AllPeers is the peer index that means all of them.
const AllPeers = 0xffff

const (
	batchHeaderSize  = 16
	replyHeaderSize  = 12
	recordHeaderSize = 5
	endpointSize     = 23
	maxFrameSize     = 1 << 30
)

// Start starts an instance.
type Start struct {
	Seed     uint64
	Settings []byte
}

// StreamStart tells that a streamed answer has started.
type StreamStart struct {
	RequestID uint32
	ElapsedMs float64
	Attempt   uint16
	Server    uint32
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	RequestID   uint32
	Attempt     uint16
	Server      uint32
	Outcome     uint8
	ElapsedMs   float64
	Final       bool
	UsePercent  uint16
	BilledUnits uint16
	LoadReport  []float32
}

// PeerMessage is a message of another instance.
type PeerMessage struct {
	From  uint32
	Bytes []byte
}

// Request is a request of a client.
type Request struct {
	ID           uint32
	Options      uint8
	Plan         uint32
	DeadlineMs   float64
	Customer     uint64
	FirstGateway float32
	Class        uint8
	GatewayCount float32
	Units        float32
}

// HealthCheck is the result of one AskLoad.
type HealthCheck struct {
	Server     uint32
	Outcome    uint8
	ElapsedMs  float64
	LoadReport []float32
}

// Count is the counter's answer to one call.
type Count struct {
	Total     float32
	ElapsedMs float64
	Name      uint64
	Outcome   uint8
}

// Endpoint is a server in a view.
type Endpoint struct {
	Stage     uint8
	Server    uint32
	Power     float32
	StartedMs float64
	Rack      uint16
	Zone      uint16
	Hardware  uint16
}

// Endpoints brings the list of servers.
type Endpoints struct {
	Generation uint64
	Kind       uint8
	Endpoints  []Endpoint
}

// Event is one record of a batch; At is the byte at which it stands, Body the layout of its code (nil for
// none).
type Event struct {
	Code       uint8
	Offset     int
	Instance   uint32 // for EvTo
	RequestID  uint32 // for EvLapsed
	TimerToken uint64 // for EvTimer
	Payload    any
}

// Batch is one frame of events.
type Batch struct {
	ClockMs float64
	Serial  uint32
	Events  []Event
}

// A BadFrame says where a frame is wrong.
type FormatError struct {
	Batch  int // counted from 1 as they came
	Offset int // from the start of the frame
	Reason string
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("batch %d, byte %d: %s", e.Batch, e.Offset, e.Reason)
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	count int
	buf   []byte
}

// NewReader reads batches from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// BatchesBegun is the number of batches begun so far.
func (r *Reader) BatchesBegun() int { return r.count }

// Next reads a batch; io.EOF means that the input ended between frames. What it returns is valid until the
// next call.
func (r *Reader) Next() (*Batch, error) {
	var sizeField [4]byte
	n, err := io.ReadFull(r.in, sizeField[:])
	if err == io.EOF {
		return nil, io.EOF
	}
	r.count++
	if err != nil {
		return nil, r.truncated(n, err)
	}
	size := int(binary.LittleEndian.Uint32(sizeField[:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, &FormatError{r.count, 0, fmt.Sprintf("a frame cannot be %d bytes long", size)}
	}
	// The buffer grows as the bytes come, so that a wrong length alone claims no memory.
	r.buf = append(r.buf[:0], sizeField[:]...)
	for len(r.buf) < size {
		step := min(size-len(r.buf), 1<<20)
		at := len(r.buf)
		r.buf = append(r.buf, make([]byte, step)...)
		if n, err := io.ReadFull(r.in, r.buf[at:]); err != nil {
			return nil, r.truncated(at+n, err)
		}
	}
	batch, err := Decode(r.buf)
	var malformed *FormatError
	if errors.As(err, &malformed) {
		malformed.Batch = r.count
	}
	return batch, err
}

func (r *Reader) truncated(at int, err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return &FormatError{r.count, at, "the input ends inside a frame"}
	}
	return &FormatError{r.count, at, err.Error()}
}

// decoder walks over the fields of one record.
type decoder struct {
	data    []byte
	offset  int
	overrun bool
}

func (d *decoder) take(n int) []byte {
	if n < 0 || len(d.data)-d.offset < n {
		d.overrun = true
		return make([]byte, min(max(n, 0), 8))
	}
	d.offset += n
	return d.data[d.offset-n : d.offset]
}

func (d *decoder) u8() uint8    { return d.take(1)[0] }
func (d *decoder) u16() uint16  { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32  { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64  { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }
func (d *decoder) f64() float64 { return math.Float64frombits(d.u64()) }

func (d *decoder) bytes(n int) []byte {
	if len(d.data)-d.offset < n {
		d.overrun = true
		return nil
	}
	return append([]byte(nil), d.take(n)...)
}

func (d *decoder) loadReport() []float32 {
	n := int(d.u8())
	if len(d.data)-d.offset < 4*n {
		d.overrun = true
		return nil
	}
	var out []float32
	for range n {
		out = append(out, d.f32())
	}
	return out
}

// Decode reads one whole frame of events.
func Decode(frame []byte) (*Batch, error) {
	if len(frame) < batchHeaderSize {
		return nil, &FormatError{0, len(frame), "the header is cut short"}
	}
	if size := binary.LittleEndian.Uint32(frame); int64(size) != int64(len(frame)) {
		return nil, &FormatError{0, 0, fmt.Sprintf("the frame says %d bytes and has %d", size, len(frame))}
	}
	batch := &Batch{
		ClockMs: math.Float64frombits(binary.LittleEndian.Uint64(frame[4:])),
		Serial:  binary.LittleEndian.Uint32(frame[12:]),
	}
	for at := batchHeaderSize; at < len(frame); {
		if len(frame)-at < recordHeaderSize {
			return nil, &FormatError{0, at, "a record is cut short"}
		}
		code := frame[at]
		n := int64(binary.LittleEndian.Uint32(frame[at+1:]))
		if n > int64(len(frame)-at-recordHeaderSize) {
			return nil, &FormatError{0, at, fmt.Sprintf("event %d says %d bytes, more than the frame holds", code, n)}
		}
		d := &decoder{data: frame[at+recordHeaderSize : at+recordHeaderSize+int(n)]}
		event, known := decodeEvent(code, d)
		event.Offset = at
		switch {
		case !known:
			return nil, &FormatError{0, at, fmt.Sprintf("unknown event code %d", code)}
		case d.overrun:
			return nil, &FormatError{0, at, fmt.Sprintf("event %d is too short for its fields", code)}
		case d.offset != len(d.data):
			return nil, &FormatError{0, at, fmt.Sprintf("event %d has %d bytes too many", code, len(d.data)-d.offset)}
		}
		batch.Events = append(batch.Events, event)
		at += recordHeaderSize + int(n)
	}
	return batch, nil
}

func decodeEvent(code uint8, d *decoder) (event Event, known bool) {
	event.Code = code
	switch code {
	case EventAddressee:
		event.Instance = d.u32()
	case EventStop:
	case EventDisconnect:
		event.RequestID = d.u32()
	case EventTimer:
		event.TimerToken = d.u64()
	case EventStart:
		start := Start{Seed: d.u64()}
		start.Settings = d.bytes(int(d.u32()))
		event.Payload = start
	case EventStreamStart:
		event.Payload = StreamStart{RequestID: d.u32(), ElapsedMs: d.f64(), Attempt: d.u16(), Server: d.u32()}
	case EventAttemptResult:
		event.Payload = AttemptResult{RequestID: d.u32(), Attempt: d.u16(), Server: d.u32(), Outcome: d.u8(), ElapsedMs: d.f64(),
			Final: d.u8() != 0, UsePercent: d.u16(), BilledUnits: d.u16(), LoadReport: d.loadReport()}
	case EventPeerMessage:
		message := PeerMessage{From: d.u32()}
		message.Bytes = d.bytes(int(d.u16()))
		event.Payload = message
	case EventRequest:
		event.Payload = Request{ID: d.u32(), Options: d.u8(), Plan: d.u32(), DeadlineMs: d.f64(), Customer: d.u64(),
			FirstGateway: d.f32(), Class: d.u8(), GatewayCount: d.f32(), Units: d.f32()}
	case EventHealthCheck:
		event.Payload = HealthCheck{Server: d.u32(), Outcome: d.u8(), ElapsedMs: d.f64(), LoadReport: d.loadReport()}
	case EventCount:
		event.Payload = Count{Total: d.f32(), ElapsedMs: d.f64(), Name: d.u64(), Outcome: d.u8()}
	case EventEndpoints:
		list := Endpoints{Generation: d.u64(), Kind: d.u8()}
		n := int64(d.u32())
		if n*endpointSize > int64(len(d.data)-d.offset) {
			d.overrun = true
			break
		}
		for range n {
			list.Endpoints = append(list.Endpoints, Endpoint{Stage: d.u8(), Server: d.u32(), Power: d.f32(),
				StartedMs: d.f64(), Rack: d.u16(), Zone: d.u16(), Hardware: d.u16()})
		}
		event.Payload = list
	default:
		return event, false
	}
	return event, true
}

// Reply builds one frame of actions.
type Reply struct {
	buf         []byte
	count       uint32
	instance    uint32
	hasInstance bool
}

// NewReply begins the reply to a batch.
func NewReply(serial uint32) *Reply {
	r := &Reply{buf: make([]byte, replyHeaderSize, 4096)}
	binary.LittleEndian.PutUint32(r.buf[8:], serial)
	return r
}

func (r *Reply) begin(code uint8, n int) {
	r.buf = append(r.buf, code)
	r.u32(uint32(n))
	r.count++
}

func (r *Reply) u16(v uint16)  { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32)  { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// SetInstance names the instance whose actions follow.
func (r *Reply) SetInstance(instance uint32) {
	if r.hasInstance && r.instance == instance {
		return
	}
	r.hasInstance, r.instance = true, instance
	r.begin(ActionInstance, 4)
	r.u32(instance)
}

// Attempt commences an attempt.
func (r *Reply) Attempt(requestID uint32, deadlineMs float64, server uint32) {
	r.begin(ActionAttempt, 16)
	r.u32(requestID)
	r.f64(deadlineMs)
	r.u32(server)
}

// Reject rejects a request.
func (r *Reply) Reject(requestID uint32, retryAfterMs float64) {
	r.begin(ActionReject, 12)
	r.u32(requestID)
	r.f64(retryAfterMs)
}

// Terminate fails a request.
func (r *Reply) Terminate(requestID uint32) { r.record32(ActionTerminate, requestID) }

// CheckHealth probes a server.
func (r *Reply) CheckHealth(server uint32) { r.record32(ActionCheckHealth, server) }

// CloseConnections closes idle connections to a server.
func (r *Reply) CloseConnections(server uint32) { r.record32(ActionCloseConnections, server) }

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

// SetTimer asks for a timer.
func (r *Reply) SetTimer(token uint64, afterMs float64) {
	r.begin(ActionSetTimer, 16)
	r.u64(token)
	r.f64(afterMs)
}

// SendPeer sends bytes to a peer, or to all with ToAll.
func (r *Reply) SendPeer(peer uint16, message []byte) {
	r.begin(ActionSendPeer, 4+len(message))
	r.u16(peer)
	r.u16(uint16(len(message)))
	r.buf = append(r.buf, message...)
}

// Log leaves a line in the report.
func (r *Reply) Log(text string) { r.text(ActionLog, text) }

// InternalError ends the day with a text.
func (r *Reply) InternalError(text string) { r.text(ActionInternalError, text) }

func (r *Reply) text(code uint8, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.begin(code, 2+len(text))
	r.u16(uint16(len(text)))
	r.buf = append(r.buf, text...)
}

// WatchEndpoints subscribes to changes of the list, or unsubscribes.
func (r *Reply) WatchEndpoints(enable bool) {
	r.begin(ActionWatchEndpoints, 1)
	var v byte
	if enable {
		v = 1
	}
	r.buf = append(r.buf, v)
}

// FetchEndpoints asks for the complete list once.
func (r *Reply) FetchEndpoints() { r.begin(ActionFetchEndpoints, 0) }

// Count calls the counter.
func (r *Reply) Count(name uint64, ttlMs float64, units float32) {
	r.begin(ActionCount, 20)
	r.u64(name)
	r.f64(ttlMs)
	r.u32(math.Float32bits(units))
}

// Bytes closes the frame and gives it.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	return r.buf
}
