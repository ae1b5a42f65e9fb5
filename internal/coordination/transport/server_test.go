package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// A body that is corrupt, truncated or endless is rejected, and harms nobody: the voter receives
// nothing, and the next call is answered.
func TestServer_malformedBodiesAreRejectedAndHarmNobody(t *testing.T) {
	voter := newFakeVoter()
	address, client := startServer(t, voter)
	good, _ := encoding.Marshal([]observation.Digest{newDigest(1)})
	nested := bytes.Repeat([]byte{0x81}, 1000)
	post := func(path, head string, body []byte) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + head + "\r\n" + string(body)
	}
	length := func(n int, sum string) string {
		return fmt.Sprintf("Content-Length: %d\r\n%s: %s\r\n", n, headerChecksum, sum)
	}
	flipped := append([]byte{}, good...)
	flipped[len(flipped)-1] ^= 4
	chunked := "Transfer-Encoding: chunked\r\n" + headerChecksum + ": " + checksum(good) + "\r\n"
	greatList := []byte{0x9a, 255, 255, 255, 255}
	for name, call := range map[string]string{
		"flipped":         post(pathDigests, length(len(good), checksum(good)), flipped),
		"no checksum":     post(pathDigests, fmt.Sprintf("Content-Length: %d\r\n", len(good)), good),
		"truncated":       post(pathDigests, length(len(good), checksum(good)), good[:len(good)/2]),
		"without its end": post(pathDigests, length(len(good)-1, checksum(good[:len(good)-1])), good[:len(good)-1]),
		"too long":        post(pathDigests, length(maxBodyBytes+1, checksum(nil)), nil),
		"no length":       post(pathDigests, chunked, []byte("1\r\nx\r\n0\r\n\r\n")),
		"not cbor":        post(pathDigests, length(3, checksum([]byte("abc"))), []byte("abc")),
		"deep":            post(pathDigests, length(len(nested), checksum(nested)), nested),
		"a great list":    post(pathDigests, length(len(greatList), checksum(greatList)), greatList),
		"no digest":       post(pathDigests, length(2, checksum([]byte{0x81, 0xa0})), []byte{0x81, 0xa0}),
		"no command":      post(pathPropose, length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"no message":      post(pathMessages, length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"no such call":    post("/else", length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"a long header":   post(pathDigests, "X: "+strings.Repeat("x", 64<<10)+"\r\n", nil),
		"no HTTP":         "\x16\x03\x01 hello\r\n\r\n",
	} {
		if status, answered := sendRaw(t, address, call); answered && status < 400 {
			t.Errorf("%s: status %d", name, status)
		}
		if err := client.Digests(t.Context(), address, nil); err != nil {
			t.Errorf("after %s: %v", name, err)
		}
	}
	if messages, digests, proposals := voter.received(); messages+digests+proposals > 0 {
		t.Errorf("received %d messages, %d digests, %d proposals", messages, digests, proposals)
	}
}

// sendRaw sends the bytes of a call and returns the status of the response, if one came.
func sendRaw(t *testing.T, address, call string) (status int, answered bool) {
	t.Helper()
	conn := dial(t, address)
	defer func() { _ = conn.Close() }() // the other end may have closed it
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, call) // it may be rejected before its end
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	} else {
		t.Fatalf("%T is no TCP connection", conn)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	_ = response.Body.Close() // the status alone counts
	return response.StatusCode, true
}

// A write without a number could be applied twice, so it is rejected.
func TestServer_unnumberedWriteIsRejected(t *testing.T) {
	voter := newFakeVoter()
	address, client := startServer(t, voter)
	unnumbered := statemachine.Command{Kind: statemachine.Write, Proposer: "p/1", Table: "plan"}
	_, err := client.Propose(t.Context(), address, unnumbered)
	if _, _, proposals := voter.received(); err == nil || proposals > 0 {
		t.Errorf("%v, %d proposals", err, proposals)
	}
}

// A voter that has not started must not count as one that answers.
func TestServer_voterThatHasNotStartedAcceptsNothing(t *testing.T) {
	address, client := startServer(t, nil)
	if info, err := client.Info(t.Context(), address); err != nil || info.Started {
		t.Error(info, err)
	}
	if _, _, err := client.Read(t.Context(), address, nil, 0); err == nil {
		t.Error("a read is answered")
	}
	if client.Digests(t.Context(), address, []observation.Digest{newDigest(1)}) == nil {
		t.Error("a digest is accepted")
	}
}

// More connections than a voter is sized for must not take the sockets of a gateway in the same
// process.
func TestServer_connectionsBeyondTheLimitAreClosedAndLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	listener := listen(t)
	server := Serve(listener, fakeHost{newFakeVoter()}, 3, zap.New(core))
	t.Cleanup(server.Close)
	var closed atomic.Int32
	for range 9 {
		conn := dial(t, listener.Addr().String())
		t.Cleanup(func() { _ = conn.Close() }) // the server has closed six of them
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			closed.Add(1)
		}()
	}
	eventually(t, "six closed", func() bool { return closed.Load() == 6 })
	if logs.Len() != 1 {
		t.Errorf("logged %d times", logs.Len())
	}
}
