package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"harrierhoist/internal/coordination"
	"harrierhoist/internal/coordination/observation"
	"harrierhoist/internal/coordination/statemachine"
	"harrierhoist/internal/testing/golden"
)

// goldenVoter answers as the golden responses say, and passes on what it receives.
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

func (v goldenVoter) Read(_ context.Context, known map[string]uint64, wait time.Duration) (
	map[string]statemachine.Table, error,
) {
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
	for file, call := range map[string]func(client *Client, address string) error{
		"standing": func(client *Client, address string) error {
			_, err := client.Info(t.Context(), address)
			return err
		},
		"messages": func(client *Client, address string) error {
			return client.call(t.Context(), batchTimeout, http.MethodPost, address, pathMessages, goldenBatch(), nil)
		},
		"digests": func(client *Client, address string) error {
			return client.Digests(t.Context(), address, goldenDigests())
		},
		"read": func(client *Client, address string) error {
			_, _, err := client.Read(t.Context(), address, map[string]uint64{"plan": 1 << 20}, 1500*time.Millisecond)
			return err
		},
		"propose": func(client *Client, address string) error {
			_, err := client.Propose(t.Context(), address, goldenWrite())
			return err
		},
	} {
		t.Run(file, func(t *testing.T) {
			listener := listen(t)
			address := listener.Addr().String()
			got := make(chan []byte, 1)
			go func() {
				defer close(got)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }() // the response is sent by then
				got <- exchange(t, conn, func(r *bufio.Reader) (io.ReadCloser, error) {
					request, err := http.ReadRequest(r)
					if err != nil {
						return nil, err
					}
					return request.Body, nil
				})
				_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
			}()
			if err := call(newTestClient(t), address); err == nil || err.Error() != address+"/"+file+": status 503: " {
				t.Errorf("the answer is taken as %v", err)
			}
			request := bytes.ReplaceAll(<-got, []byte("Host: "+address), []byte("Host: HOST"))
			golden.Check(t, "golden/"+file+".request", request)
		})
	}
}

var dateLine = regexp.MustCompile(`\r\nDate: [^\r]*\r\n`)

// goldenExchange is a call as bytes, the file of its response, and what the voter receives by it.
type goldenExchange struct {
	file     string
	call     string
	received []any
	err      error // of the voter
	missing  bool  // the voter has not started
}

func goldenExchanges(t *testing.T) []goldenExchange {
	t.Helper()
	request := func(file string) string { return string(golden.Read(t, "golden/"+file+".request")) }
	postBytes := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: HOST\r\nContent-Length: %d\r\nBody-Sum: %s\r\n\r\n%s",
			path, len(body), checksum([]byte(body)), body)
	}
	post := func(path, file string) string { return postBytes(path, string(golden.Read(t, "golden/"+file))) }
	batch := goldenBatch()
	return []goldenExchange{
		{file: "standing", call: request("standing")},
		{
			file: "messages", call: request("messages"),
			received: []any{batch.Messages[0], batch.Messages[1], batch.Messages[2]},
		},
		{file: "digests", call: request("digests"), received: []any{goldenDigests()}},
		{file: "read", call: request("read"), received: []any{goldenReadRequest()}},
		{
			file: "read-fault", call: request("read"),
			err: coordination.ErrNoQuorum, received: []any{goldenReadRequest()},
		},
		{file: "propose", call: request("propose"), received: []any{goldenWrite()}},
		{file: "propose", call: post("/propose", "propose-raise.cbor"), received: []any{goldenRaise()}},
		{
			file: "propose-fault", call: request("propose"),
			err: coordination.ErrNotLeader, received: []any{goldenWrite()},
		},
		{file: "not-begun", call: request("messages"), missing: true},
		{file: "not-begun", call: request("digests"), missing: true},
		{file: "not-begun", call: request("read"), missing: true},
		{file: "not-begun", call: request("propose"), missing: true},
		{file: "for-another", call: post("/messages", "messages-none.cbor")},
		{file: "no-length", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{file: "no-sum", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nContent-Length: 1\r\n\r\n\xa0"},
		{file: "too-long", call: "POST /read HTTP/1.1\r\nHost: HOST\r\nContent-Length: 4194305\r\n\r\n"},
		{file: "no-value", call: postBytes("/read", "\xff")},
		{file: "no-digest", call: postBytes("/digests", "\x81\xa0")},
		{file: "no-proposer", call: postBytes("/propose", "\xa0")},
		{file: "no-number", call: post("/propose", "propose-unnumbered.cbor")},
		{file: "no-kind", call: post("/propose", "propose-kind.cbor")},
		{file: "no-call", call: "GET /else HTTP/1.1\r\nHost: HOST\r\n\r\n"},
		{file: "no-method", call: "GET /read HTTP/1.1\r\nHost: HOST\r\n\r\n"},
	}
}

// The responses of a server to each call, good or bad, and what its voter receives. DATE stands for
// the time.
func TestGolden_serverResponses(t *testing.T) {
	for _, row := range goldenExchanges(t) {
		name, _, _ := strings.Cut(row.call, " HTTP")
		t.Run(row.file+" "+name, func(t *testing.T) {
			listener := listen(t)
			voter := goldenVoter{received: make(chan any, 8), err: row.err}
			host := goldenHost{voter}
			if row.missing {
				host.voter = nil
			}
			server := Serve(listener, host, 16, zap.NewNop())
			t.Cleanup(server.Close)
			conn := dial(t, listener.Addr().String())
			t.Cleanup(func() { _ = conn.Close() }) // the server has closed it
			if _, err := io.WriteString(conn, row.call); err != nil {
				t.Fatal(err)
			}
			got := exchange(t, conn, func(r *bufio.Reader) (io.ReadCloser, error) {
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					return nil, err
				}
				return response.Body, nil
			})
			golden.Check(t, "golden/"+row.file+".answer", dateLine.ReplaceAll(got, []byte("\r\nDate: DATE\r\n")))
			server.Close()
			close(voter.received)
			var received []any
			for item := range voter.received {
				received = append(received, item)
			}
			if d := cmp.Diff(row.received, received); d != "" {
				t.Error(d)
			}
		})
	}
}
