package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// drainClient is the other end of a connection to the front.
type drainClient struct {
	*testing.T
	*net.TCPConn
	in *bufio.Reader
}

// dial connects; a narrow one takes only a little before it reads.
func (h *drainFixture) dial(narrow ...bool) *drainClient {
	h.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if len(narrow) > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			}
		})
	}}
	conn, err := d.Dial("tcp", h.TCPListener.Addr().String())
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &drainClient{h.T, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *drainClient) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

// want reads an answer, a value as its text, and holds it against a pattern.
func (c *drainClient) want(pattern string) {
	c.Helper()
	line, err := c.in.ReadString('\n')
	if strings.HasPrefix(line, "$") {
		line, err = c.in.ReadString('\n')
	}
	if line = strings.TrimSpace(line); !regexp.MustCompile("^(" + pattern + ")$").MatchString(line) {
		c.Fatalf("answered %.40q (%v), want %.40s", line, err, pattern)
	}
}

// wantEnd wants no more than the end of the connection: in order (nil), or a reset.
func (c *drainClient) wantEnd(want error) {
	c.Helper()
	rest, err := io.ReadAll(c.in)
	if len(rest) > 0 || (want == nil) != (err == nil) || want != nil && !isReset(err) {
		c.Fatalf("%d bytes more, %v; want the end: %v", len(rest), err, want)
	}
}

func isReset(err error) bool {
	return err != nil && strings.Contains(err.Error(), syscall.ECONNRESET.Error())
}

var ids atomic.Uint64

// look is a command; its number reaches the server.
func query(n int) string {
	return fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", fmt.Sprintf("%016x", ids.Add(1)),
		fmt.Sprintf("c=look,t=wide,d=3000,n=%d", n))
}

// answerByNumber answers by the number, after a word to the waiting test where there is a channel for it.
func answerByNumber(let map[int]chan bool) func(words []string) string {
	return func(words []string) string {
		var n int
		_, _ = fmt.Sscanf(words[3][strings.LastIndex(words[3], "n="):], "n=%d", &n)
		if let[n] != nil {
			<-let[n]
		}
		return fakes.FormatValue(fmt.Sprintf("value %d", n), 1)
	}
}

var ping = fakes.FormatCommand("PING")
