package frame

import (
	"bytes"
	"encoding/hex"
	"io"
	"reflect"
	"strings"
	"testing"
)

// The hex below is written out by hand from the wire's page.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const batchHeaderHex = "00000000206ec040 0c000000" // clock 8412.25, batch 12

func batchFrame(t *testing.T, records string) []byte {
	b := decodeHex(t, "00000000"+batchHeaderHex+records)
	b[0], b[1] = byte(len(b)), byte(len(b)>>8)
	return b
}

func TestEventLayouts(t *testing.T) {
	for _, c := range []struct {
		record string
		want   Event
	}{
		{"32 04000000 03000000", Event{Code: EventAddressee, Instance: 3}},
		{"14 00000000", Event{Code: EventStop}},
		{"28 04000000 192b6f0e", Event{Code: EventDisconnect, RequestID: 0x0e6f2b19}},
		{"78 08000000 4d00000000000000", Event{Code: EventTimer, TimerToken: 77}},
		{"0a 0f000000 0500000000000000 03000000 613d31", Event{Code: EventStart, Payload: Start{5, []byte("a=1")}}},
		{"50 26000000 c4913a5d 01 00000000 0000000020e6c040 640ad2557c3bf091 0000803f 00 00004040 00000040",
			Event{Code: EventRequest, Payload: Request{0x5d3a91c4, 1, 0, 8652.25, 0x91f03b7c55d20a64, 1, 0, 3, 2}}},
		{"3c 19000000 c4913a5d 0000 074a1203 00 0000000000803240 01 5600 0300 00",
			Event{Code: EventAttemptResult, Payload: AttemptResult{0x5d3a91c4, 0, 0x03124a07, 0, 18.5, true, 86, 3, nil}}},
		{"1e 12000000 c4913a5d 0000000000802240 0000 074a1203",
			Event{Code: EventStreamStart, Payload: StreamStart{0x5d3a91c4, 9.25, 0, 0x03124a07}}},
		{"5a 16000000 f211902c 00 0000000000803240 02 0000803f 00000040",
			Event{Code: EventHealthCheck, Payload: HealthCheck{0x2c9011f2, 0, 18.5, []float32{1, 2}}}},
		{"46 0a000000 02000000 0400 68692037", Event{Code: EventPeerMessage, Payload: PeerMessage{2, []byte("hi 7")}}},
		{"64 15000000 00001842 0000000000803240 90f6890000000000 6e",
			Event{Code: EventCount, Payload: Count{38, 18.5, 0x89f690, 110}}},
		{`6e 3b000000 2900000000000000 02 02000000 02 074a1203 0000803f 0000000000000000 0000 0000 0000
			02 f211902c 0000c03f 0000000000d4b740 0000 0100 0000`,
			Event{Code: EventEndpoints, Payload: Endpoints{41, 2, []Endpoint{{2, 0x03124a07, 1, 0, 0, 0, 0},
				{2, 0x2c9011f2, 1.5, 6100, 0, 1, 0}}}}},
	} {
		batch, err := Decode(batchFrame(t, c.record))
		if err != nil {
			t.Errorf("event %d: %v", c.want.Code, err)
			continue
		}
		c.want.Offset = batchHeaderSize
		if batch.ClockMs != 8412.25 || batch.Serial != 12 || len(batch.Events) != 1 || !reflect.DeepEqual(batch.Events[0], c.want) {
			t.Errorf("event %d: got %+v, want %+v", c.want.Code, batch, c.want)
		}
	}
}

func TestActionLayouts(t *testing.T) {
	r := NewReply(12)
	r.SetInstance(3)
	r.SetInstance(3)
	r.Attempt(0x5d3a91c4, 8492.0, 0x03124a07)
	r.SetTimer(77, 500)
	r.Cancel(0x5d3a91c4, 1)
	r.Reject(0x0e6f2b19, 250)
	r.Terminate(0x0e6f2b19)
	r.CheckHealth(0x2c9011f2)
	r.CloseConnections(0x2c9011f2)
	r.SendPeer(AllPeers, []byte("hi 7"))
	r.WatchEndpoints(true)
	r.FetchEndpoints()
	r.Count(0x89f690, 3000, 4)
	r.SetInstance(5)
	r.Log("two servers known")
	r.InternalError("index out of range")
	want := decodeHex(t, `fc000000 0f000000 0c000000
		8c 04000000 03000000  0a 10000000 c4913a5d 000000000096c040 074a1203  32 10000000 4d00000000000000 0000000000407f40
		28 06000000 c4913a5d 0100  14 0c000000 192b6f0e 0000000000406f40  1e 04000000 192b6f0e  3c 04000000 f211902c
		46 04000000 f211902c  50 08000000 ffff 0400 68692037  6e 01000000 01  78 00000000
		82 14000000 90f6890000000000 000000000070a740 00008040  8c 04000000 05000000
		5a 13000000 1100 74776f2073657276657273206b6e6f776e
		64 14000000 1200 696e646578206f7574206f662072616e6765`)
	want[0] = byte(len(want))
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	if got := NewReply(1).Bytes(); !bytes.Equal(got, decodeHex(t, "0c000000 00000000 01000000")) {
		t.Errorf("empty reply %x", got)
	}
}

func TestReader_malformedFrames(t *testing.T) {
	empty := decodeHex(t, "10000000 00000000206ec040 01000000")
	for _, c := range []struct{ name, in, want string }{
		{"cut header", "1000", "batch 2, byte 2: the input ends inside a frame"},
		{"cut frame", "20000000 00000000206ec040 01000000", "batch 2, byte 16: the input ends inside a frame"},
		{"short length", "0f000000 00000000206ec040 01000000", "batch 2, byte 0: a frame cannot be 15 bytes long"},
		{"unknown code", "15000000 00000000206ec040 01000000 0700000000", "batch 2, byte 16: unknown event code 7"},
		{"record over the end", "15000000 00000000206ec040 01000000 3204000000",
			"batch 2, byte 16: event 50 says 4 bytes, more than the frame holds"},
		{"cut record", "12000000 00000000206ec040 01000000 3204", "batch 2, byte 16: a record is cut short"},
		{"short fields", "17000000 00000000206ec040 01000000 32 02000000 0100", "batch 2, byte 16: event 50 is too short for its fields"},
		{"long fields", "16000000 00000000206ec040 01000000 14 01000000 00", "batch 2, byte 16: event 20 has 1 bytes too many"},
		{"list over the end", "22000000 00000000206ec040 01000000 6e 0d000000 0000000000000000 02 ffffffff",
			"batch 2, byte 16: event 110 is too short for its fields"},
	} {
		r := NewReader(bytes.NewReader(append(bytes.Clone(empty), decodeHex(t, c.in)...)))
		if batch, err := r.Next(); err != nil || batch.ClockMs != 8412.25 {
			t.Fatalf("%s: the empty batch before: %v", c.name, err)
		}
		if _, err := r.Next(); err == nil || err.Error() != c.want {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
	r := NewReader(bytes.NewReader(empty))
	r.Next()
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("end of input: got %v", err)
	}
}
