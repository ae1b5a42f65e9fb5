package host

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"harrierhoist/internal/simulator/frame"
)

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

func encodeRecord(code byte, fields ...[]byte) []byte {
	body := bytes.Join(fields, nil)
	return append(append([]byte{code}, u32(uint32(len(body)))...), body...)
}

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
	return encodeRecord(frame.EventEndpoints, u64(1), []byte{2}, u32(1), []byte{2}, u32(7), f32(1), f64(0), make([]byte, 6))
}

func requestRecord(id uint32, class byte) []byte {
	return encodeRecord(frame.EventRequest, u32(id), []byte{0}, u32(0), f64(2000), u64(9), f32(0), []byte{class}, f32(1), f32(1))
}

func runFrames(t *testing.T, frames ...[]byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return out.Bytes(), err
}

func TestRun_instancesShareBatch(t *testing.T) {
	out, err := runFrames(t, encodeBatch(), encodeBatch(addresseeRecord(1), startRecord(settingsText), oneServerRecord(), addresseeRecord(2), startRecord(settingsText), oneServerRecord()),
		encodeBatch(addresseeRecord(2), requestRecord(5, 0), addresseeRecord(1), requestRecord(6, 0)))
	if err != nil {
		t.Fatal(err)
	}
	var sends []uint32
	by := uint32(0)
	for len(out) > 0 {
		size := int(binary.LittleEndian.Uint32(out))
		for at := 12; at < size; at += 5 + int(binary.LittleEndian.Uint32(out[at+1:])) {
			v := binary.LittleEndian.Uint32(out[at+5:])
			switch out[at] {
			case frame.ActionInstance:
				by = v
			case frame.ActionAttempt:
				sends = append(sends, by, v)
			}
		}
		out = out[size:]
	}
	if len(sends) != 4 || sends[0] != 2 || sends[1] != 5 || sends[2] != 1 || sends[3] != 6 {
		t.Errorf("sends (gateway, task): %v", sends)
	}
}

func TestRun_instanceStartsAgainAfterStop(t *testing.T) {
	_, err := runFrames(t, encodeBatch(addresseeRecord(1), startRecord(settingsText), oneServerRecord()),
		encodeBatch(addresseeRecord(1), encodeRecord(frame.EventStop), startRecord(settingsText), oneServerRecord(), requestRecord(5, 0)))
	if err != nil {
		t.Error(err)
	}
}

func TestRun_malformedInputEndsWithOneLineAndNoPartialReply(t *testing.T) {
	good := encodeBatch()
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"never spawned", "batch 2, byte 25: event 40 for gateway 4, which is not running", encodeBatch(addresseeRecord(4), encodeRecord(frame.EventDisconnect, u32(1)))},
		{"retired", "batch 2, byte ", encodeBatch(addresseeRecord(4), startRecord(settingsText), encodeRecord(frame.EventStop), encodeRecord(frame.EventDisconnect, u32(1)))},
		{"no to", "batch 2, byte 16: event 40 before any 'to'", encodeBatch(encodeRecord(frame.EventDisconnect, u32(1)))},
		{"settings lack", "settings: Rules.ColdFrom is missing",
			encodeBatch(addresseeRecord(4), startRecord(strings.ReplaceAll(settingsText, "Rules.ColdFrom=0.2\n", "")))},
		{"settings are wrong", `settings: RequestClasses.0.Effect is none of`,
			encodeBatch(addresseeRecord(4), startRecord(strings.ReplaceAll(settingsText, "read_like", "perhaps")))},
		{"no lanes", "at least one lane", encodeBatch(addresseeRecord(4), startRecord(strings.ReplaceAll(settingsText, "Classes.count=1", "Classes.count=0")))},
	} {
		out, err := runFrames(t, good, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
		if len(out) != 12 {
			t.Errorf("%s: %d bytes of reply, want the 12 of the batch before", c.name, len(out))
		}
	}
}

func TestRun_panicBecomesInternalError(t *testing.T) {
	out, err := runFrames(t, encodeBatch(addresseeRecord(1), startRecord(settingsText), oneServerRecord()), encodeBatch(addresseeRecord(1), requestRecord(5, 40)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out, []byte("index out of range")) {
		t.Errorf("no text of the panic in %q", out)
	}
}

// The meter's word came over the wire and went no further.
func TestQuotaUse_percentOfRate(t *testing.T) {
	for percent, want := range map[uint16]float64{0: 0, 1: 1, 38: 1.37, 251: 3.5} {
		if got := quotaUse(percent); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d stands for %v, want %v", percent, got, want)
		}
	}
}
