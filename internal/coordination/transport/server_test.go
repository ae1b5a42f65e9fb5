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

// A body that was spoilt, cut or made without end is refused, and harms nobody: the voter is handed nothing, and the
// next call is answered.
func TestServer_malformedBodiesAreRejectedAndHarmNobody(t *testing.T) {
	voter := newFakeVoter()
	address, c := startServer(t, voter, 16)
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
	for name, call := range map[string]string{
		"flipped":        post(pathDigests, length(len(good), checksum(good)), flipped),
		"no sum":         post(pathDigests, fmt.Sprintf("Content-Length: %d\r\n", len(good)), good),
		"cut":            post(pathDigests, length(len(good), checksum(good)), good[:len(good)/2]),
		"cut at its end": post(pathDigests, length(len(good)-1, checksum(good[:len(good)-1])), good[:len(good)-1]),
		"too long":       post(pathDigests, length(maxBodyBytes+1, checksum(nil)), nil),
		"no length":      post(pathDigests, "Transfer-Encoding: chunked\r\n"+headerChecksum+": "+checksum(good)+"\r\n", []byte("1\r\nx\r\n0\r\n\r\n")),
		"not cbor":       post(pathDigests, length(3, checksum([]byte("abc"))), []byte("abc")),
		"deep":           post(pathDigests, length(len(nested), checksum(nested)), nested),
		"a great list":   post(pathDigests, length(5, checksum([]byte{0x9a, 255, 255, 255, 255})), []byte{0x9a, 255, 255, 255, 255}),
		"no digest":      post(pathDigests, length(2, checksum([]byte{0x81, 0xa0})), []byte{0x81, 0xa0}),
		"no command":     post(pathPropose, length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"no message":     post(pathMessages, length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"no such call":   post("/else", length(1, checksum([]byte{0xa0})), []byte{0xa0}),
		"a long header":  post(pathDigests, "X: "+strings.Repeat("x", 64<<10)+"\r\n", nil),
		"no HTTP":        "\x16\x03\x01 hello\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(conn, call) // it may be refused before its end
		_ = conn.(*net.TCPConn).CloseWrite()
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && answer.StatusCode < 400 {
			t.Errorf("%s: status %d", name, answer.StatusCode)
		}
		_ = conn.Close()
		if err := c.Digests(t.Context(), address, nil); err != nil {
			t.Errorf("after %s: %v", name, err)
		}
	}
	if steps, digests, proposed := voter.received(); steps+digests+proposed > 0 {
		t.Errorf("taken: %d messages, %d digests, %d proposals", steps, digests, proposed)
	}
}

// A write without a number could be applied twice, so it is not taken at all.
func TestServer_unnumberedWriteIsRejected(t *testing.T) {
	voter := newFakeVoter()
	address, c := startServer(t, voter, 16)
	_, err := c.Propose(t.Context(), address, statemachine.Command{Kind: statemachine.Write, Proposer: "p/1", Table: "plan"})
	if _, _, proposed := voter.received(); err == nil || proposed > 0 {
		t.Errorf("%v, %d proposed", err, proposed)
	}
}

// A connection that breaks after a proposal was read: whoever made it must know that it may be written, and it must
// not be made again unseen.
func TestClient_proposalIsNotRetried(t *testing.T) {
	listener, err := Network{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var calls atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.ReadAll(r.Body)
				if calls.Add(1)%2 == 1 { // the first is answered, so that its connection is used again
					_, _ = io.WriteString(conn, "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					calls.Add(1)
				}
			}
			_ = conn.Close()
		}
	}()
	c := newTestClient(t, Network{})
	for range 2 {
		if _, err := c.Propose(t.Context(), listener.Addr().String(), statemachine.Command{Kind: statemachine.Write, Proposer: "p", Number: 1, Table: "t"}); err == nil {
			t.Error("taken as written")
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("made %d times, not 2", n)
	}
}

// Links are plain: they stay on this machine unless the operators say that the network is private.
func TestNetwork_staysOnLoopbackUnlessPrivate(t *testing.T) {
	for address, loopback := range map[string]bool{"0.0.0.0:0": false, "[::]:0": false, "127.0.0.1:0": true, "localhost:0": true} {
		listener, err := Network{}.Listen(address)
		if err == nil {
			_ = listener.Close()
		}
		if (err == nil) != loopback {
			t.Errorf("%s: %v", address, err)
		}
	}
	if listener, err := (Network{true}).Listen("0.0.0.0:0"); err != nil {
		t.Error(err)
	} else {
		_ = listener.Close()
	}
	_, err := newTestClient(t, Network{}).Info(t.Context(), "192.0.2.1:9")
	if err == nil || !strings.Contains(err.Error(), "process.private_network = true") {
		t.Errorf("dialled: %v", err)
	}
}

// More links than a voter is made for must not take the sockets of a gateway in the same process.
func TestServer_connectionsBeyondTheLimitAreClosedAndLoggedOnce(t *testing.T) {
	core, said := observer.New(zap.WarnLevel)
	listener, err := Network{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(listener, fakeHost{newFakeVoter()}, 3, zap.New(core))
	defer s.Close()
	var closed atomic.Int32
	for range 9 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			closed.Add(1)
		}()
	}
	eventually(t, "six closed", func() bool { return closed.Load() == 6 })
	if said.Len() != 1 {
		t.Errorf("said %d times", said.Len())
	}
}
