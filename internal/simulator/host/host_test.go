package host

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"

	"harrierhoist/internal/simulator/frame"
)

// settingsText are the least settings that a gateway needs, and one that it does not know.
const settingsText = `Balancers=2
Me=0
MyZone=0
PolicyLimits.TryLimit=3
RequestClasses.count=1
RequestClasses.0.AimMs=500
RequestClasses.0.DeadlineMs=2000
RequestClasses.0.Effect=read_like
Rules.ColdFrom=0.2
Rules.DrainGraceMs=500
Rules.FallMultiple=2
Rules.TipAfterMs=1000
Rules.WarmAfterMs=9000
SomethingNew=7
TiersOfService.count=1
`

func u32(v uint32) []byte  { return binary.LittleEndian.AppendUint32(nil, v) }
func u64(v uint64) []byte  { return binary.LittleEndian.AppendUint64(nil, v) }
func f64(v float64) []byte { return u64(math.Float64bits(v)) }
func f32(v float32) []byte { return u32(math.Float32bits(v)) }

// encodeRecord is a record of an event.
func encodeRecord(code byte, fields ...[]byte) []byte {
	body := bytes.Join(fields, nil)
	return append(append([]byte{code}, u32(uint32(len(body)))...), body...)
}

// encodeBatch is a batch at 1000 ms.
func encodeBatch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return bytes.Join([][]byte{u32(uint32(16 + len(body))), f64(1000), u32(1), body}, nil)
}

func addresseeRecord(id uint32) []byte { return encodeRecord(frame.EventAddressee, u32(id)) }

func startRecord(text string) []byte {
	return encodeRecord(frame.EventStart, u64(1), u32(uint32(len(text))), []byte(text))
}

// oneServerRecord is a cached list with a server, numbered 7.
func oneServerRecord() []byte {
	return encodeRecord(
		frame.EventEndpoints,
		u64(1),
		[]byte{2},
		u32(1),
		[]byte{2},
		u32(7),
		f32(1),
		f64(0),
		make([]byte, 6),
	)
}

func requestRecord(id uint32, class byte) []byte {
	return encodeRecord(frame.EventRequest, u32(id), []byte{0}, u32(0), f64(2000), u64(9), f32(0), []byte{class},
		f32(1), f32(1))
}

// startedRecords start an instance that knows one server.
func startedRecords(id uint32) []byte {
	return bytes.Join([][]byte{addresseeRecord(id), startRecord(settingsText), oneServerRecord()}, nil)
}

func runFrames(t *testing.T, frames ...[]byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.Bytes(), err
}

func TestRun_instancesShareBatch(t *testing.T) {
	out, err := runFrames(t, encodeBatch(), encodeBatch(startedRecords(1), startedRecords(2)),
		encodeBatch(addresseeRecord(2), requestRecord(5, 0), addresseeRecord(1), requestRecord(6, 0)))
	if err != nil {
		t.Fatal(err)
	}
	type attempt struct{ instance, request uint32 }
	var attempts []attempt
	instance := uint32(0)
	for len(out) > 0 {
		size := int(binary.LittleEndian.Uint32(out))
		for offset := 12; offset < size; offset += 5 + int(binary.LittleEndian.Uint32(out[offset+1:])) {
			number := binary.LittleEndian.Uint32(out[offset+5:])
			switch out[offset] {
			case frame.ActionInstance:
				instance = number
			case frame.ActionAttempt:
				attempts = append(attempts, attempt{instance, number})
			}
		}
		out = out[size:]
	}
	if want := []attempt{{2, 5}, {1, 6}}; !slices.Equal(attempts, want) {
		t.Errorf("attempts %v, want %v", attempts, want)
	}
}

func TestRun_instanceStartsAgainAfterStop(t *testing.T) {
	_, err := runFrames(t, encodeBatch(startedRecords(1)),
		encodeBatch(addresseeRecord(1), encodeRecord(frame.EventStop), startRecord(settingsText), oneServerRecord(),
			requestRecord(5, 0)))
	if err != nil {
		t.Error(err)
	}
}

func TestRun_malformedInputEndsWithOneLineAndNoPartialReply(t *testing.T) {
	disconnect := encodeRecord(frame.EventDisconnect, u32(1))
	startWith := func(text, replacement string) []byte {
		return encodeBatch(addresseeRecord(4), startRecord(strings.ReplaceAll(settingsText, text, replacement)))
	}
	for _, test := range []struct {
		name, want string
		in         []byte
	}{
		{
			"instance never started", "batch 2, byte 25: event 40 for gateway 4, which is not running",
			encodeBatch(addresseeRecord(4), disconnect),
		},
		{
			"instance stopped", "batch 2, byte ",
			encodeBatch(addresseeRecord(4), startRecord(settingsText), encodeRecord(frame.EventStop), disconnect),
		},
		{"no addressee", "batch 2, byte 16: event 40 before any 'to'", encodeBatch(disconnect)},
		{"setting missing", "settings: Rules.ColdFrom is missing", startWith("Rules.ColdFrom=0.2\n", "")},
		{"setting malformed", "settings: RequestClasses.0.Effect is none of", startWith("read_like", "perhaps")},
		{"no traffic class", "at least one lane", startWith("Classes.count=1", "Classes.count=0")},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			out, err := runFrames(t, encodeBatch(), test.in)
			var malformed *frame.FormatError
			if !errors.As(err, &malformed) || !strings.Contains(err.Error(), test.want) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, test.want)
			}
			if len(out) != 12 {
				t.Errorf("%d bytes of reply, want the 12 of the batch before", len(out))
			}
		})
	}
}

func TestRun_panicBecomesInternalError(t *testing.T) {
	const unknownClass = 40
	out, err := runFrames(
		t,
		encodeBatch(startedRecords(1)),
		encodeBatch(addresseeRecord(1), requestRecord(5, unknownClass)),
	)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out, []byte("index out of range")) {
		t.Errorf("no text of the panic in %q", out)
	}
}

// A server's word on a customer's use has to reach the gateway as the part that it stands for.
func TestUsageOf_percentOfRate(t *testing.T) {
	for percentPlusOne, want := range map[uint16]float64{0: 0, 1: 1, 38: 1.37, 251: 3.5} {
		if got := usageOf(percentPlusOne); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d stands for %v, want %v", percentPlusOne, got, want)
		}
	}
}
