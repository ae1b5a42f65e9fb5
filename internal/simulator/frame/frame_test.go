package frame

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The hex below is written out by hand from the page that describes the frames.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// batchHeaderHex is a batch header behind its size: clock 8412.25, serial 12.
const batchHeaderHex = "00000000206ec040 0c000000"

// batchFrame is a batch with records.
func batchFrame(t *testing.T, records string) []byte {
	t.Helper()
	b := decodeHex(t, "00000000"+batchHeaderHex+records)
	b[0], b[1] = byte(len(b)), byte(len(b)>>8)
	return b
}

// eventLayouts are a record of each event as it stands in a frame.
var eventLayouts = []struct {
	name   string
	record string
	code   uint8
	want   Message
}{
	{"addressee", "32 04000000 03000000", 50, Addressee{Instance: 3}},
	{"stop", "14 00000000", 20, Stop{}},
	{"disconnect", "28 04000000 192b6f0e", 40, Disconnect{RequestID: 0x0e6f2b19}},
	{"timer", "78 08000000 4d00000000000000", 120, Timer{Token: 77}},
	{"start", "0a 0f000000 0500000000000000 03000000 613d31", 10, Start{Seed: 5, Settings: []byte("a=1")}},
	{
		"request",
		"50 26000000 c4913a5d 01 00000000 0000000020e6c040 640ad2557c3bf091 0000803f 00 00004040 00000040",
		80,
		Request{
			ID:           0x5d3a91c4,
			Options:      1,
			Deadline:     8652250 * time.Microsecond,
			Customer:     0x91f03b7c55d20a64,
			FirstGateway: 1,
			GatewayCount: 3,
			Units:        2,
		},
	},
	{
		"attempt result",
		"3c 19000000 c4913a5d 0000 074a1203 00 0000000000803240 01 5600 0300 00",
		60,
		AttemptResult{
			RequestID:    0x5d3a91c4,
			Server:       0x03124a07,
			Elapsed:      18500 * time.Microsecond,
			Final:        true,
			UsagePercent: 86,
			ActualUnits:  3,
		},
	},
	{
		"stream start", "1e 12000000 c4913a5d 0000000000802240 0000 074a1203", 30,
		StreamStart{RequestID: 0x5d3a91c4, Elapsed: 9250 * time.Microsecond, Server: 0x03124a07},
	},
	{
		"health check", "5a 16000000 f211902c 00 0000000000803240 02 0000803f 00000040", 90,
		HealthCheck{Server: 0x2c9011f2, Elapsed: 18500 * time.Microsecond, LoadReport: []float32{1, 2}},
	},
	{"peer message", "46 0a000000 02000000 0400 68692037", 70, PeerMessage{From: 2, Bytes: []byte("hi 7")}},
	{
		"count", "64 15000000 00001842 0000000000803240 90f6890000000000 6e", 100,
		Count{Total: 38, Elapsed: 18500 * time.Microsecond, Name: 0x89f690, Outcome: 110},
	},
	{
		"endpoints", `6e 3b000000 2900000000000000 02 02000000 02 074a1203 0000803f 0000000000000000 0000 0000 0000
				02 f211902c 0000c03f 0000000000d4b740 0000 0100 0000`, 110,
		Endpoints{Generation: 41, Kind: 2, Endpoints: []Endpoint{
			{State: 2, Server: 0x03124a07, Capacity: 1},
			{State: 2, Server: 0x2c9011f2, Capacity: 1.5, StartedAt: 6100 * time.Millisecond, Zone: 1},
		}},
	},
}

func TestDecode_eventLayouts(t *testing.T) {
	for _, test := range eventLayouts {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			batch, err := Decode(batchFrame(t, test.record))
			if err != nil {
				t.Fatal(err)
			}
			want := &Batch{
				Now:    8412250 * time.Microsecond,
				Serial: 12,
				Events: []Event{{Offset: batchHeaderSize, Message: test.want}},
			}
			if !reflect.DeepEqual(batch, want) {
				t.Errorf("got %+v, want %+v", batch, want)
			}
			if code := batch.Events[0].Message.Code(); code != test.code {
				t.Errorf("code %d, want %d", code, test.code)
			}
		})
	}
}

func TestReply_actionLayouts(t *testing.T) {
	reply := NewReply(12)
	reply.SetInstance(3)
	reply.SetInstance(3) // named again, it is left out
	reply.Attempt(0x5d3a91c4, 8492*time.Millisecond, 0x03124a07)
	reply.SetTimer(77, 500*time.Millisecond)
	reply.Cancel(0x5d3a91c4, 1)
	reply.Reject(0x0e6f2b19, 250*time.Millisecond)
	reply.Terminate(0x0e6f2b19)
	reply.CheckHealth(0x2c9011f2)
	reply.CloseConnections(0x2c9011f2)
	reply.SendPeer(AllPeers, []byte("hi 7"))
	reply.WatchEndpoints(true)
	reply.FetchEndpoints()
	reply.Count(0x89f690, 3000*time.Millisecond, 4)
	reply.SetInstance(5)
	reply.Log("two servers known")
	reply.InternalError("index out of range")
	want := decodeHex(t, `fc000000 0f000000 0c000000
		8c 04000000 03000000  0a 10000000 c4913a5d 000000000096c040 074a1203
		32 10000000 4d00000000000000 0000000000407f40
		28 06000000 c4913a5d 0100  14 0c000000 192b6f0e 0000000000406f40  1e 04000000 192b6f0e  3c 04000000 f211902c
		46 04000000 f211902c  50 08000000 ffff 0400 68692037  6e 01000000 01  78 00000000
		82 14000000 90f6890000000000 000000000070a740 00008040  8c 04000000 05000000
		5a 13000000 1100 74776f2073657276657273206b6e6f776e
		64 14000000 1200 696e646578206f7574206f662072616e6765`)
	want[0] = byte(len(want))
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	if got := NewReply(1).Bytes(); !bytes.Equal(got, decodeHex(t, "0c000000 00000000 01000000")) {
		t.Errorf("empty reply %x", got)
	}
}

func TestReader_malformedFrames(t *testing.T) {
	empty := decodeHex(t, "10000000 00000000206ec040 01000000")
	for _, test := range []struct{ name, in, want string }{
		{"truncated header", "1000", "batch 2, byte 2: the input ends inside a frame"},
		{"truncated frame", "20000000 00000000206ec040 01000000", "batch 2, byte 16: the input ends inside a frame"},
		{
			"size below the header's", "0f000000 00000000206ec040 01000000",
			"batch 2, byte 0: a frame cannot be 15 bytes long",
		},
		{"unknown code", "15000000 00000000206ec040 01000000 0700000000", "batch 2, byte 16: unknown event code 7"},
		{
			"record over the end", "15000000 00000000206ec040 01000000 3204000000",
			"batch 2, byte 16: event 50 says 4 bytes, more than the frame holds",
		},
		{"truncated record", "12000000 00000000206ec040 01000000 3204", "batch 2, byte 16: a record is cut short"},
		{
			"too few fields", "17000000 00000000206ec040 01000000 32 02000000 0100",
			"batch 2, byte 16: event 50 is too short for its fields",
		},
		{
			"too many bytes", "16000000 00000000206ec040 01000000 14 01000000 00",
			"batch 2, byte 16: event 20 has 1 bytes too many",
		},
		{
			"list over the end", "22000000 00000000206ec040 01000000 6e 0d000000 0000000000000000 02 ffffffff",
			"batch 2, byte 16: event 110 is too short for its fields",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := NewReader(bytes.NewReader(append(bytes.Clone(empty), decodeHex(t, test.in)...)))
			if batch, err := r.Next(); err != nil || batch.Now != 8412250*time.Microsecond {
				t.Fatalf("the empty batch before: %v", err)
			}
			_, err := r.Next()
			var malformed *FormatError
			if !errors.As(err, &malformed) || err.Error() != test.want {
				t.Errorf("got %v, want %s", err, test.want)
			}
		})
	}
}

func TestReader_endOfInput(t *testing.T) {
	r := NewReader(bytes.NewReader(decodeHex(t, "10000000 00000000206ec040 01000000")))
	if _, err := r.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the input", err)
	}
}
