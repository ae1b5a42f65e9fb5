package listener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testClient is the client side of a connection.
type testClient struct {
	*testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func (f *fixture) dial() *testClient {
	f.Helper()
	return f.dialWith(&net.Dialer{})
}

// dialWithSmallReadBuffer connects a client with a receive buffer of a few kilobytes.
func (f *fixture) dialWithSmallReadBuffer() *testClient {
	f.Helper()
	return f.dialWith(&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}})
}

func (f *fixture) dialWith(dialer *net.Dialer) *testClient {
	f.Helper()
	conn, err := dialer.Dial("tcp", f.socket.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &testClient{f.T, conn.(*net.TCPConn), bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.Fatal(err)
	}
}

// readAnswer reads an answer, and returns its line or the bytes of its value.
func (c *testClient) readAnswer() string {
	c.Helper()
	line, err := c.reader.ReadString('\n')
	if size := 0; err == nil && line[0] == '$' {
		_, _ = fmt.Sscanf(line, "$%d", &size)
		value := make([]byte, size+2)
		_, err = io.ReadFull(c.reader, value)
		line = string(value)
	}
	if err != nil {
		c.Fatal(err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// wantAnswer reads an answer and fails the test unless it matches the pattern.
func (c *testClient) wantAnswer(pattern string) {
	c.Helper()
	if answer := c.readAnswer(); !regexp.MustCompile("^(" + pattern + ")$").MatchString(answer) {
		c.Fatalf("answered %.40q, want %.40s", answer, pattern)
	}
}

// wantClose fails the test unless the connection ends without further bytes, by an orderly close.
func (c *testClient) wantClose() {
	c.Helper()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
		c.Fatalf("%d more bytes, error %v; want an orderly close", len(rest), err)
	}
}

// wantReset fails the test unless the connection ends without further bytes, by a reset.
func (c *testClient) wantReset() {
	c.Helper()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		c.Fatalf("%d more bytes, error %v; want a reset", len(rest), err)
	}
}

// wantWriteError fails the test unless a write fails because the listener has closed the
// connection.
func (c *testClient) wantWriteError() {
	c.Helper()
	_, err := c.Write([]byte("x"))
	if err == nil { // the first write may provoke the reset
		_, err = c.Write([]byte("x"))
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		c.Errorf("write after the close: error %v, want a reset or a broken pipe", err)
	}
}
