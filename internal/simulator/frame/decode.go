package frame

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"harrierhoist/internal/gateway/config"
)

// Batch is one frame of events.
type Batch struct {
	Now    time.Duration // on the simulator's clock
	Serial uint32        // the reply carries it back
	Events []Event
}

// Decode reads one complete frame of events. An error is a *FormatError without the number of its
// batch.
func Decode(frame []byte) (*Batch, error) {
	if len(frame) < batchHeaderSize {
		return nil, &FormatError{Offset: len(frame), Reason: "the header is cut short"}
	}
	if size := binary.LittleEndian.Uint32(frame); int64(size) != int64(len(frame)) {
		return nil, &FormatError{Reason: fmt.Sprintf("the frame says %d bytes and has %d", size, len(frame))}
	}
	batch := &Batch{
		Now:    config.Milliseconds(math.Float64frombits(binary.LittleEndian.Uint64(frame[clockOffset:]))),
		Serial: binary.LittleEndian.Uint32(frame[serialOffset:]),
	}
	for offset := batchHeaderSize; offset < len(frame); {
		message, size, reason := decodeRecord(frame[offset:])
		if reason != "" {
			return nil, &FormatError{Offset: offset, Reason: reason}
		}
		batch.Events = append(batch.Events, Event{Offset: offset, Message: message})
		offset += size
	}
	return batch, nil
}

// decodeRecord reads the record at the start of data and gives its size in bytes, or what is wrong
// with it.
func decodeRecord(data []byte) (message Message, size int, reason string) {
	if len(data) < recordHeaderSize {
		return nil, 0, "a record is cut short"
	}
	code := data[0]
	bodySize := int64(binary.LittleEndian.Uint32(data[1:]))
	if bodySize > int64(len(data)-recordHeaderSize) {
		return nil, 0, fmt.Sprintf("event %d says %d bytes, more than the frame holds", code, bodySize)
	}
	decodeBody, known := messageDecoders[code]
	if !known {
		return nil, 0, fmt.Sprintf("unknown event code %d", code)
	}
	size = recordHeaderSize + int(bodySize)
	body := &decoder{data: data[recordHeaderSize:size]}
	message = decodeBody(body)
	switch {
	case body.overrun:
		return nil, 0, fmt.Sprintf("event %d is too short for its fields", code)
	case body.offset != len(body.data):
		return nil, 0, fmt.Sprintf("event %d has %d bytes too many", code, len(body.data)-body.offset)
	}
	return message, size, ""
}

// messageDecoders read the fields of each event in the order in which they stand: Go evaluates the
// calls in a composite literal from left to right.
var messageDecoders = map[uint8]func(d *decoder) Message{
	EventStart: func(d *decoder) Message {
		start := Start{Seed: d.u64()}
		start.Settings = d.bytes(int(d.u32()))
		return start
	},
	EventStop: func(*decoder) Message { return Stop{} },
	EventStreamStart: func(d *decoder) Message {
		return StreamStart{RequestID: d.u32(), Elapsed: d.milliseconds(), Attempt: d.u16(), Server: d.u32()}
	},
	EventDisconnect: func(d *decoder) Message { return Disconnect{RequestID: d.u32()} },
	EventAddressee:  func(d *decoder) Message { return Addressee{Instance: d.u32()} },
	EventAttemptResult: func(d *decoder) Message {
		return AttemptResult{
			RequestID: d.u32(), Attempt: d.u16(), Server: d.u32(), Outcome: d.u8(), Elapsed: d.milliseconds(),
			Final: d.u8() != 0, UsagePercent: d.u16(), ActualUnits: d.u16(), LoadReport: d.loadReport(),
		}
	},
	EventPeerMessage: func(d *decoder) Message {
		message := PeerMessage{From: d.u32()}
		message.Bytes = d.bytes(int(d.u16()))
		return message
	},
	EventRequest: func(d *decoder) Message {
		return Request{
			ID: d.u32(), Options: d.u8(), Plan: d.u32(), Deadline: d.milliseconds(), Customer: d.u64(),
			FirstGateway: d.f32(), Class: d.u8(), GatewayCount: d.f32(), Units: d.f32(),
		}
	},
	EventHealthCheck: func(d *decoder) Message {
		return HealthCheck{Server: d.u32(), Outcome: d.u8(), Elapsed: d.milliseconds(), LoadReport: d.loadReport()}
	},
	EventCount: func(d *decoder) Message {
		return Count{Total: d.f32(), Elapsed: d.milliseconds(), Name: d.u64(), Outcome: d.u8()}
	},
	EventEndpoints: func(d *decoder) Message {
		return Endpoints{Generation: d.u64(), Kind: d.u8(), Endpoints: d.endpoints()}
	},
	EventTimer: func(d *decoder) Message { return Timer{Token: d.u64()} },
}

// decoder walks over the fields of one record. Past the end it gives zeros and says so in overrun.
type decoder struct {
	data    []byte
	offset  int
	overrun bool
}

// take gives the next bytes of a fixed-size field, 8 at most.
func (d *decoder) take(n int) []byte {
	if !d.has(n) {
		return make([]byte, n)
	}
	d.offset += n
	return d.data[d.offset-n : d.offset]
}

// has tells whether so many bytes are left, and sets overrun otherwise.
func (d *decoder) has(n int) bool {
	if n < 0 || len(d.data)-d.offset < n {
		d.overrun = true
	}
	return !d.overrun
}

func (d *decoder) u8() uint8    { return d.take(1)[0] }
func (d *decoder) u16() uint16  { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32  { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64  { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float32 { return math.Float32frombits(d.u32()) }
func (d *decoder) f64() float64 { return math.Float64frombits(d.u64()) }

// milliseconds reads a span or time that is sent in milliseconds.
func (d *decoder) milliseconds() time.Duration { return config.Milliseconds(d.f64()) }

// bytes gives a copy of the next bytes.
func (d *decoder) bytes(n int) []byte {
	if !d.has(n) {
		return nil
	}
	return append([]byte(nil), d.take(n)...)
}

// loadReport reads a load report: the number of its figures, and the figures.
func (d *decoder) loadReport() []float32 {
	n := int(d.u8())
	if !d.has(figureSize * n) {
		return nil
	}
	var figures []float32
	for range n {
		figures = append(figures, d.f32())
	}
	return figures
}

// endpoints reads an endpoint list: the number of its entries, and the entries.
func (d *decoder) endpoints() []Endpoint {
	n := int64(d.u32())
	if n*endpointSize > int64(len(d.data)-d.offset) {
		d.overrun = true
		return nil
	}
	var list []Endpoint
	for range n {
		list = append(list, Endpoint{
			State: d.u8(), Server: d.u32(), Capacity: d.f32(), StartedAt: d.milliseconds(),
			Rack: d.u16(), Zone: d.u16(), Hardware: d.u16(),
		})
	}
	return list
}
