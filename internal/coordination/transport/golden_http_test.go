package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
)

// goldenVoter answers as the golden responses say, and holds what it was handed.
type goldenVoter struct {
	coordination.Voter
	received chan any
	err      error
}

func (v goldenVoter) HandleMessage(_ context.Context, message []byte) error {
	v.received <- message
	return errors.New("of no interest to who sent it")
}

func (v goldenVoter) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	v.received <- command
	return statemachine.Result{Applied: true, Epoch: 6}, v.err
}

func (v goldenVoter) Read(_ context.Context, known map[string]uint64, wait time.Duration) (map[string]statemachine.Table, error) {
	v.received <- ReadRequest{KnownEpochs: known, Wait: wait}
	return goldenTables(), v.err
}

func (v goldenVoter) AddDigests(digests []observation.Digest) { v.received <- digests }

// goldenHost is the process of such a voter.
type goldenHost struct{ voter coordination.Voter }

func (h goldenHost) Voter() coordination.Voter { return h.voter }
func (h goldenHost) Info() VoterInfo           { return goldenInfo() }
func (h goldenHost) GroupID() []byte           { return []byte("0123456789abcdef") }

// exchange reads one HTTP message with its body, and gives its bytes.
func exchange(t *testing.T, conn net.Conn, read func(*bufio.Reader) (io.ReadCloser, error)) []byte {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	var text bytes.Buffer
	body, err := read(bufio.NewReader(io.TeeReader(conn, &text)))
	if err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	if err != nil {
		t.Errorf("%v after %q", err, text.Bytes())
	}
	return text.Bytes()
}

// The calls of a client, with all that stands before their bodies. HOST stands for the address.
func TestGolden_clientRequests(t *testing.T) {
	for file, call := range map[string]func(c *Client, address string) error{
		"standing": func(c *Client, address string) error {
			_, err := c.Info(t.Context(), address)
			return err
		},
		"messages": func(c *Client, address string) error {
			return c.call(t.Context(), batchTimeout, http.MethodPost, address, pathMessages, goldenBatch(), nil)
		},
		"digests": func(c *Client, address string) error { return c.Digests(t.Context(), address, goldenDigests()) },
		"read": func(c *Client, address string) error {
			_, _, err := c.Read(t.Context(), address, map[string]uint64{"plan": 1 << 20}, 1500*time.Millisecond)
			return err
		},
		"propose": func(c *Client, address string) error {
			_, err := c.Propose(t.Context(), address, goldenWrite())
			return err
		},
	} {
		t.Run(file, func(t *testing.T) {
			listener, err := Network{}.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			address, got := listener.Addr().String(), make(chan []byte, 1)
			go func() {
				defer close(got)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				got <- exchange(t, conn, func(r *bufio.Reader) (io.ReadCloser, error) {
					request, err := http.ReadRequest(r)
					if err != nil {
						return nil, err
					}
					return request.Body, nil
				})
				_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
			}()
			if err := call(newTestClient(t, Network{}), address); err == nil || err.Error() != address+"/"+file+": status 503: " {
				t.Errorf("the answer is taken as %v", err)
			}
			checkGolden(t, file+".request", bytes.ReplaceAll(<-got, []byte("Host: "+address), []byte("Host: HOST")))
		})
	}
}

var dateLine = regexp.MustCompile(`\r\nDate: [^\r]*\r\n`)

// The answers of a server to each call, good or bad, and what it hands to its voter. DATE stands for the time.
func TestGolden_serverResponses(t *testing.T) {
	request := func(file string) string { return string(goldenFile(t, file+".request")) }
	body := func(file string) string {
		text := string(goldenFile(t, file))
		return "Body-Sum: " + checksum([]byte(text)) + "\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
	}
	batch := goldenBatch()
	for _, row := range []struct {
		file    string // of the answer
		call    string
		handed  []any
		fault   error
		missing bool // the voter has not begun
	}{
		{file: "standing", call: request("standing")},
		{file: "messages", call: request("messages"), handed: []any{batch.Messages[0], batch.Messages[1], batch.Messages[2]}},
		{file: "digests", call: request("digests"), handed: []any{goldenDigests()}},
		{file: "read", call: request("read"), handed: []any{goldenReadRequest()}},
		{file: "read-fault", call: request("read"), fault: coordination.ErrNoQuorum, handed: []any{goldenReadRequest()}},
		{file: "propose", call: request("propose"), handed: []any{goldenWrite()}},
		{file: "propose", call: "POST /propose HTTP/1.1\r\nHost: HOST\r\n" + body("propose-raise.cbor"), handed: []any{goldenRaise()}},
		{file: "propose-fault", call: request("propose"), handed: []any{goldenWrite()}, fault: coordination.ErrNotLeader},
		{file: "not-begun", call: request("messages"), missing: true},
		{file: "not-begun", call: request("digests"), missing: true},
		{file: "not-begun", call: request("read"), missing: true},
		{file: "not-begun", call: request("propose"), missing: true},
		{file: "for-another", call: "POST /messages HTTP/1.1\r\nHost: HOST\r\n" + body("messages-none.cbor")},
		{file: "no-length", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{file: "no-sum", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nContent-Length: 1\r\n\r\n\xa0"},
		{file: "too-long", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nContent-Length: 4194305\r\n\r\n"},
		{file: "no-value", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nContent-Length: 1\r\nBody-Sum: " +
			checksum([]byte{0xff}) + "\r\n\r\n\xff"},
		{file: "no-digest", call: "POST /digests HTTP/1.1\r\nHost: HOST\r\nContent-Length: 2\r\nBody-Sum: " +
			checksum([]byte{0x81, 0xa0}) + "\r\n\r\n\x81\xa0"},
		{file: "no-proposer", call: "POST /propose HTTP/1.1\r\nHost: HOST\r\nContent-Length: 1\r\nBody-Sum: " +
			checksum([]byte{0xa0}) + "\r\n\r\n\xa0"},
		{file: "no-number", call: "POST /propose HTTP/1.1\r\nHost: HOST\r\n" + body("propose-unnumbered.cbor")},
		{file: "no-kind", call: "POST /propose HTTP/1.1\r\nHost: HOST\r\n" + body("propose-kind.cbor")},
		{file: "no-call", call: "GET /else HTTP/1.1\r\nHost: HOST\r\n\r\n"},
		{file: "no-method", call: "GET /read HTTP/1.1\r\nHost: HOST\r\n\r\n"},
	} {
		name, _, _ := strings.Cut(row.call, " HTTP")
		t.Run(row.file+" "+name, func(t *testing.T) {
			listener, err := Network{}.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			voter := goldenVoter{received: make(chan any, 8), err: row.fault}
			host := goldenHost{voter}
			if row.missing {
				host.voter = nil
			}
			server := Serve(listener, host, 16, zap.NewNop())
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := io.WriteString(conn, row.call); err != nil {
				t.Fatal(err)
			}
			got := exchange(t, conn, func(r *bufio.Reader) (io.ReadCloser, error) {
				answer, err := http.ReadResponse(r, nil)
				if err != nil {
					return nil, err
				}
				return answer.Body, nil
			})
			checkGolden(t, row.file+".answer", dateLine.ReplaceAll(got, []byte("\r\nDate: DATE\r\n")))
			server.Close()
			close(voter.received)
			var received []any
			for item := range voter.received {
				received = append(received, item)
			}
			if d := cmp.Diff(row.handed, received); d != "" {
				t.Error(d)
			}
		})
	}
}
